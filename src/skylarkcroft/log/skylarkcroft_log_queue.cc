#include "skylarkcroft/log/skylarkcroft_log_queue.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr int kMaxWritesPerDrain = 64;

enum class write_state { kWritten, kFull, kBroken };

struct write_attempt {
  write_state state = write_state::kFull;
  size_t size = 0;
};

// A descriptor that poll reports as writable takes PIPE_BUF bytes at once if it
// is a pipe; a socket may have less room and is told not to wait.
write_attempt WriteWithoutWaiting(int fd, const std::string& block) {
  pollfd wanted{fd, POLLOUT, 0};
  if (poll(&wanted, 1, 0) <= 0) {
    return {};
  }
  if ((wanted.revents & (POLLERR | POLLNVAL)) != 0) {
    return {write_state::kBroken, 0};
  }
  if ((wanted.revents & POLLOUT) == 0) {
    return {};
  }
  ssize_t written =
      send(fd, block.data(), block.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (written < 0 && errno == ENOTSOCK) {
    written = write(fd, block.data(), block.size());
  }
  if (written >= 0) {
    return {write_state::kWritten, static_cast<size_t>(written)};
  }
  const bool retry = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return {retry ? write_state::kFull : write_state::kBroken, 0};
}

}  // namespace

log_queue::log_queue(int fd, size_t max_bytes)
    : fd_(fd), max_bytes_(max_bytes) {}

bool log_queue::Push(std::string line) {
  if (queued_bytes_ + line.size() > max_bytes_) {
    ++dropped_lines_;
    return false;
  }
  queued_bytes_ += line.size();
  lines_.push_back(std::move(line));
  return true;
}

bool log_queue::Drain() {
  for (int writes = 0; writes < kMaxWritesPerDrain; ++writes) {
    if (lines_.empty()) {
      return true;
    }
    const write_attempt attempt = WriteWithoutWaiting(fd_, NextBlock());
    if (attempt.state == write_state::kBroken) {
      DropAll();
      return false;
    }
    if (attempt.state == write_state::kFull) {
      return true;
    }
    Consume(attempt.size);
  }
  return true;
}

// Whole lines where they fit, so that lines of several writers to one pipe do
// not mix.
std::string log_queue::NextBlock() const {
  std::string block = lines_.front().substr(written_, PIPE_BUF);
  for (size_t index = 1; index < lines_.size(); ++index) {
    const std::string& line = lines_[index];
    if (block.size() + line.size() > PIPE_BUF) {
      break;
    }
    block += line;
  }
  return block;
}

void log_queue::Consume(size_t size) {
  queued_bytes_ -= size;
  while (size > 0) {
    const size_t left = lines_.front().size() - written_;
    const size_t taken = std::min(size, left);
    size -= taken;
    written_ += taken;
    if (taken == left) {
      lines_.pop_front();
      written_ = 0;
    }
  }
}

void log_queue::DropAll() {
  dropped_lines_ += lines_.size();
  lines_.clear();
  written_ = 0;
  queued_bytes_ = 0;
}

}  // namespace skylarkcroft
