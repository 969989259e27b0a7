#ifndef SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_QUEUE_H_
#define SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace skylarkcroft {

/// Bounded queue of log lines in front of a file descriptor, which it neither
/// owns nor changes. Writes only what the descriptor takes at once.
class log_queue {
 public:
  log_queue(int fd, size_t max_bytes);

  /// Queues `line`, which ends in a newline. Drops and counts it and returns
  /// false when the queue would exceed its bound.
  bool Push(std::string line);
  /// Writes until the queue is empty, the descriptor is full, or a bounded
  /// number of writes has been made. Drops and counts all lines and returns
  /// false when the descriptor has failed, as with a reader that has gone.
  bool Drain();

  [[nodiscard]] bool empty() const { return lines_.empty(); }
  [[nodiscard]] size_t queued_bytes() const { return queued_bytes_; }
  [[nodiscard]] uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  [[nodiscard]] std::string NextBlock() const;
  void Consume(size_t size);
  void DropAll();

  int fd_;
  size_t max_bytes_;
  std::deque<std::string> lines_;
  /// Bytes of the first line that have been written.
  size_t written_ = 0;
  size_t queued_bytes_ = 0;
  uint64_t dropped_lines_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_QUEUE_H_
