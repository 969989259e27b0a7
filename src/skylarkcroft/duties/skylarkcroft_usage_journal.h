#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_JOURNAL_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_JOURNAL_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_duty_calls.h"

namespace skylarkcroft {

/// The most recent usage reports. They are written to the store before they
/// are sent, so that every later lease holder sends the same counts.
struct usage_journal {
  std::vector<usage_report> reports;

  /// Newest window in the journal; empty when there are no reports.
  [[nodiscard]] std::optional<int64_t> NewestWindow() const;
  /// Returns a copy with `report` appended that keeps only the newest
  /// `max_reports` reports.
  [[nodiscard]] usage_journal WithReport(usage_report report,
                                         size_t max_reports) const;

  /// Returns the reports of both, each window once and in order; of two reports
  /// of a window the one of this journal. Keeps the newest `max_reports`.
  [[nodiscard]] usage_journal MergedWith(const usage_journal& other,
                                         size_t max_reports) const;

  /// The report to send next: the oldest one that is not in `accepted` and not
  /// late yet, else the oldest late one; empty when all are accepted. Windows
  /// before `oldest_timely` are late. A new holder repeats reports of the one
  /// before, and must not miss a deadline meanwhile.
  [[nodiscard]] std::optional<usage_report> NextUnaccepted(
      const std::set<int64_t>& accepted, int64_t oldest_timely) const;

  bool operator==(const usage_journal&) const = default;
};

std::string EncodeJournal(const usage_journal& journal);

/// Returns empty when `document` is not a valid journal.
std::optional<usage_journal> DecodeJournal(const std::string& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_JOURNAL_H_
