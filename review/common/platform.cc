#include "review/common/platform.h"

#include <openssl/evp.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr const char* kJsonType = "Content-Type: application/json\r\n";
constexpr int64_t kTransactionMs = 5;
constexpr int64_t kReadMs = 1;
constexpr int64_t kBeatMs = 1200;
constexpr size_t kMaxRows = 500;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 409;
constexpr int kConflict = 412;

std::string EncodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes(text.size() / 4 * 3 + 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  const auto padding = std::count(text.begin(), text.end(), '=');
  bytes.resize(static_cast<size_t>(std::max<int64_t>(0, size - padding)));
  return bytes;
}

}  // namespace

platform::platform(record& log)
    : log_(log),
      store_([this](int fd) { ServeStore(fd, nullptr); }),
      cloud_([this](int fd) { ServeCloud(fd); }) {}

void platform::Put(const std::string& table, const std::string& key,
                   const std::string& value) {
  const std::lock_guard<std::mutex> guard(lock_);
  rows_[{table, key}] = {value, ++version_, false};
  log_.Note("store: " + table + "/" + key + " written: " + value);
  changed_.notify_all();
}

void platform::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> guard(lock_);
  rows_[{table, key}] = {"", ++version_, true};
  log_.Note("store: " + table + "/" + key + " removed");
  changed_.notify_all();
}

std::string platform::Get(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> guard(lock_);
  const auto found = rows_.find({table, key});
  return found == rows_.end() ? "" : found->second.value;
}

void platform::KeepEnginesBeating() {
  std::thread([this] {
    while (true) {
      SleepMs(kBeatMs);
      Beat();
    }
  }).detach();
}

void platform::Beat() {
  const std::lock_guard<std::mutex> guard(lock_);
  for (auto& [id, known] : rows_) {
    json entry = json::parse(known.value, nullptr, false);
    const bool beats = id.first == "servers" && !known.removed &&
                       entry.is_object() && entry.value("state", "") == "ready";
    if (beats) {
      entry["sequence_number"] = entry.value("sequence_number", 0) + 1;
      known = {entry.dump(), ++version_, false};
    }
  }
  changed_.notify_all();
}

std::vector<duty_call> platform::DutyCalls() {
  const std::lock_guard<std::mutex> guard(lock_);
  return calls_;
}

void platform::RefuseReclaimable() {
  const std::lock_guard<std::mutex> guard(lock_);
  refuses_reclaimable_ = true;
}

platform::store_path& platform::OpenPath() {
  auto* const path = new store_path();
  path->entry =
      std::make_unique<server>([this, path](int fd) { ServeStore(fd, path); });
  return *path;
}

void platform::ServeStore(int fd, store_path* path) {
  connection link(fd);
  while (true) {
    const std::optional<message> request = link.ReadRequest();
    if (!request.has_value() || !request->whole) {
      return;
    }
    const bool watches = request->Path() == "/api/rows-feed" &&
                         request->Query("table_name") == "servers" &&
                         request->Query("wait_ms") != "0";
    if (path != nullptr && watches) {
      ++path->watches;
    }
    const std::string answer = Answer(*request);
    if (path != nullptr) {
      SleepMs(path->delay_ms);
    }
    if (!link.Write(answer)) {
      return;
    }
  }
}

void platform::ServeCloud(int fd) {
  connection link(fd);
  while (true) {
    const std::optional<message> request = link.ReadRequest();
    if (!request.has_value() || !request->whole) {
      return;
    }
    const duty_call call{
        NowMs(), request->Path(), request->Header("x-duty-holder"),
        std::atoll(request->Header("x-fencing-token").c_str()), request->body};
    log_.Note("cloud: " + call.path + " from " + call.holder + " generation " +
              std::to_string(call.fence) + " " + call.body);
    int status = kOk;
    {
      const std::lock_guard<std::mutex> guard(lock_);
      calls_.push_back(call);
      const json body = json::parse(call.body, nullptr, false);
      const bool reclaimable =
          body.is_object() && body.value("use_spot", false);
      if (reclaimable && refuses_reclaimable_) {
        status = kUnavailable;
      }
    }
    if (!link.Write(Response(status, kJsonType, "{}"))) {
      return;
    }
  }
}

