#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_PART_QUARANTINE_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_PART_QUARANTINE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_crash_evidence.h"
#include "skylarkcroft/quarantine/skylarkcroft_prompt_key.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"
#include "skylarkcroft/quarantine/skylarkcroft_success_memory.h"

namespace skylarkcroft {

/// Parameters of part_quarantine.
struct part_quarantine_parameters {
  crash_evidence_parameters evidence;
  /// A part is not suspected for this long after a success.
  milliseconds good_standing{2000};
  /// After this time the parts in common use have shown successes.
  milliseconds warm_up{10000};
  /// A request is rejected for `repeat_block` after this many upstreams
  /// crashed under it.
  double max_crashes_of_request = 2;
  milliseconds repeat_block{15000};
  /// Length of the first quarantine of a part. Each relapse doubles it.
  milliseconds first_quarantine{120000};
  milliseconds max_quarantine{3600000};
  /// A part that crashes an upstream within this time after its quarantine is
  /// quarantined again at once.
  milliseconds probation{3600000};
  size_t max_quarantined = 64;  ///< The earliest ending is dropped beyond this.
  size_t max_successes = 4096;
  /// Crashes that a node tells its peers of, per second. More come only from
  /// failures of another kind.
  int max_told_crashes_per_second = 32;
  /// Quarantines in one periodic report.
  size_t max_reported = 6;

  bool operator==(const part_quarantine_parameters&) const = default;
};

/// Whether a request may be sent to an upstream.
enum class quarantine_decision {
  kAllowed,
  kPartQuarantined,  ///< Its parts crash the upstreams that begin to answer.
  kRequestCrashed,   ///< Several upstreams crashed under this request.
};

/// The reason for rejecting a request, in logs and responses.
std::string_view ToString(quarantine_decision decision);

struct quarantine_verdict {
  quarantine_decision decision = quarantine_decision::kAllowed;
  milliseconds remaining{0};  ///< Time until the request may be sent.

  bool operator==(const quarantine_verdict&) const = default;
};

/// A change of what is quarantined, for logs.
struct quarantine_event {
  std::string_view what;  ///< "quarantined", "cleared" or "lapsed".
  /// What caused it: "crashes", "success", "peer" or "age".
  std::string_view source;
  quarantined_parts entry;

  bool operator==(const quarantine_event&) const = default;
};

/// Finds the prompt parts that crash upstreams, from the crashes and successes
/// of this node and its peers, and decides which requests must not be sent.
/// Does no I/O.
class part_quarantine {
 public:
  /// `on_event` is called for each change.
  part_quarantine(const part_quarantine_parameters& parameters,
                  std::function<void(const quarantine_event&)> on_event)
      : parameters_(parameters),
        on_event_(std::move(on_event)),
        evidence_(parameters.evidence),
        successes_(parameters.max_successes) {}

  [[nodiscard]] quarantine_verdict Decide(const prompt_key& prompt,
                                          time_point now) const;

  /// Records that an upstream crashed under an own request; `suspect.parts`
  /// holds all its shared parts.
  void RecordCrash(const crash_suspect& suspect, time_point now);
  /// Records that a byte arrived from an upstream. Needed only while
  /// HasUnconfirmedCrashes().
  void RecordByte(uint32_t upstream, time_point now);
  [[nodiscard]] bool HasUnconfirmedCrashes(time_point now) const {
    return evidence_.HasUnconfirmed(now);
  }
  /// Records that an own request ended well.
  void RecordSuccess(const prompt_key& prompt, time_point now);
  /// Applies what a peer told.
  void OnNotice(const quarantine_notice& notice, time_point now);
  /// Lets time pass; to be called every 100 ms or so, at a different moment on
  /// each node, so that not all of them tell the same thing.
  void Tick(time_point now);

  /// Removes and returns what is to be told to all peers at once.
  [[nodiscard]] quarantine_notice TakeNotice();
  /// All quarantines in force.
  [[nodiscard]] std::vector<quarantined_parts> Entries(time_point now) const;
  /// What is told in each periodic report: the latest of them.
  [[nodiscard]] std::vector<quarantined_parts> Report(time_point now) const;

 private:
  struct quarantine {
    std::vector<part_key> parts;
    time_point first_crash_at{};
    time_point ends_at{};
    int relapses = 0;
    bool lapsed = false;  ///< On probation.
  };

  void RememberSuccess(part_key part, time_point at);
  [[nodiscard]] bool IsInGoodStanding(part_key part, time_point now) const;
  [[nodiscard]] std::vector<part_key> WithoutSound(
      const std::vector<part_key>& parts, time_point since) const;
  [[nodiscard]] milliseconds Length(int relapses) const;
  [[nodiscard]] static quarantined_parts Describe(const quarantine& entry,
                                                  time_point now);
  void AddEvidence(const crash_suspect& suspect, time_point now);
  /// Quarantines what the evidence accuses.
  void Accuse(time_point now);
  void QuarantineAgain(const crash_suspect& suspect, time_point now);
  void Insert(const quarantine& added, std::string_view source, time_point now);
  void ClearPart(part_key part, time_point success_at, std::string_view source,
                 time_point now);
  [[nodiscard]] bool IsSuspected(part_key part) const;
  void OnPeerCrash(const crash_suspect& suspect, time_point now);
  void OnPeerQuarantine(const quarantined_parts& told, time_point now);
  void TellLater(part_key part, time_point now);
  void EndQuarantines(time_point now);

  part_quarantine_parameters parameters_;
  std::function<void(const quarantine_event&)> on_event_;
  crash_evidence evidence_;
  success_memory successes_;
  std::optional<time_point> first_success_at_;
  std::vector<quarantine> quarantined_;
  quarantine_notice untold_;
  /// Parts whose success is told at the next Tick() unless a peer tells it.
  std::vector<part_key> successes_to_tell_;
  /// Upstreams whose sign of life is told at the next Tick() unless a peer
  /// tells it.
  std::vector<uint32_t> alive_to_tell_;
  /// When each part's success was last told by any node.
  std::unordered_map<part_key, time_point> told_at_;
  time_point told_second_{};
  int told_crashes_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_PART_QUARANTINE_H_
