// The platform's store and cloud API on one loopback port, as PROTOCOL.md tells
// them, and a log of the calls to the cloud API.
#ifndef REVIEW_COMMON_3_PLATFORM_H_
#define REVIEW_COMMON_3_PLATFORM_H_

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "http.h"
#include "reactor.h"

namespace review {

inline std::string EncodeBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      const bool there = i + k < bytes.size();
      group =
          group << 8U | (there ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      const bool padding = i + k > bytes.size();
      text += padding ? '=' : kDigits[group >> (18 - 6 * k) & 63U];
    }
  }
  return text;
}

class platform {
 public:
  using json = nlohmann::json;

  struct cloud_call {
    steady::time_point at;
    std::string path;
    std::string holder;
    int64_t fence = 0;
    std::string body;
  };

  explicit platform(reactor& loop) : loop_(loop) {
    address_ = loop.Listen({}, [this](const link_ptr& from) { Accept(from); });
  }

  [[nodiscard]] const address& at() const { return address_; }

  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    Apply(table, key, EncodeBase64(value), false, ++version_);
    Wake();
  }
  [[nodiscard]] const std::vector<cloud_call>& cloud_calls() const {
    return cloud_calls_;
  }

  std::function<void(const cloud_call&)> on_cloud_call;
  // Whether calls on this connection are answered; for cuts of single nodes.
  std::function<bool(const message&)> serves;

 private:
  struct row {
    std::string value;
    int64_t version = 0;
    bool removed = false;
  };
  struct change {
    std::string table;
    std::string key;
    row now;
  };
  struct watch {
    std::weak_ptr<link> to;
    std::string table;
    int64_t after = 0;
    steady::time_point until;
  };
  using name = std::pair<std::string, std::string>;

  void Accept(const link_ptr& from) {
    const std::weak_ptr<link> weak = from;
    from->on_change = [this, weak] {
      const link_ptr one = weak.lock();
      if (one == nullptr) {
        return;
      }
      message call;
      while (!one->closed() &&
             TakeMessage(one->in, call) == parse_state::kWhole) {
        if (serves == nullptr || serves(call)) {
          Handle(one, call);
        }
      }
      if (one->ended) {
        one->Close();
      }
    };
  }

  void Apply(const std::string& table, const std::string& key,
             const std::string& value, bool removed, int64_t version) {
    const row next{value, version, removed};
    rows_[{table, key}] = next;
    history_.push_back({table, key, next});
  }

  static json Encode(const std::string& table, const std::string& key,
                     const row& one) {
    json item = {{"table_name", table},
                 {"part", ""},
                 {"key", key},
                 {"row_version", one.version}};
    if (one.removed) {
      item["removed"] = true;
    } else {
      item["value"] = one.value;
    }
    return item;
  }

  void Reply(const link_ptr& to, int status, json body) const {
    body["row_version"] = version_;
    body["now_ms"] =
        std::chrono::duration_cast<ms>(steady::now().time_since_epoch())
            .count();
    const std::string text = body.dump();
    to->Write("HTTP/1.1 " + std::to_string(status) +
              " X\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(text.size()) + "\r\n\r\n" + text);
  }

  void Handle(const link_ptr& from, const message& call) {
    const std::string path = call.Path();
    if (path == "/usage" || path == "/scaling") {
      cloud_calls_.push_back({steady::now(), path, call.Get("X-Duty-Holder"),
                              std::atoll(call.Get("X-Fencing-Token").c_str()),
                              call.body});
      from->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      if (on_cloud_call != nullptr) {
        on_cloud_call(cloud_calls_.back());
      }
    } else if (path == "/api/rows-get") {
      json rows = json::array();
      for (const auto& [of, one] : rows_) {
        if (of.first == call.Query("table_name") && !one.removed &&
            of.second >= call.Query("from")) {
          rows.push_back(Encode(of.first, of.second, one));
        }
      }
      Reply(from, 200, {{"rows", rows}, {"has_more", false}});
    } else if (path == "/api/rows-feed") {
      watches_.push_back(
          {from, call.Query("table_name"),
           std::atoll(call.Query("after").c_str()),
           steady::now() + ms(std::atoll(call.Query("wait_ms").c_str()))});
      Wake();
      loop_.After(ms(std::atoll(call.Query("wait_ms").c_str()) + 1),
                  [this] { Wake(); });
    } else if (path == "/api/rows-tx") {
      Transact(from, json::parse(call.body));
    } else {
      from->Write("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
    }
  }

  void Transact(const link_ptr& from, const json& call) {
    json differing = json::array();
    for (const json& one : call.value("expected", json::array())) {
      const std::string table = one.at("table_name");
      const std::string key = one.at("key");
      const auto found = rows_.find({table, key});
      const bool exists = found != rows_.end() && !found->second.removed;
      const int64_t version = exists ? found->second.version : 0;
      if (version != one.at("row_version").get<int64_t>()) {
        if (exists) {
          differing.push_back(Encode(table, key, found->second));
        }
        Reply(from, 412, {{"rows", differing}});
        return;
      }
    }
    ++version_;
    for (const json& one : call.value("writes", json::array())) {
      Apply(one.at("table_name"), one.at("key"), one.at("value"), false,
            version_);
    }
    for (const json& one : call.value("removals", json::array())) {
      Apply(one.at("table_name"), one.at("key"), "", true, version_);
    }
    Reply(from, 200, json::object());
    Wake();
  }

  // Answers the watches that have something to tell or have waited enough.
  void Wake() {
    const steady::time_point now = steady::now();
    watches_.remove_if([&](const watch& one) {
      const link_ptr to = one.to.lock();
      if (to == nullptr || to->closed()) {
        return true;
      }
      json rows = json::array();
      for (const change& past : history_) {
        if (past.table == one.table && past.now.version > one.after) {
          rows.push_back(Encode(past.table, past.key, past.now));
        }
      }
      if (rows.empty() && now < one.until) {
        return false;
      }
      Reply(to, 200, {{"rows", rows}});
      return true;
    });
  }

  reactor& loop_;
  address address_;
  int64_t version_ = 0;
  std::map<name, row> rows_;
  std::vector<change> history_;
  std::list<watch> watches_;
  std::vector<cloud_call> cloud_calls_;
};

}  // namespace review

#endif  // REVIEW_COMMON_3_PLATFORM_H_
