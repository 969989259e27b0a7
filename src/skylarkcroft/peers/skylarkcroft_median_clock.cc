#include "skylarkcroft/peers/skylarkcroft_median_clock.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace skylarkcroft {
namespace {

// Older readings are ignored, since the peer's clock may have changed since.
constexpr milliseconds kMaxReadingAge{9000};
// After this time a process has heard its peers.
constexpr milliseconds kSettleTime{5000};
// Clocks that are corrected without a step drift by less than this between two
// readings.
constexpr int64_t kMaxDriftMs = 500;
// A step of this host's clock is believed when it has lasted for this time:
// corrections last, steps by mistake are undone.
constexpr milliseconds kStepPatience{120000};

int64_t MonotonicMs(time_point now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
      .count();
}

}  // namespace

void median_clock::RecordOwn(int64_t wall_ms, time_point now) {
  std::erase_if(peers_, [now](const auto& entry) {
    return now - entry.second.read_at > kMaxReadingAge;
  });
  const int64_t offset_ms = wall_ms - MonotonicMs(now);
  started_at_ = started_at_.value_or(now);
  if (now - *started_at_ < kSettleTime) {
    own_ = {offset_ms, now};
    return;
  }
  if (!std::exchange(settled_, true)) {
    own_ = {NowMs(now) - MonotonicMs(now), now};
  }
  if (std::llabs(offset_ms - own_.offset_ms) <= kMaxDriftMs) {
    own_ = {offset_ms, now};
    differs_since_.reset();
    return;
  }
  differs_since_ = differs_since_.value_or(now);
  if (now - *differs_since_ >= kStepPatience) {
    own_ = {offset_ms, now};
    differs_since_.reset();
  }
}

int64_t median_clock::OwnMs(time_point now) const {
  return own_.offset_ms + MonotonicMs(now);
}

void median_clock::OnPeerReport(const std::string& peer, int64_t wall_ms,
                                time_point now) {
  peers_[peer] = {wall_ms - MonotonicMs(now), now};
}

int64_t median_clock::NowMs(time_point now) const {
  std::vector<int64_t> offsets = {own_.offset_ms};
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
