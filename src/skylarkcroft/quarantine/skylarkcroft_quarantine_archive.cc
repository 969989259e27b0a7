#include "skylarkcroft/quarantine/skylarkcroft_quarantine_archive.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr const char* kTable = "quarantines";
constexpr const char* kRequestPrefix = "request-";
// The store takes no more in one transaction.
constexpr size_t kMaxRowsPerCall = 100;
// Far beyond the longest quarantine.
constexpr milliseconds kLongestSpan = std::chrono::hours(24 * 365);
constexpr int64_t kMaxRelapses = 1000;
// Least time between two calls of a node; bounds the load on the store.
constexpr milliseconds kCallInterval{1000};
// Time that the first writer has after a restore of the store; it learns of the
// restore within a second and makes two calls.
constexpr milliseconds kFirstWriterTime{3000};

std::string RowKey(const std::vector<part_key>& parts) {
  std::vector<part_key> sorted = parts;
  std::sort(sorted.begin(), sorted.end());
  return ToString(std::vector<part_key>{
      XXH3_64bits(sorted.data(), sorted.size() * sizeof(part_key))});
}

// Tells the rows of requests from those of parts.
std::string RowKey(request_key request) {
  return kRequestPrefix + ToString(std::vector<part_key>{request});
}

// What the rows of both kinds say of a quarantine. Times are on the store's
// clock.
struct row_times {
  milliseconds first_crash_age{0};
  milliseconds remaining{0};
  int relapses = 0;
};

json EncodeTimes(const row_times& times, milliseconds store_now) {
  return {{"first_crash_ms", (store_now - times.first_crash_age).count()},
          {"ends_ms", (store_now + times.remaining).count()},
          {"relapses", times.relapses}};
}

// The span from one moment to another; throws where it is longer than any that
// is written.
milliseconds SpanBetween(int64_t from_ms, int64_t to_ms) {
  int64_t span = 0;
  if (__builtin_sub_overflow(to_ms, from_ms, &span) ||
      span > kLongestSpan.count() || span < -kLongestSpan.count()) {
    throw std::out_of_range("time of a quarantine is out of range");
  }
  return milliseconds(span);
}

row_times DecodeTimes(const json& value, milliseconds store_now) {
  const auto number = [&value](const char* name) {
    const json& item = value.at(name);
    if (!item.is_number_integer()) {
      throw std::out_of_range("item is not an integer");
    }
    return item.get<int64_t>();
  };
  return {std::max(SpanBetween(number("first_crash_ms"), store_now.count()),
                   milliseconds(0)),
          SpanBetween(store_now.count(), number("ends_ms")),
          static_cast<int>(
              std::clamp<int64_t>(number("relapses"), 0, kMaxRelapses))};
}

// Empty where a row is not valid.
std::optional<int> RelapsesIn(const stored_row& row, milliseconds store_now) {
  const std::optional<quarantined_parts> parts =
      DecodeQuarantineRow(row, store_now);
  if (parts.has_value()) {
    return parts->relapses;
  }
  const std::optional<quarantined_request> request =
      DecodeRequestRow(row, store_now);
  return request.has_value() ? std::optional<int>(request->relapses)
                             : std::nullopt;
}

