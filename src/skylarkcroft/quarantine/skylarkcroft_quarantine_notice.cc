#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

// Tells notices from other datagrams between nodes.
constexpr const char* kFormatName = "parts1";
// Below the payload of a packet on any common network.
constexpr size_t kMaxDatagramBytes = 1200;
// Upper bounds of the encoded sizes.
constexpr size_t kHeaderBytes = 16;
constexpr size_t kMaxEntryBytes = 32;
constexpr size_t kMaxPartBytes = 9;

size_t EncodedSize(const crash_suspect& suspect) {
  return kMaxEntryBytes + kMaxPartBytes * suspect.parts.size();
}

size_t EncodedSize(const part_success& /*success*/) { return kMaxEntryBytes; }

size_t EncodedSize(const quarantined_parts& entry) {
  return kMaxEntryBytes + kMaxPartBytes * entry.parts.size();
}

size_t EncodedSize(uint32_t /*upstream*/) { return kMaxPartBytes; }

json Encode(uint32_t upstream) { return upstream; }

json Encode(const crash_suspect& suspect) {
  return json::array({suspect.upstream, suspect.request, suspect.response_begun,
                      suspect.parts});
}

json Encode(const part_success& success) {
  return json::array({success.part, success.age.count()});
}

json Encode(const quarantined_parts& entry) {
  return json::array({entry.parts, entry.first_crash_age.count(),
                      entry.remaining.count(), entry.relapses});
}

std::vector<part_key> DecodeParts(const json& item) {
  std::vector<part_key> parts;
  for (const json& part : item) {
    parts.push_back(part.get<part_key>());
  }
  if (parts.empty() || parts.size() > kMaxSharedParts) {
    throw std::out_of_range("number of prompt parts is out of range");
  }
  return parts;
}

milliseconds DecodeAge(const json& item) {
  const auto count = item.get<milliseconds::rep>();
  constexpr milliseconds kLongest = std::chrono::hours(24);
  if (count < 0 || count > kLongest.count()) {
    throw std::out_of_range("age is out of range");
  }
  return milliseconds(count);
}

quarantine_notice DecodeItems(const json& items) {
  quarantine_notice notice;
  for (const json& item : items.at(1)) {
    notice.crashes.push_back({item.at(0).get<uint32_t>(),
                              item.at(1).get<part_key>(),
                              item.at(2).get<bool>(), DecodeParts(item.at(3))});
  }
  for (const json& item : items.at(2)) {
    notice.successes.push_back(
        {item.at(0).get<part_key>(), DecodeAge(item.at(1))});
  }
  for (const json& item : items.at(3)) {
    notice.alive.push_back(item.get<uint32_t>());
  }
  for (const json& item : items.at(4)) {
    notice.quarantined.push_back({DecodeParts(item.at(0)),
                                  DecodeAge(item.at(1)), DecodeAge(item.at(2)),
                                  std::max(item.at(3).get<int>(), 0)});
  }
  return notice;
}

// Distributes the entries of a notice over datagrams.
class notice_splitter {
 public:
  template <typename Entry>
  void Add(const std::vector<Entry>& entries,
           std::vector<Entry> quarantine_notice::*list) {
    for (const Entry& entry : entries) {
      const size_t size = EncodedSize(entry);
      if (notices_.empty() || bytes_ + size > kMaxDatagramBytes) {
        notices_.emplace_back();
        bytes_ = kHeaderBytes;
      }
      bytes_ += size;
      (notices_.back().*list).push_back(entry);
    }
  }
  [[nodiscard]] const std::vector<quarantine_notice>& notices() const {
    return notices_;
  }

 private:
  std::vector<quarantine_notice> notices_;
  size_t bytes_ = 0;
};

template <typename Entry>
json EncodeList(const std::vector<Entry>& entries) {
  json list = json::array();
  for (const Entry& entry : entries) {
    list.push_back(Encode(entry));
  }
  return list;
}

}  // namespace

std::vector<std::string> EncodeNotice(const quarantine_notice& notice) {
  notice_splitter splitter;
  splitter.Add(notice.crashes, &quarantine_notice::crashes);
  splitter.Add(notice.successes, &quarantine_notice::successes);
  splitter.Add(notice.alive, &quarantine_notice::alive);
  splitter.Add(notice.quarantined, &quarantine_notice::quarantined);
  std::vector<std::string> datagrams;
  for (const quarantine_notice& part : splitter.notices()) {
    const std::vector<uint8_t> bytes = json::to_cbor(json::array(
        {kFormatName, EncodeList(part.crashes), EncodeList(part.successes),
         EncodeList(part.alive), EncodeList(part.quarantined)}));
    datagrams.emplace_back(bytes.begin(), bytes.end());
  }
  return datagrams;
}

std::optional<quarantine_notice> DecodeNotice(std::string_view bytes) {
  const json items = DecodeBoundedCbor(bytes);
  if (!items.is_array() || items.empty() || items.front() != kFormatName) {
    return std::nullopt;
  }
  try {
    return DecodeItems(items);
  } catch (const json::exception&) {
    // Not written by this program. The caller counts it as malformed.
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

}  // namespace skylarkcroft
