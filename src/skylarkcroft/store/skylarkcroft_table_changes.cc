#include "skylarkcroft/store/skylarkcroft_table_changes.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

// Tells changes from other datagrams between nodes.
constexpr const char* kFormatName = "changes1";
// Upper bounds of the encoded sizes, without texts.
constexpr size_t kMaxHeaderBytes = 74;
constexpr size_t kMaxRowBytes = 24;
// Stands for a clock that is not given.
constexpr milliseconds kNoClock{-1};

size_t EncodedSize(const stored_row& row) {
  return kMaxRowBytes + row.key.size() + row.value.size();
}

std::string EncodeRange(const table_changes& changes) {
  json rows = json::array();
  for (const stored_row& row : changes.rows) {
    rows.push_back(
        json::array({row.key, row.version, row.removed,
                     json::binary({row.value.begin(), row.value.end()})}));
  }
  const std::vector<uint8_t> bytes = json::to_cbor(json::array(
      {kFormatName, changes.table, changes.after, changes.up_to,
       changes.store_clock.value_or(kNoClock).count(), rows, changes.era}));
  return {bytes.begin(), bytes.end()};
}

stored_row DecodeRow(const std::string& table, const json& item) {
  const json::binary_t& value = item.at(3).get_binary();
  return {table, item.at(0).get<std::string>(),
          std::string(value.begin(), value.end()), item.at(1).get<int64_t>(),
          item.at(2).get<bool>()};
}

table_changes DecodeItems(const json& items) {
  table_changes changes;
  changes.table = items.at(1).get<std::string>();
  changes.after = items.at(2).get<int64_t>();
  changes.up_to = items.at(3).get<int64_t>();
  const milliseconds store_clock(items.at(4).get<int64_t>());
  if (store_clock != kNoClock) {
    changes.store_clock = store_clock;
  }
  for (const json& item : items.at(5)) {
    changes.rows.push_back(DecodeRow(changes.table, item));
  }
  // Absent in datagrams of versions that know no eras.
  constexpr size_t kEraItem = 6;
  changes.era = items.size() > kEraItem ? items.at(kEraItem).get<int64_t>() : 0;
  return changes;
}

bool IsConsistent(const table_changes& changes) {
  int64_t last = changes.after;
  for (const stored_row& row : changes.rows) {
    // Rows of one transaction have the same version.
    if (row.version < last || row.version <= changes.after ||
        row.version > changes.up_to) {
      return false;
    }
    last = row.version;
  }
  const bool tells_era_only =
      changes.rows.empty() && changes.era > 0 && changes.up_to == changes.after;
  return changes.up_to > changes.after || tells_era_only;
}

}  // namespace

std::vector<std::string> EncodeChanges(const table_changes& changes,
                                       size_t max_bytes) {
  if (changes.rows.empty()) {
    return {EncodeRange(changes)};
  }
  std::vector<std::string> datagrams;
  table_changes range = changes;
  range.rows.clear();
  size_t next = 0;
  while (next < changes.rows.size()) {
    range.rows.clear();
    size_t bytes = kMaxHeaderBytes + changes.table.size();
    size_t end = next;
    while (end < changes.rows.size()) {
      // Rows of one version belong into the same range.
      const int64_t version = changes.rows[end].version;
      size_t version_bytes = 0;
      size_t version_end = end;
      for (; version_end < changes.rows.size() &&
             changes.rows[version_end].version == version;
           ++version_end) {
        version_bytes += EncodedSize(changes.rows[version_end]);
      }
      const size_t limit = end == next ? max_bytes : kMaxChangesPacketBytes;
      if (bytes + version_bytes > limit) {
        break;
      }
      bytes += version_bytes;
      range.rows.insert(
          range.rows.end(),
          changes.rows.begin() + static_cast<std::ptrdiff_t>(end),
          changes.rows.begin() + static_cast<std::ptrdiff_t>(version_end));
      end = version_end;
    }
    if (end == next) {
      return datagrams;
    }
    const bool is_last = end == changes.rows.size();
    range.up_to = is_last ? changes.up_to : range.rows.back().version;
    range.store_clock = is_last ? changes.store_clock : std::nullopt;
    datagrams.push_back(EncodeRange(range));
    range.after = range.up_to;
    next = end;
  }
  return datagrams;
}

std::optional<table_changes> DecodeChanges(std::string_view bytes) {
  const json items = DecodeBoundedCbor(bytes);
  if (!items.is_array() || items.empty() || items.front() != kFormatName) {
    return std::nullopt;
  }
  try {
    table_changes changes = DecodeItems(items);
    return IsConsistent(changes)
               ? std::optional<table_changes>(std::move(changes))
               : std::nullopt;
  } catch (const json::exception&) {
    // Not written by this program. The caller counts it as malformed.
    return std::nullopt;
  }
}

}  // namespace skylarkcroft
