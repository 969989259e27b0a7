#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_SUSPECTS_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_key.h"

namespace skylarkcroft {

/// A crash of an upstream that had a request.
struct suspected_crash {
  uint32_t upstream = 0;
  time_point at{};
  time_point sent_at{};  ///< When the request was sent there.

  bool operator==(const suspected_crash&) const = default;
};

/// Parameters by which crashes are told apart.
struct request_suspects_parameters {
  /// A request is accused after this many crashes.
  size_t min_crashes = 3;
  /// A crash is certain after this time unless its upstream is heard of again,
  /// and after `telling` more also unless a peer has heard of it.
  milliseconds confirmation{300};
  milliseconds telling{200};
  /// Bytes from an upstream are a sign of life if they arrive this long after
  /// its crash or later; earlier ones may have been under way.
  milliseconds transit{30};
  /// Attempts that break at one upstream within this time broke by one crash.
  milliseconds same_crash{1000};
  /// If requests break off at one upstream within this time of each other, it
  /// is not single responses that broke off.
  milliseconds broken_together{100};
  /// Upstreams that crash closer together than this have a common cause, such
  /// as the loss of their rack, if they had the request at the same time.
  milliseconds min_crash_gap{100};
  /// Requests with one crash, and with more, are forgotten after these times.
  milliseconds max_age_single{600000};
  milliseconds max_age{3600000};
  /// The oldest, those with one crash first, are dropped beyond this.
  size_t max_requests = 8192;

  bool operator==(const request_suspects_parameters&) const = default;
};

/// Explains a crash for all requests, however many crashes they have.
inline constexpr size_t kStrongest = std::numeric_limits<size_t>::max();

/// The requests under which upstreams crashed lately, with their crashes.
class request_suspects {
 public:
  explicit request_suspects(const request_suspects_parameters& parameters)
      : parameters_(parameters) {}

  /// Adds a crash unless it is known, has a common cause with a known one or is
  /// due to something else. Crashes closer together than `min_repeat_gap` have
  /// a common cause also if one upstream had the request only after the other
  /// had crashed. Returns the number of crashes under the request, 0 if none
  /// was added.
  size_t Add(request_key request, const suspected_crash& crash,
             milliseconds min_repeat_gap, time_point now);
  /// Removes the crashes of a request until `until`.
  void Clear(request_key request, time_point until);
  /// Removes the crash of an upstream from one request.
  void Remove(request_key request, uint32_t upstream, time_point at);
  /// Removes the crash of an upstream from which bytes arrived at `alive_at`,
  /// if they show that only single responses broke off. Returns whether any
  /// crash was removed.
  bool Refute(uint32_t upstream, time_point alive_at);
  /// The same when a peer has told of the bytes.
  void RefuteByPeer(uint32_t upstream, time_point told_at);
  /// The crash of an upstream at `at` is due to something else than the
  /// requests with fewer than `strength` crashes; with kStrongest also than
  /// those that are yet to be added.
  void Explain(uint32_t upstream, time_point at, size_t strength,
               time_point now);
  void DropOld(time_point now);

  /// The crashes under a request, the earliest first.
  [[nodiscard]] std::vector<suspected_crash> Crashes(request_key request) const;
  [[nodiscard]] size_t Count(request_key request) const;
  /// Whether the request was at the upstream of `crash` as well.
  [[nodiscard]] bool HasCrash(request_key request,
                              const suspected_crash& crash) const;
  /// The number of crashes that can no longer be refuted.
  [[nodiscard]] size_t CertainCount(request_key request, time_point now) const;
  /// Whether the crash was explained for all requests.
  [[nodiscard]] bool IsExplained(uint32_t upstream, time_point at) const;
  [[nodiscard]] bool HasUnconfirmed(time_point now) const;
  [[nodiscard]] bool HasUnconfirmed(uint32_t upstream, time_point now) const;
  [[nodiscard]] size_t size() const { return requests_.size(); }
  /// Memory in use, in bytes.
  [[nodiscard]] size_t MemoryBytes() const;

 private:
  struct recent_crash {
    uint32_t upstream = 0;
    time_point at{};
    request_key request = 0;

    bool operator==(const recent_crash&) const = default;
  };
  struct explained_crash {
    uint32_t upstream = 0;
    time_point at{};
  };

  [[nodiscard]] bool IsSameCrash(const suspected_crash& crash,
                                 uint32_t upstream, time_point at) const;
  [[nodiscard]] bool HasCommonCause(const suspected_crash& one,
                                    const suspected_crash& other,
                                    milliseconds min_repeat_gap) const;
  /// Whether several requests broke off at the upstream of a crash.
  [[nodiscard]] bool IsShared(const recent_crash& crash) const;
  bool RefuteWithin(uint32_t upstream, time_point alive_at, duration limit);
  void DropExcess();

  request_suspects_parameters parameters_;
  std::unordered_map<request_key, std::vector<suspected_crash>> requests_;
  /// Crashes that may still be refuted, oldest first.
  std::deque<recent_crash> recent_;
  std::deque<explained_crash> explained_;
  time_point next_sweep_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_SUSPECTS_H_
