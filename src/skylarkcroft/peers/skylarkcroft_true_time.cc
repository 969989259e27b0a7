#include "skylarkcroft/peers/skylarkcroft_true_time.h"

#include <algorithm>
#include <vector>

namespace skylarkcroft {
namespace {

// Clocks of peers that were not heard for this long may have gone wrong since.
constexpr milliseconds kReadingLife{9000};

int64_t SinceStart(time_point now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
      .count();
}

}  // namespace

void true_time::NoteOwn(int64_t wall_ms, time_point now) {
  own_ = {wall_ms - SinceStart(now), now};
}

void true_time::NotePeer(const std::string& peer, int64_t wall_ms,
                         time_point now) {
  peers_[peer] = {wall_ms - SinceStart(now), now};
}

int64_t true_time::NowMs(time_point now) const {
  std::vector<int64_t> offsets = {own_.offset_ms};
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard <= kReadingLife) {
      offsets.push_back(peer.offset_ms);
    }
  }
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle + SinceStart(now);
}

}  // namespace skylarkcroft
