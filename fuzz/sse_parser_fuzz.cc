#include <vector>

#include "fuzz/fuzz_input.h"
#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxEventBytes = 256;

/// Events of `text`, fed in pieces of `piece` bytes.
std::vector<sse_event> EventsOf(std::string_view text, size_t piece) {
  std::vector<sse_event> events;
  sse_parser parser(kMaxEventBytes,
                    [&](const sse_event& event) { events.push_back(event); });
  for (size_t place = 0; place < text.size(); place += piece) {
    if (!parser.Feed(text.substr(place, piece))) {
      break;
    }
  }
  return events;
}

}  // namespace

/// Where a stream is cut into pieces must not change its events.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text = fuzz::TextOf(data, size);
  if (EventsOf(text, 1) != EventsOf(text, text.size() + 1)) {
    __builtin_trap();
  }
  return 0;
}

}  // namespace skylarkcroft