std::string platform::Answer(const message& request) {
  const std::string path = request.Path();
  if (path == "/api/rows-get") {
    return ReadRows(request);
  }
  if (path == "/api/rows-feed") {
    return Feed(request);
  }
  if (path == "/api/rows-tx") {
    return Commit(request);
  }
  return Response(kNotFound, "", "");
}

json platform::Describe(const row_id& id, const row& known) const {
  json item = {{"table_name", id.first},
               {"part", ""},
               {"key", id.second},
               {"row_version", known.version}};
  if (known.removed) {
    item["removed"] = true;
  } else {
    item["value"] = EncodeBase64(known.value);
  }
  return item;
}

json platform::Stamped(const json& rows) const {
  return {{"rows", rows}, {"row_version", version_}, {"now_ms", NowMs()}};
}

std::string platform::ReadRows(const message& request) {
  SleepMs(kReadMs);
  const std::lock_guard<std::mutex> guard(lock_);
  const std::string table = request.Query("table_name");
  const std::string from = request.Query("from");
  json rows = json::array();
  bool more = false;
  for (const auto& [id, known] : rows_) {
    if (id.first != table || known.removed || id.second < from) {
      continue;
    }
    if (rows.size() == kMaxRows) {
      more = true;
      break;
    }
    rows.push_back(Describe(id, known));
  }
  json body = Stamped(rows);
  body["has_more"] = more;
  return Response(kOk, kJsonType, body.dump());
}

std::string platform::Feed(const message& request) {
  const std::string table = request.Query("table_name");
  const int64_t after = std::atoll(request.Query("after").c_str());
  const int64_t wait_ms = std::atoll(request.Query("wait_ms").c_str());
  std::unique_lock<std::mutex> guard(lock_);
  std::vector<std::pair<row_id, row>> rows;
  const auto has_changes = [&] {
    rows.clear();
    for (const auto& entry : rows_) {
      if (entry.first.first == table && entry.second.version > after) {
        rows.push_back(entry);
      }
    }
    return !rows.empty();
  };
  changed_.wait_for(guard, std::chrono::milliseconds(wait_ms), has_changes);
  std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
    return a.second.version < b.second.version;
  });
  json listed = json::array();
  for (const auto& [id, known] : rows) {
    listed.push_back(Describe(id, known));
  }
  return Response(kOk, kJsonType, Stamped(listed).dump());
}

bool platform::MeetsConditions(const json& call) {
  for (const json& one : call.at("expected")) {
    const auto found = rows_.find({one.at("table_name"), one.at("key")});
    const bool exists = found != rows_.end() && !found->second.removed;
    const int64_t version = exists ? found->second.version : 0;
    if (version != one.at("row_version").get<int64_t>()) {
      return false;
    }
  }
  return true;
}

std::string platform::Commit(const message& request) {
  SleepMs(kTransactionMs);
  const json call = json::parse(request.body);
  const std::lock_guard<std::mutex> guard(lock_);
  if (!MeetsConditions(call)) {
    json rows = json::array();
    for (const json& one : call.at("expected")) {
      const row_id id{one.at("table_name"), one.at("key")};
      const auto found = rows_.find(id);
      if (found != rows_.end() && !found->second.removed) {
        rows.push_back(Describe(id, found->second));
      }
    }
    return Response(kConflict, kJsonType, Stamped(rows).dump());
  }
  ++version_;
  for (const json& one : call.at("writes")) {
    const std::string value = DecodeBase64(one.at("value"));
    rows_[{one.at("table_name"), one.at("key")}] = {value, version_, false};
    log_.Note("store: " + one.at("table_name").get<std::string>() + "/" +
              one.at("key").get<std::string>() + " written: " + value);
  }
  for (const json& one : call.at("removals")) {
    rows_[{one.at("table_name"), one.at("key")}] = {"", version_, true};
  }
  changed_.notify_all();
  return Response(kOk, kJsonType, Stamped(json::array()).dump());
}

}  // namespace review
