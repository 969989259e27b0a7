#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_CRASH_EVIDENCE_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_prompt_key.h"

namespace skylarkcroft {

/// A response that breaks off later than this after its first output was not
/// broken off by its start.
inline constexpr milliseconds kFirstOutputWindow{150};

/// An attempt whose connection broke before or just after the first output, so
/// that it may be what crashed its upstream.
struct crash_suspect {
  uint32_t upstream = 0;  ///< UpstreamKey() of its id.
  part_key request = 0;
  /// The upstream had begun its response; else the request may have been
  /// waiting behind the one that crashed the upstream.
  bool response_begun = false;
  /// Shared parts that are not known to be sound, in order.
  std::vector<part_key> parts;

  bool operator==(const crash_suspect&) const = default;
};

/// Parts that occurred together in several crashes.
struct accusation {
  std::vector<part_key> parts;
  time_point first_crash_at{};

  bool operator==(const accusation&) const = default;
};

/// Parameters by which crashes are attributed to parts.
struct crash_evidence_parameters {
  /// A part is accused after this many crashes, under as many different
  /// requests. `min_begun_requests` are enough if the response had begun in all
  /// of the crashes.
  int min_crashes = 3;
  int min_begun_requests = 2;
  /// Crashes that other parts already explain count only if at least this many
  /// crashes are left unexplained.
  int min_unexplained = 2;
  /// A crash counts from this time on unless its upstream is heard of again.
  milliseconds confirmation{300};
  /// Bytes from an upstream are a sign of life if they arrive this long after
  /// its crash or later; earlier ones may have been under way.
  milliseconds transit{30};
  /// Attempts that break at one upstream within this time broke by one crash.
  milliseconds same_crash{1000};
  /// Upstreams that crash closer together than this have a common cause, such
  /// as the loss of their rack.
  milliseconds min_crash_gap{100};
  /// While successes are not known for long, an accusation that leaves out the
  /// last shared part of a request waits this long for one: a part that most
  /// requests share is in every crash.
  milliseconds min_unspecific_span{2000};
  /// Crashes are forgotten after this time.
  milliseconds max_age{300000};
  size_t max_records = 256;  ///< The oldest are dropped beyond this.

  bool operator==(const crash_evidence_parameters&) const = default;
};

/// Recent crashes with the requests that may have caused them.
class crash_evidence {
 public:
  explicit crash_evidence(const crash_evidence_parameters& parameters)
      : parameters_(parameters) {}

  /// A repeated report of the same suspect and crash has no effect.
  void Add(const crash_suspect& suspect, time_point now);
  /// Removes a part from the crashes until `until`.
  void RemovePart(part_key part, time_point until);
  /// Removes the unconfirmed crashes of an upstream from which bytes arrived at
  /// `alive_at`: only single responses were broken off.
  void Refute(uint32_t upstream, time_point alive_at);
  /// Crashes with all of `parts` count as evidence against these only.
  void Explain(const std::vector<part_key>& parts);
  void DropOld(time_point now);

  /// The parts accused by the most crashes; empty if none are. `wait` applies
  /// min_unspecific_span.
  [[nodiscard]] std::optional<accusation> FindAccusation(time_point now,
                                                         bool wait) const;
  /// Number of upstreams that crashed under one request since `since`; a crash
  /// before the response had begun counts half.
  [[nodiscard]] double CrashesOfRequest(part_key request,
                                        time_point since) const;
  [[nodiscard]] bool Contains(part_key part) const;
  [[nodiscard]] bool HasUnconfirmed(time_point now) const;
  [[nodiscard]] bool HasUnconfirmed(uint32_t upstream, time_point now) const;
  [[nodiscard]] size_t size() const { return records_.size(); }

 private:
  struct record {
    crash_suspect suspect;
    time_point at{};
    /// The quarantined parts that explain the crash; empty if none do.
    std::vector<part_key> explained_by;
  };
  /// The crashes that may be due to one part.
  struct part_history {
    part_key part = 0;
    std::vector<const record*> crashes;  ///< One record a crash, in order.
  };

  [[nodiscard]] bool IsSameCrash(const record& one, const record& other) const;
  /// Whether another request is more likely to have caused the crash: one with
  /// quarantined parts, or one whose response had begun while this one's had
  /// not.
  [[nodiscard]] bool IsBystander(const record& candidate) const;
  /// Whether a request with `part` is among the suspects of the crash.
  [[nodiscard]] bool MayBeDueTo(const record& crash, part_key part) const;
  [[nodiscard]] bool IsConfirmed(const record& crash, time_point now) const {
    return now - crash.at >= parameters_.confirmation;
  }
  [[nodiscard]] std::vector<part_history> CollectHistories(
      time_point now) const;
  void Append(part_history& history, const record& crash) const;
  [[nodiscard]] bool IsEnough(const part_history& history) const;
  /// The parts that all crashes have in common. `history` must not be empty.
  [[nodiscard]] static std::vector<part_key> CommonParts(
      const part_history& history);
  /// `history` without the crashes that a part of more crashes may explain.
  [[nodiscard]] part_history WithoutExplained(
      const part_history& history,
      const std::vector<part_history>& stronger) const;
  /// Whether `common` may be accused now or only after min_unspecific_span.
  [[nodiscard]] bool IsDue(const part_history& history,
                           const std::vector<part_key>& common,
                           time_point now) const;

  crash_evidence_parameters parameters_;
  std::deque<record> records_;
};

/// Whether `parts` contains all of `subset`.
bool ContainsAll(const std::vector<part_key>& parts,
                 const std::vector<part_key>& subset);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_CRASH_EVIDENCE_H_
