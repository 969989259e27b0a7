#include "skylarkcroft/quarantine/skylarkcroft_quarantine_archive.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr const char* kTable = "quarantines";
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

}  // namespace

row_change EncodeQuarantineRow(const quarantined_parts& entry,
                               milliseconds store_now) {
  const json value = {
      {"parts", entry.parts},
      {"first_crash_ms", (store_now - entry.first_crash_age).count()},
      {"ends_ms", (store_now + entry.remaining).count()},
      {"relapses", entry.relapses}};
  return {kTable, RowKey(entry.parts), value.dump()};
}

std::optional<quarantined_parts> DecodeQuarantineRow(const stored_row& row,
                                                     milliseconds store_now) {
  const json value = ParseBoundedJson(row.value);
  try {
    quarantined_parts entry;
    entry.parts = value.at("parts").get<std::vector<part_key>>();
    entry.first_crash_age =
        store_now - milliseconds(value.at("first_crash_ms").get<int64_t>());
    entry.remaining =
        milliseconds(value.at("ends_ms").get<int64_t>()) - store_now;
    entry.relapses = std::max(value.at("relapses").get<int>(), 0);
    const bool valid =
        !entry.parts.empty() && entry.parts.size() <= kMaxSharedParts;
    return valid ? std::optional<quarantined_parts>(std::move(entry))
                 : std::nullopt;
  } catch (const json::exception&) {
    // Not written by this program; the writer replaces it.
    return std::nullopt;
  }
}

quarantine_archive::quarantine_archive(
    row_store& store, part_quarantine& quarantine, clock_fn clock,
    std::function<void(store_outcome)> on_outcome)
    : store_(store),
      quarantine_(quarantine),
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
  const bool must_read =
      !loaded_ || (role.is_isolated && quarantine_.HasUnconfirmedCrashes(now));
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
  quarantine_notice notice;
  for (const stored_row& row : view.rows) {
    const std::optional<quarantined_parts> entry =
        DecodeQuarantineRow(row, *view.responded_at);
    if (entry.has_value()) {
      notice.quarantined.push_back(*entry);
    }
  }
  quarantine_.OnNotice(notice, now);
  // What was read needs no writing.
  changed_ = changed_before;
  return true;
}

void quarantine_archive::Write(const store_response& view, time_point now) {
  row_transaction changes;
  for (const quarantined_parts& entry : quarantine_.Entries(now)) {
    const row_change row = EncodeQuarantineRow(entry, *view.responded_at);
    const bool known = std::any_of(
        view.rows.begin(), view.rows.end(), [&](const stored_row& other) {
          const std::optional<quarantined_parts> stored =
              DecodeQuarantineRow(other, *view.responded_at);
          return other.key == row.key && stored.has_value() &&
                 stored->relapses == entry.relapses;
        });
    if (!known) {
      changes.changes.push_back(row);
    }
  }
  const std::vector<quarantined_parts> entries = quarantine_.Entries(now);
  for (const stored_row& row : view.rows) {
    const bool present = std::any_of(entries.begin(), entries.end(),
                                     [&](const quarantined_parts& entry) {
                                       return RowKey(entry.parts) == row.key;
                                     });
    if (!present) {
      changes.changes.push_back({kTable, row.key, std::nullopt});
    }
  }
  changed_ = false;
  if (changes.changes.empty()) {
    return;
  }
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
