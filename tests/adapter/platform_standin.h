#ifndef SKYLARKCROFT_TESTS_ADAPTER_PLATFORM_STANDIN_H_
#define SKYLARKCROFT_TESTS_ADAPTER_PLATFORM_STANDIN_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// What the stand-in does with calls to the store.
enum class store_fault {
  kNone,
  kRefuse,      ///< 503, nothing done.
  kSilent,      ///< No answer, nothing done.
  kLoseAnswer,  ///< Writes are done and not answered.
};

/// The platform's store and cloud API on one loopback port, as their protocol
/// is published.
class platform_standin {
 public:
  explicit platform_standin(event_loop& loop)
      : loop_(loop),
        server_(loop, {"127.0.0.1", 0}, http_server_limits{},
                [this](const http_exchange_ptr& call) { Handle(call); }) {}

  [[nodiscard]] const endpoint& address() const { return server_.address(); }

  /// Writes a row as the operator or an upstream does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    Change(table, key, Base64(value), false);
    AnswerWatches();
  }
  void Drop(const std::string& table, const std::string& key) {
    Change(table, key, "", true);
    AnswerWatches();
  }
  [[nodiscard]] bool Has(const std::string& table,
                         const std::string& key) const {
    const auto found = rows_.find({table, key});
    return found != rows_.end() && !found->second.removed;
  }
  /// Whether the row exists with this value.
  [[nodiscard]] bool Holds(const std::string& table, const std::string& key,
                           const std::string& value) const {
    return Has(table, key) && rows_.at({table, key}).value == Base64(value);
  }
  /// Watches from versions before now get 410.
  void ForgetHistory() { oldest_ = version_; }
  /// Keeps a copy of the rows for RestoreCopy().
  void MakeCopy() { copy_ = {rows_, version_}; }
  /// Comes back from the copy: the rows and versions since are gone, the
  /// versions are given out again, and watches end without an answer.
  void RestoreCopy() {
    rows_ = copy_.rows;
    version_ = copy_.version;
    std::erase_if(history_, [this](const std::pair<row_name, row>& change) {
      return change.second.version > version_;
    });
    ++era;
    for (const watch& pending : std::exchange(watches_, {})) {
      pending.call->Reply({503, {}, ""});
    }
  }

  /// A call to the cloud API.
  struct cloud_call {
    std::string path;
    std::string holder;
    int64_t fence = 0;
    nlohmann::json body;
  };

  store_fault fault = store_fault::kNone;
  /// Added to the clock that answers state.
  milliseconds clock_step{0};
  /// Stated in all answers unless it is 0.
  int64_t era = 0;
  int cloud_status = 200;
  std::vector<cloud_call> cloud_calls;
  int store_calls = 0;
  /// Rows in one answer to a read at most, and what happens after each answer
  /// that is not the last.
  size_t max_get_rows = std::numeric_limits<size_t>::max();
  std::function<void()> on_page;
  /// Changes in one answer of the feed at most.
  size_t max_feed_rows = std::numeric_limits<size_t>::max();

 private:
  struct row {
    std::string value;
    int64_t version = 0;
    bool removed = false;
  };
  struct watch {
    http_exchange_ptr call;
    std::string table;
    int64_t after = 0;
    event_loop::handle_ptr timer;
  };
  using row_name = std::pair<std::string, std::string>;
  struct store_copy {
    std::map<row_name, row> rows;
    int64_t version = 1;
  };

  static std::string Base64(const std::string& bytes) {
    static constexpr char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
      uint32_t group = 0;
      for (size_t k = 0; k < 3; ++k) {
        const bool there = i + k < bytes.size();
        group = group << 8 |
                (there ? static_cast<unsigned char>(bytes[i + k]) : 0U);
      }
      for (size_t k = 0; k < 4; ++k) {
        const bool padding = i + k > bytes.size();
        text += padding ? '=' : kDigits[group >> (18 - 6 * k) & 63U];
      }
    }
    return text;
  }

  void Change(const std::string& table, const std::string& key,
              const std::string& encoded, bool removed) {
    SetRow({table, key}, {encoded, ++version_, removed});
  }
  void SetRow(const row_name& name, const row& changed) {
    rows_[name] = changed;
    history_.emplace_back(name, changed);
  }

  static nlohmann::json Encode(const row_name& name, const row& one) {
    nlohmann::json item = {{"table_name", name.first},
                           {"part", ""},
                           {"key", name.second},
                           {"row_version", one.version}};
    if (one.removed) {
      item["removed"] = true;
    } else {
      item["value"] = one.value;
    }
    return item;
  }

  [[nodiscard]] nlohmann::json Rows(const std::string& table) const {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [name, one] : rows_) {
      if (name.first == table && !one.removed) {
        rows.push_back(Encode(name, one));
      }
    }
    return rows;
  }

  /// Every change of the table after `after`, superseded ones too.
  [[nodiscard]] nlohmann::json Changes(const std::string& table,
                                       int64_t after) const {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [name, one] : history_) {
      if (name.first == table && one.version > after) {
        rows.push_back(Encode(name, one));
      }
    }
    return rows;
  }
  /// Answers with one page of the rows from the key that the call names.
  void ReplyRows(const http_exchange_ptr& call,
                 const nlohmann::json& rows) const {
    const std::string from = call->request().QueryParameter("from");
    nlohmann::json page = nlohmann::json::array();
    bool has_more = false;
    for (const nlohmann::json& row : rows) {
      if (row.at("key").get<std::string>() < from) {
        continue;
      }
      has_more = page.size() == max_get_rows;
      if (has_more) {
        break;
      }
      page.push_back(row);
    }
    Reply(call, 200, {{"rows", page}, {"has_more", has_more}});
    if (has_more && on_page != nullptr) {
      on_page();
    }
  }
  /// Answers with one page of the changes; a page that is not the last states
  /// the version of its last row.
  void ReplyChanges(const http_exchange_ptr& call, nlohmann::json rows) const {
    if (rows.size() <= max_feed_rows) {
      Reply(call, 200, {{"rows", rows}});
      return;
    }
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(max_feed_rows),
               rows.end());
    const int64_t reached = rows.back().at("row_version");
    Reply(call, 200, {{"rows", rows}, {"row_version", reached}});
  }

  void Reply(const http_exchange_ptr& call, int status,
             nlohmann::json body) const {
    if (!body.contains("row_version")) {
      body["row_version"] = version_;
    }
    body["now_ms"] = (std::chrono::duration_cast<milliseconds>(
                          SteadyNow().time_since_epoch()) +
                      clock_step)
                         .count();
    http_headers headers{{"Content-Type", "application/json"}};
    if (era > 0) {
      headers.Add("Store-Era", std::to_string(era));
    }
    call->Reply({status, headers, body.dump()});
  }

  void Handle(const http_exchange_ptr& call) {
    const std::string path = call->request().path();
    if (path == "/usage" || path == "/scaling") {
      HandleCloud(call, path);
      return;
    }
    ++store_calls;
    if (fault == store_fault::kRefuse) {
      call->Reply({503, {}, ""});
      return;
    }
    if (fault == store_fault::kSilent) {
      unanswered_.push_back(call);
      return;
    }
    if (path == "/api/rows-get") {
      const std::string table = call->request().QueryParameter("table_name");
      ReplyRows(call, Rows(table));
      return;
    }
    if (path == "/api/rows-feed") {
      HandleFeed(call);
      return;
    }
    if (path == "/api/rows-tx") {
      HandleTransaction(call);
      return;
    }
    call->Reply({404, {}, ""});
  }

  void HandleCloud(const http_exchange_ptr& call, const std::string& path) {
    const http_headers& headers = call->request().headers;
    cloud_calls.push_back({path, headers.Get("X-Duty-Holder"),
                           std::stoll(headers.Get("X-Fencing-Token")),
                           nlohmann::json::parse(call->request().body)});
    call->Reply({cloud_status, {}, ""});
  }

  void HandleFeed(const http_exchange_ptr& call) {
    const std::string table = call->request().QueryParameter("table_name");
    const int64_t after = std::stoll(call->request().QueryParameter("after"));
    const milliseconds wait(
        std::stoll(call->request().QueryParameter("wait_ms")));
    if (after < oldest_ || after > version_) {
      Reply(call, 410, nlohmann::json::object());
      return;
    }
    const nlohmann::json changes = Changes(table, after);
    if (!changes.empty() || wait.count() == 0) {
      ReplyChanges(call, changes);
      return;
    }
    watches_.push_back({call, table, after, nullptr});
    const auto at = std::prev(watches_.end());
    at->timer = loop_.After(wait, [this, at] {
      const watch ended = std::move(*at);
      watches_.erase(at);
      // A change made during a fault was not told before.
      ReplyChanges(ended.call, Changes(ended.table, ended.after));
    });
  }

  void AnswerWatches() {
    if (fault != store_fault::kNone) {
      return;
    }
    for (auto at = watches_.begin(); at != watches_.end();) {
      const nlohmann::json rows = Changes(at->table, at->after);
      if (rows.empty()) {
        ++at;
        continue;
      }
      ReplyChanges(at->call, rows);
      at = watches_.erase(at);
    }
  }

  void HandleTransaction(const http_exchange_ptr& call) {
    const nlohmann::json body = nlohmann::json::parse(call->request().body);
    nlohmann::json present = nlohmann::json::array();
    bool holds = true;
    for (const nlohmann::json& item : body.at("expected")) {
      const row_name name{item.at("table_name"), item.at("key")};
      const auto found = rows_.find(name);
      const bool exists = found != rows_.end() && !found->second.removed;
      const int64_t version = exists ? found->second.version : 0;
      holds = holds && version == item.at("row_version").get<int64_t>();
      if (exists) {
        present.push_back(Encode(name, found->second));
      }
    }
    if (!holds) {
      Reply(call, 412, {{"rows", present}});
      return;
    }
    ++version_;
    for (const nlohmann::json& item : body.at("writes")) {
      SetRow({item.at("table_name"), item.at("key")},
             {item.at("value"), version_, false});
    }
    for (const nlohmann::json& item : body.at("removals")) {
      SetRow({item.at("table_name"), item.at("key")}, {"", version_, true});
    }
    if (fault == store_fault::kLoseAnswer) {
      unanswered_.push_back(call);
    } else {
      Reply(call, 200, nlohmann::json::object());
    }
    AnswerWatches();
  }

  event_loop& loop_;
  int64_t version_ = 1;
  int64_t oldest_ = 0;
  std::map<row_name, row> rows_;
  std::vector<std::pair<row_name, row>> history_;
  store_copy copy_;
  std::list<watch> watches_;
  std::vector<http_exchange_ptr> unanswered_;
  http_server server_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_ADAPTER_PLATFORM_STANDIN_H_
