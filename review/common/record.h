#ifndef REVIEW_COMMON_RECORD_H_
#define REVIEW_COMMON_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Writes what was sent, answered and run, a line an event with its time in
/// milliseconds since the start.
class record {
 public:
  explicit record(const std::string& path) : out_(path) {}
  void Note(const std::string& line);

 private:
  std::mutex lock_;
  std::ofstream out_;
};

}  // namespace review

#endif  // REVIEW_COMMON_RECORD_H_
