#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_QUARANTINE_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_key.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_notice.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_suspects.h"
#include "skylarkcroft/quarantine/skylarkcroft_success_memory.h"

namespace skylarkcroft {

/// Parameters of request_quarantine.
struct request_quarantine_parameters {
  request_suspects_parameters suspects;
  /// A request that alone was in so many crashes is what caused them; the
  /// crashes that it shares with others are then not held against these.
  size_t min_sole_crashes = 2;
  /// If more others have as many crashes, the latest within `rank_span`, none
  /// of them is accused: upstreams crash for another reason, and a request that
  /// does crash them will soon have more crashes than the others.
  size_t max_rivals = 8;
  milliseconds rank_span{5000};
  /// A request is not suspected for this long after a success.
  milliseconds good_standing{2000};
  /// A request with this many crashes is rejected for `repeat_block` after the
  /// last of them, before it is accused; 0 for none.
  size_t crashes_to_block = 0;
  milliseconds repeat_block{15000};
  /// Crashes closer together than this have a common cause, such as the loss of
  /// a rack, even if the second upstream got the request only after the first
  /// had crashed.
  milliseconds min_repeat_gap{10};
  /// Length of the first quarantine. Each relapse multiplies it.
  milliseconds first_quarantine{600000};
  int relapse_factor = 18;
  milliseconds max_quarantine{172800000};
  /// Length of the first quarantine of a request that ended well before its
  /// crashes.
  milliseconds first_quarantine_of_sound{10000};
  /// After a quarantine or `repeat_block` one node sends the request once; it
  /// is rejected for this long meanwhile, unless it ends well.
  milliseconds trial{30000};
  /// A quarantine ends at this node so much later than at the first one. To be
  /// drawn for each node between 0 and 10 s, so that few of them try at once.
  milliseconds end_delay{0};
  /// A request is forgotten this long after its quarantine.
  milliseconds probation{86400000};
  /// The earliest ending is dropped beyond this.
  size_t max_quarantined = 1024;
  size_t max_successes = 4096;
  /// Successes older than this mean nothing.
  milliseconds max_success_age{3600000};
  /// Crashes that a node tells its peers of, per second: of requests without
  /// and with earlier crashes.
  int max_told_crashes_per_second = 64;
  int max_told_repeats_per_second = 64;
  /// Quarantines in one periodic report; they fit into one datagram.
  size_t max_reported = 44;

  bool operator==(const request_quarantine_parameters&) const = default;
};

/// A change of what is quarantined, for logs.
struct request_quarantine_event {
  std::string_view what;  ///< "quarantined", "cleared", "lapsed" or "tried".
  /// What caused it: "crashes", "success", "peer", "sending" or "age".
  std::string_view source;
  quarantined_request entry;

  bool operator==(const request_quarantine_event&) const = default;
};

/// Finds the requests that crash the upstreams which run them, from the crashes
/// and successes of this node and its peers, and decides which requests must
/// not be sent. Does no I/O.
///
/// For each request, of any kind, with or without prompt parts:
/// 1. Decide() when it has been read whole, and again before each attempt is
///    sent. Rejected requests were not run if no attempt was sent before.
/// 2. RecordSending() for each attempt that is sent.
/// 3. RecordCrash() if the connection of an attempt broke, at any time after
///    the request was sent and before its answer was whole; not if this node
///    ended the attempt. RecordCrash() comes before the Decide() of a further
///    attempt. ExplainCrash() instead if a quarantined prompt part explains it.
/// 4. RecordSuccess() if an upstream that ran the request gave a whole answer
///    with a status below 500; not if the answer says that the request was not
///    run.
/// TakeNotice() at the end of the turn of the event loop in which any of these,
/// OnNotice() or Tick() was called, so that what one crash broke goes to all
/// peers in one datagram. Report() goes to all peers as often as the report of
/// quarantined parts.
class request_quarantine {
 public:
  /// `on_event` is called for each change.
  request_quarantine(
      const request_quarantine_parameters& parameters,
      std::function<void(const request_quarantine_event&)> on_event)
      : parameters_(parameters),
        on_event_(std::move(on_event)),
        suspects_(parameters.suspects),
        successes_(parameters.max_successes) {}

  /// kAllowed or kRequestCrashed.
  [[nodiscard]] quarantine_verdict Decide(request_key request,
                                          time_point now) const;

  /// Records that an own attempt is sent. Returns whether it is the one that
  /// tries the request after a quarantine or a block.
  bool RecordSending(request_key request, time_point now);
  /// Records that the connection to an upstream broke under an own attempt that
  /// was sent at `sent_at`.
  void RecordCrash(uint32_t upstream, request_key request, time_point sent_at,
                   time_point now);
  /// Records that an upstream crashed by something else than the request, such
  /// as a quarantined prompt part.
  void ExplainCrash(uint32_t upstream, time_point now);
  /// Whether a quarantined request or part is known to have crashed the
  /// upstream just now: then the crash says nothing about the prompt parts of
  /// other requests, and is not to be recorded in part_quarantine.
  [[nodiscard]] bool IsExplained(uint32_t upstream, time_point now) const {
    return suspects_.IsExplained(upstream, now);
  }
  /// Records that a byte arrived from an upstream. Needed only while
  /// HasUnconfirmedCrashes().
  void RecordByte(uint32_t upstream, time_point now);
  [[nodiscard]] bool HasUnconfirmedCrashes(time_point now) const {
    return suspects_.HasUnconfirmed(now);
  }
  /// Records that an own request ended well.
  void RecordSuccess(request_key request, time_point now);
  /// Applies what a peer told, in a notice or a report, or what was archived.
  void OnNotice(const request_notice& notice, time_point now);
  /// Lets time pass; to be called every 100 ms or so, at a different moment on
  /// each node, so that not all of them tell the same thing.
  void Tick(time_point now);

