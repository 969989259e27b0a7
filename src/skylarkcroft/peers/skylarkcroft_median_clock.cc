#include "skylarkcroft/peers/skylarkcroft_median_clock.h"

#include <algorithm>
#include <vector>

namespace skylarkcroft {
namespace {

// Older readings are ignored, since the peer's clock may have changed since.
constexpr milliseconds kMaxReadingAge{9000};

int64_t MonotonicMs(time_point now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
      .count();
}

}  // namespace

void median_clock::RecordOwn(int64_t wall_ms, time_point now) {
  local_ = {wall_ms - MonotonicMs(now), now};
}

void median_clock::OnPeerReport(const std::string& peer, int64_t wall_ms,
                                time_point now) {
  peers_[peer] = {wall_ms - MonotonicMs(now), now};
}

int64_t median_clock::NowMs(time_point now) const {
  std::vector<int64_t> offsets = {local_.offset_ms};
  for (const auto& [name, peer] : peers_) {
    if (now - peer.read_at <= kMaxReadingAge) {
      offsets.push_back(peer.offset_ms);
    }
  }
  const auto median =
      offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), median, offsets.end());
  return *median + MonotonicMs(now);
}

}  // namespace skylarkcroft