// Empty where `decode` throws: the row was not written by this program, and
// the writer replaces it.
template <typename Entry>
std::optional<Entry> DecodeRow(
    const stored_row& row, const std::function<Entry(const json&)>& decode) {
  try {
    return decode(ParseBoundedJson(row.value));
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

}  // namespace

row_change EncodeQuarantineRow(const quarantined_parts& entry,
                               milliseconds store_now) {
  json value = EncodeTimes(
      {entry.first_crash_age, entry.remaining, entry.relapses}, store_now);
  value["parts"] = entry.parts;
  return {kTable, RowKey(entry.parts), value.dump()};
}

row_change EncodeRequestRow(const quarantined_request& entry,
                            milliseconds store_now) {
  json value = EncodeTimes(
      {entry.first_crash_age, entry.remaining, entry.relapses}, store_now);
  value["request"] = entry.request;
  return {kTable, RowKey(entry.request), value.dump()};
}

std::optional<quarantined_parts> DecodeQuarantineRow(const stored_row& row,
                                                     milliseconds store_now) {
  return DecodeRow<quarantined_parts>(row, [&](const json& value) {
    const auto parts = value.at("parts").get<std::vector<part_key>>();
    if (parts.empty() || parts.size() > kMaxSharedParts) {
      throw std::out_of_range("number of prompt parts is out of range");
    }
    const row_times times = DecodeTimes(value, store_now);
    return quarantined_parts{parts, times.first_crash_age, times.remaining,
                             times.relapses};
  });
}

std::optional<quarantined_request> DecodeRequestRow(const stored_row& row,
                                                    milliseconds store_now) {
  return DecodeRow<quarantined_request>(row, [&](const json& value) {
    const row_times times = DecodeTimes(value, store_now);
    return quarantined_request{value.at("request").get<request_key>(),
                               times.first_crash_age, times.remaining,
                               times.relapses};
  });
}

quarantine_archive::quarantine_archive(
    row_store& store, part_quarantine& parts, request_quarantine& requests,
    clock_fn clock, std::function<void(store_outcome)> on_outcome)
    : store_(store),
      parts_(parts),
      requests_(requests),
      clock_(std::move(clock)),
      on_outcome_(std::move(on_outcome)) {}

void quarantine_archive::Tick(time_point now, const archive_role& role) {
  if (calling_ || now < next_call_) {
    return;
  }
  const bool waits_for_first =
      role.is_second_writer && now < first_writer_until_;
  const bool must_write =
      loaded_ && changed_ && role.is_writer && !waits_for_first;
  const bool saw_crashes =
      parts_.HasUnconfirmedCrashes(now) || requests_.HasUnconfirmedCrashes(now);
  const bool must_read = !loaded_ || (role.is_isolated && saw_crashes);
  if (must_read || must_write) {
    next_call_ = now + kCallInterval;
    Read(must_write);
  }
}

void quarantine_archive::OnStoreRestored(time_point now) {
  changed_ = true;
  first_writer_until_ = now + kFirstWriterTime;
}

void quarantine_archive::Read(bool then_write) {
  calling_ = true;
  const std::weak_ptr<bool> alive = alive_;
  store_.Read(kTable, [this, alive, then_write](const store_response& view) {
    if (alive.expired()) {
      return;
    }
    calling_ = false;
    on_outcome_(view.outcome);
    const time_point now = clock_();
    if (!Apply(view, now)) {
      return;
    }
    loaded_ = true;
    if (then_write) {
      Write(view, now);
    }
  });
}

bool quarantine_archive::Apply(const store_response& view, time_point now) {
  if (view.outcome != store_outcome::kDone || !view.responded_at.has_value()) {
    return false;
  }
  const bool changed_before = changed_;
  quarantine_notice of_parts;
  request_notice of_requests;
  for (const stored_row& row : view.rows) {
    const std::optional<quarantined_parts> parts =
        DecodeQuarantineRow(row, *view.responded_at);
    if (parts.has_value()) {
      of_parts.quarantined.push_back(*parts);
      continue;
    }
    const std::optional<quarantined_request> request =
        DecodeRequestRow(row, *view.responded_at);
    if (request.has_value()) {
      of_requests.quarantined.push_back(*request);
    }
  }
  parts_.OnNotice(of_parts, now);
  requests_.OnNotice(of_requests, now);
  // What was read needs no writing.
  changed_ = changed_before;
  return true;
}

std::vector<row_change> quarantine_archive::Rows(milliseconds store_now,
                                                 time_point now) const {
  std::vector<row_change> rows;
  for (const quarantined_parts& entry : parts_.Entries(now)) {
    rows.push_back(EncodeQuarantineRow(entry, store_now));
  }
  for (const quarantined_request& entry : requests_.Entries(now)) {
    rows.push_back(EncodeRequestRow(entry, store_now));
  }
  return rows;
}

void quarantine_archive::Write(const store_response& view, time_point now) {
  const std::vector<row_change> rows = Rows(*view.responded_at, now);
  std::unordered_map<std::string, std::optional<int>> stored;
  for (const stored_row& row : view.rows) {
    stored[row.key] = RelapsesIn(row, *view.responded_at);
  }
  row_transaction changes;
  std::unordered_set<std::string> present;
  for (const row_change& row : rows) {
    present.insert(row.key);
    const auto known = stored.find(row.key);
    const bool is_current =
        known != stored.end() && known->second.has_value() &&
        known->second == RelapsesIn({kTable, row.key, *row.value, 0, false},
                                    *view.responded_at);
    if (!is_current) {
      changes.changes.push_back(row);
    }
  }
  for (const stored_row& row : view.rows) {
    if (!present.contains(row.key)) {
      changes.changes.push_back({kTable, row.key, std::nullopt});
    }
  }
  changed_ = changes.changes.size() > kMaxRowsPerCall;
  if (changes.changes.empty()) {
    return;
  }
  changes.changes.resize(std::min(changes.changes.size(), kMaxRowsPerCall));
  calling_ = true;
  const std::weak_ptr<bool> alive = alive_;
  store_.Commit(changes, [this, alive](const store_response& done) {
    if (alive.expired()) {
      return;
    }
    calling_ = false;
    changed_ = changed_ || done.outcome != store_outcome::kDone;
    on_outcome_(done.outcome);
  });
}

}  // namespace skylarkcroft
