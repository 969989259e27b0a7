#include "skylarkcroft/duties/skylarkcroft_usage_journal.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {

std::optional<int64_t> usage_journal::NewestWindow() const {
  if (reports.empty()) {
    return std::nullopt;
  }
  return reports.back().window;
}

usage_journal usage_journal::WithReport(usage_report report,
                                        size_t max_reports) const {
  usage_journal next = *this;
  next.reports.push_back(std::move(report));
  while (next.reports.size() > max_reports) {
    next.reports.erase(next.reports.begin());
  }
  return next;
}

usage_journal usage_journal::MergedWith(const usage_journal& other,
                                        size_t max_reports) const {
  std::map<int64_t, usage_report> by_window;
  for (const usage_report& report : other.reports) {
    by_window[report.window] = report;
  }
  for (const usage_report& report : reports) {
    by_window[report.window] = report;
  }
  usage_journal merged;
  for (auto& [window, report] : by_window) {
    merged = merged.WithReport(std::move(report), max_reports);
  }
  return merged;
}

std::optional<usage_report> usage_journal::NextUnaccepted(
    const std::set<int64_t>& accepted, int64_t oldest_timely) const {
  std::optional<usage_report> oldest_late;
  for (const usage_report& report : reports) {
    if (accepted.contains(report.window)) {
      continue;
    }
    if (report.window >= oldest_timely) {
      return report;
    }
    oldest_late = oldest_late.value_or(report);
  }
  return oldest_late;
}

std::string EncodeJournal(const usage_journal& journal) {
  nlohmann::json reports = nlohmann::json::array();
  for (const usage_report& report : journal.reports) {
    nlohmann::json counts = nlohmann::json::object();
    for (const usage_count& count : report.counts) {
      counts[count.workspace] = count.begun;
    }
    reports.push_back({{"window", report.window}, {"begun", counts}});
  }
  return reports.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<usage_journal> DecodeJournal(const std::string& document) {
  const nlohmann::json parsed = ParseBoundedJson(document);
  if (!parsed.is_array()) {
    return std::nullopt;
  }
  try {
    usage_journal journal;
    for (const nlohmann::json& item : parsed) {
      usage_report report{item.at("window").get<int64_t>(), {}};
      const auto& counts =
          item.at("begun").get_ref<const nlohmann::json::object_t&>();
      for (const auto& [workspace, begun] : counts) {
        report.counts.push_back(
            {report.window, workspace, begun.get<int64_t>()});
      }
      journal.reports.push_back(std::move(report));
    }
    return journal;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace skylarkcroft
