// The operators' store and cloud API as PROTOCOL.md describes them, on one port
// of loopback: rows, transactions, feeds, usage and scaling. It is sound: it
// loses nothing and answers at once.
#ifndef REVIEW_COMMON_2_PLATFORM_H_
#define REVIEW_COMMON_2_PLATFORM_H_

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "net.h"

namespace review {

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  size_t at = 0;
  while (at < bytes.size()) {
    uint32_t group = 0;
    const size_t size = std::min<size_t>(3, bytes.size() - at);
    for (size_t i = 0; i < 3; ++i) {
      group = group << 8 |
              (i < size ? static_cast<unsigned char>(bytes[at + i]) : 0U);
    }
    for (size_t i = 0; i < 4; ++i) {
      text += i <= size ? kDigits[(group >> (18 - 6 * i)) & 63] : '=';
    }
    at += size;
  }
  return text;
}

class platform {
 public:
  platform() : listening_(Listen()), port_(PortOf(listening_)) {
    std::thread([this] { Accept(); }).detach();
  }

  [[nodiscard]] uint16_t port() const { return port_; }

  /// Writes a row as the operator or an engine does; the return is the store's
  /// confirmation.
  void Put(const std::string& table, const std::string& key,
           const nlohmann::json& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Write(table, key, Base64(value.dump()), false);
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Write(table, key, "", true);
    changed_.notify_all();
  }
  /// The calls of duties so far, as lines.
  std::vector<std::string> duty_calls() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return duty_calls_;
  }

 private:
  using json = nlohmann::json;
  struct row {
    std::string value;
    int64_t version = 0;
    bool removed = false;
  };
  using row_key = std::pair<std::string, std::string>;

  void Accept() {
    while (true) {
      const int fd = accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    reader from(fd);
    while (true) {
      const std::optional<message> call =
          ReadMessage(from, NowMs() + 60000, false);
      if (!call.has_value() || !call->whole) {
        break;
      }
      const auto [status, body] = Handle(*call);
      const std::string text = body.dump();
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                           " x\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(text.size()) + "\r\n\r\n" + text)) {
        break;
      }
    }
    close(fd);
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> fields;
    size_t at = target.find('?');
    while (at != std::string::npos && at < target.size()) {
      const size_t next = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, next - at - 1);
      const size_t equal = part.find('=');
      std::string value;
      for (size_t i = equal + 1; i < part.size(); ++i) {
        if (part[i] == '%' && i + 2 < part.size()) {
          value += static_cast<char>(
              std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += part[i];
        }
      }
      fields[part.substr(0, equal)] = value;
      at = next;
    }
    return fields;
  }

  std::pair<int, json> Handle(const message& call) {
    const std::string target = call.target();
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock<std::mutex> lock(mutex_);
    if (path == "/api/rows-get") {
      return Read(Query(target));
    }
    if (path == "/api/rows-feed") {
      return Feed(Query(target), lock);
    }
    if (path == "/api/rows-tx") {
      return Commit(json::parse(call.body));
    }
    if (path == "/usage" || path == "/scaling") {
      duty_calls_.push_back(path + " " + call.Get("X-Duty-Holder") + " " +
                            call.Get("X-Fencing-Token") + " " + call.body);
      return {200, json::object()};
    }
    return {404, json::object()};
  }

  json Stamped() const {
    return {{"row_version", version_}, {"now_ms", NowMs()}};
  }

  json Describe(const row_key& key, const row& one) const {
    json item = {{"table_name", key.first},
                 {"part", ""},
                 {"key", key.second},
                 {"row_version", one.version}};
    if (one.removed) {
      item["removed"] = true;
    } else {
      item["value"] = one.value;
    }
    return item;
  }

  std::pair<int, json> Read(std::map<std::string, std::string> fields) {
    json answer = Stamped();
    answer["rows"] = json::array();
    answer["has_more"] = false;
    for (const auto& [key, one] : rows_) {
      if (key.first != fields["table_name"] || one.removed ||
          key.second < fields["from"]) {
        continue;
      }
      if (answer["rows"].size() == 500) {
        answer["has_more"] = true;
        break;
      }
      answer["rows"].push_back(Describe(key, one));
    }
    return {200, answer};
  }

  std::pair<int, json> Feed(std::map<std::string, std::string> fields,
                            std::unique_lock<std::mutex>& lock) {
    const int64_t after = std::atoll(fields["after"].c_str());
    const auto end = steady::now() + std::chrono::milliseconds(
                                         std::atoll(fields["wait_ms"].c_str()));
    while (true) {
      std::vector<std::pair<int64_t, json>> found;
      for (const auto& [key, one] : rows_) {
        if (key.first == fields["table_name"] && one.version > after) {
          found.emplace_back(one.version, Describe(key, one));
        }
      }
      if (!found.empty() ||
          changed_.wait_until(lock, end) == std::cv_status::timeout) {
        std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
          return a.first < b.first;
        });
        json answer = Stamped();
        answer["rows"] = json::array();
        for (const auto& [version, item] : found) {
          answer["rows"].push_back(item);
        }
        return {200, answer};
      }
    }
  }

  std::pair<int, json> Commit(const json& call) {
    json current = json::array();
    bool holds = true;
    for (const json& one : call.value("expected", json::array())) {
      const row_key key{one.at("table_name"), one.at("key")};
      const auto found = rows_.find(key);
      const bool present = found != rows_.end() && !found->second.removed;
      const int64_t version = present ? found->second.version : 0;
      holds = holds && version == one.at("row_version").get<int64_t>();
      if (present) {
        current.push_back(Describe(key, found->second));
      }
    }
    if (!holds) {
      json answer = Stamped();
      answer["rows"] = current;
      return {412, answer};
    }
    ++version_;
    for (const json& one : call.value("writes", json::array())) {
      rows_[{one.at("table_name"), one.at("key")}] = {one.at("value"), version_,
                                                      false};
    }
    for (const json& one : call.value("removals", json::array())) {
      rows_[{one.at("table_name"), one.at("key")}] = {"", version_, true};
    }
    changed_.notify_all();
    return {200, Stamped()};
  }

  void Write(const std::string& table, const std::string& key,
             const std::string& value, bool removed) {
    ++version_;
    rows_[{table, key}] = {value, version_, removed};
  }

  int listening_;
  uint16_t port_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<row_key, row> rows_;
  int64_t version_ = 0;
  std::vector<std::string> duty_calls_;
};

}  // namespace review

#endif  // REVIEW_COMMON_2_PLATFORM_H_
