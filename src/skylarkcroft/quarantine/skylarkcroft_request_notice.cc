#include "skylarkcroft/quarantine/skylarkcroft_request_notice.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

// Tells notices from other datagrams between nodes.
constexpr const char* kFormatName = "requests1";
// Below the payload of a packet on any common network.
constexpr size_t kMaxDatagramBytes = 1200;
// Upper bounds of the encoded sizes. Each of the five lists has a header.
constexpr size_t kHeaderBytes = 32;
constexpr size_t kMaxKeyBytes = 9;
constexpr size_t kMaxUpstreamBytes = 5;
constexpr size_t kMaxTimeBytes = 5;
constexpr size_t kMaxRelapsesBytes = 5;
// A peer that claims more is not believed; the lengths do not grow further.
constexpr int kMaxRelapses = 1000;

size_t EncodedSize(const request_crash& /*crash*/) {
  return 1 + kMaxUpstreamBytes + kMaxKeyBytes + 2 * kMaxTimeBytes;
}

size_t EncodedSize(const request_success& /*success*/) {
  return 1 + kMaxKeyBytes + kMaxTimeBytes;
}

size_t EncodedSize(const quarantined_request& /*entry*/) {
  return 1 + kMaxKeyBytes + 2 * kMaxTimeBytes + kMaxRelapsesBytes;
}

size_t EncodedSize(uint32_t /*upstream*/) { return kMaxUpstreamBytes; }

json Encode(const request_crash& crash) {
  return json::array({crash.upstream, crash.request, crash.age.count(),
                      crash.run_time.count()});
}

json Encode(const request_success& success) {
  return json::array({success.request, success.age.count()});
}

json Encode(const quarantined_request& entry) {
  return json::array({entry.request, entry.first_crash_age.count(),
                      entry.remaining.count(), entry.relapses});
}

json Encode(uint32_t upstream) { return upstream; }

// The JSON library converts numbers of another type or range without an error.
template <typename Unsigned>
Unsigned DecodeUnsigned(const json& item) {
  if (!item.is_number_unsigned()) {
    throw std::out_of_range("item is not an unsigned number");
  }
  const auto value = item.get<uint64_t>();
  if (value > std::numeric_limits<Unsigned>::max()) {
    throw std::out_of_range("number is out of range");
  }
  return static_cast<Unsigned>(value);
}

request_key DecodeKey(const json& item) {
  const auto key = DecodeUnsigned<request_key>(item);
  if (key == 0) {
    throw std::out_of_range("request key is 0");
  }
  return key;
}

milliseconds DecodeTime(const json& item) {
  constexpr milliseconds kLongest = std::chrono::hours(48);
  const auto count = DecodeUnsigned<uint64_t>(item);
  if (count > static_cast<uint64_t>(kLongest.count())) {
    throw std::out_of_range("time is out of range");
  }
  return milliseconds(count);
}

int DecodeRelapses(const json& item) {
  const auto relapses = DecodeUnsigned<uint32_t>(item);
  if (relapses > kMaxRelapses) {
    throw std::out_of_range("number of relapses is out of range");
  }
  return static_cast<int>(relapses);
}

request_notice DecodeItems(const json& items) {
  request_notice notice;
  for (const json& item : items.at(1)) {
    notice.crashes.push_back({DecodeUnsigned<uint32_t>(item.at(0)),
                              DecodeKey(item.at(1)), DecodeTime(item.at(2)),
                              DecodeTime(item.at(3))});
  }
  for (const json& item : items.at(2)) {
    notice.successes.push_back({DecodeKey(item.at(0)), DecodeTime(item.at(1))});
  }
  for (const json& item : items.at(3)) {
    notice.alive.push_back(DecodeUnsigned<uint32_t>(item));
  }
  for (const json& item : items.at(4)) {
    notice.explained.push_back(DecodeUnsigned<uint32_t>(item));
  }
  for (const json& item : items.at(5)) {
    notice.quarantined.push_back({DecodeKey(item.at(0)), DecodeTime(item.at(1)),
                                  DecodeTime(item.at(2)),
                                  DecodeRelapses(item.at(3))});
  }
  return notice;
}

// Distributes the entries of a notice over datagrams.
class notice_splitter {
 public:
  template <typename Entry>
  void Add(const std::vector<Entry>& entries,
           std::vector<Entry> request_notice::*list) {
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
  [[nodiscard]] const std::vector<request_notice>& notices() const {
    return notices_;
  }

 private:
  std::vector<request_notice> notices_;
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

std::vector<std::string> EncodeRequestNotice(const request_notice& notice) {
  notice_splitter splitter;
  splitter.Add(notice.quarantined, &request_notice::quarantined);
  splitter.Add(notice.successes, &request_notice::successes);
  splitter.Add(notice.alive, &request_notice::alive);
  splitter.Add(notice.explained, &request_notice::explained);
  splitter.Add(notice.crashes, &request_notice::crashes);
  std::vector<std::string> datagrams;
  for (const request_notice& part : splitter.notices()) {
    const std::vector<uint8_t> bytes = json::to_cbor(json::array(
        {kFormatName, EncodeList(part.crashes), EncodeList(part.successes),
         EncodeList(part.alive), EncodeList(part.explained),
         EncodeList(part.quarantined)}));
    datagrams.emplace_back(bytes.begin(), bytes.end());
  }
  return datagrams;
}

std::optional<request_notice> DecodeRequestNotice(std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) {
    return std::nullopt;
  }
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
