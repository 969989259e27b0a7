#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_JOURNAL_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_JOURNAL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_duty_calls.h"

namespace skylarkcroft {

/// The newest usage reports as they were fixed in the store before they were
/// sent, so that every holder of the duty sends the same figures.
struct usage_journal {
  std::vector<usage_report> reports;

  /// The newest window fixed; empty without any.
  [[nodiscard]] std::optional<int64_t> Newest() const;
  /// With `report` appended and only the newest `kept` reports.
  [[nodiscard]] usage_journal With(usage_report report, size_t kept) const;

  bool operator==(const usage_journal&) const = default;
};

std::string EncodeJournal(const usage_journal& journal);

/// Empty when `document` is not a journal.
std::optional<usage_journal> DecodeJournal(const std::string& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_USAGE_JOURNAL_H_
