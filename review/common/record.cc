#include "review/common/record.h"

#include "review/common/net.h"

namespace review {

void record::Note(const std::string& line) {
  const std::lock_guard<std::mutex> guard(lock_);
  out_ << NowMs() << " ms " << line << std::endl;
}

}  // namespace review