  /// Removes and returns what is to be told to all peers at once.
  [[nodiscard]] request_notice TakeNotice();
  /// All quarantines in force, for the archive.
  [[nodiscard]] std::vector<quarantined_request> Entries(time_point now) const;
  /// What is told in each periodic report: the latest of them.
  [[nodiscard]] std::vector<quarantined_request> Report(time_point now) const;

  [[nodiscard]] size_t SuspectCount() const { return suspects_.size(); }
  [[nodiscard]] size_t QuarantineCount() const { return quarantined_.size(); }
  /// Memory in use, in bytes.
  [[nodiscard]] size_t MemoryBytes() const;

 private:
  enum class phase {
    kInForce,
    kLapsed,  ///< May be tried.
    kTried,   ///< A node has sent it; rejected until `ends_at` or its end.
  };
  struct quarantine {
    time_point first_crash_at{};
    time_point ends_at{};
    int relapses = 0;
    phase state = phase::kInForce;
  };

  [[nodiscard]] bool IsInGoodStanding(request_key request,
                                      time_point now) const;
  /// When the request last ended well, if it did in the last hour or so.
  [[nodiscard]] std::optional<time_point> LastSuccess(request_key request,
                                                      time_point now) const;
  [[nodiscard]] milliseconds Length(int relapses, bool was_sound) const;
  [[nodiscard]] static quarantined_request Describe(request_key request,
                                                    const quarantine& entry,
                                                    time_point now);
  /// When a request that is not quarantined may be sent again; empty unless it
  /// has crashes_to_block crashes.
  [[nodiscard]] std::optional<time_point> BlockEnd(request_key request) const;
  /// The number of crashes after which the request is quarantined.
  [[nodiscard]] size_t CrashesToAccuse(request_key request) const;
  void AddCrash(request_key request, const suspected_crash& crash, bool is_own,
                time_point now);
  void TellCrash(request_key request, const suspected_crash& crash,
                 time_point now);
  /// The crashes under a request explain those of others that have fewer.
  void ExplainWeaker(request_key request, time_point now);
  /// Others that may be accused and have as many crashes.
  [[nodiscard]] std::vector<request_key> Rivals(request_key request) const;
  /// Whether the request has enough crashes in which no other one of a group
  /// was, so that it must be what caused them.
  [[nodiscard]] bool IsSoleSuspect(request_key request,
                                   const std::vector<request_key>& group) const;
  /// Whether the request has enough crashes that its rivals do not explain, and
  /// few rivals.
  [[nodiscard]] bool IsAccused(request_key request) const;
  /// Quarantines the requests whose crashes are certain.
  void Accuse(time_point now);
  void Quarantine(request_key request, time_point now);
  [[nodiscard]] bool IsRejecting(const quarantine& entry,
                                 time_point now) const {
    return entry.state != phase::kLapsed &&
           now < entry.ends_at + parameters_.end_delay;
  }
  void Insert(request_key request, const quarantine& added,
              std::string_view source, time_point now);
  void DropExcess();
  void ApplySuccess(request_key request, time_point success_at,
                    std::string_view source, time_point now);
  void OnPeerCrash(const request_crash& told, time_point now);
  /// Brings a known quarantine up to date with what a peer told.
  void Update(request_key request, quarantine& known, const quarantine& told,
              time_point now);
  void OnPeerQuarantine(const quarantined_request& told, time_point now);
  void TellLater(request_key request, duration pause, time_point now);
  void EndQuarantines(time_point now);

  request_quarantine_parameters parameters_;
  std::function<void(const request_quarantine_event&)> on_event_;
  request_suspects suspects_;
  success_memory successes_;
  std::unordered_map<request_key, quarantine> quarantined_;
  /// Requests with enough crashes, some of which may still be refuted, and
  /// whether this node saw one of them itself.
  std::unordered_map<request_key, bool> accused_;
  request_notice untold_;
  /// Requests whose success is told at the next Tick() unless a peer tells it.
  std::vector<request_key> successes_to_tell_;
  /// Upstreams whose sign of life is told at the next Tick() unless a peer
  /// tells it.
  std::vector<uint32_t> alive_to_tell_;
  /// When each request's success was last told by any node.
  std::unordered_map<request_key, time_point> told_at_;
  time_point told_second_{};
  int told_crashes_ = 0;
  int told_repeats_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_REQUEST_QUARANTINE_H_
