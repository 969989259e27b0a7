#include "standins/common/standin_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::standin {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int_range kNoticeRangeMs{0, 3600000};

// Idle connections stay open, so that a silent one is never given away.
constexpr milliseconds kIoTimeout{3600000};
constexpr milliseconds kFlushTime{20};

http_server_limits Limits() {
  http_server_limits limits;
  limits.io_timeout = kIoTimeout;
  return limits;
}

}  // namespace

void ReplyJson(http_exchange& exchange, int status, const std::string& body,
               const http_headers& further) {
  http_headers headers = further;
  headers.Add("Content-Type", "application/json");
  exchange.Reply({status, headers, body});
}

void ReplyError(http_exchange& exchange, int status, const std::string& message,
                const http_headers& further) {
  const nlohmann::json body = {{"error", {{"message", message}}}};
  ReplyJson(exchange, status, body.dump(), further);
}

standin_server::standin_server(event_loop& loop, const endpoint& listen,
                               uint64_t seed, std::vector<fault_mode> modes,
                               standin_hooks hooks)
    : loop_(loop),
      modes_(std::move(modes)),
      hooks_(std::move(hooks)),
      faults_(seed),
      server_(std::make_unique<http_server>(
          loop, listen, Limits(),
          [this](const http_exchange_ptr& raw) { Handle(raw); })),
      address_(server_->address()) {}

standin_server::~standin_server() { EndAll(); }

void standin_server::Hang(const http_exchange_ptr& exchange) {
  if (exchange->closed()) {
    return;
  }
  hung_.push_back(exchange);
  exchange->OnPeerGone([this, raw = exchange.get()] {
    std::erase_if(hung_, [raw](const http_exchange_ptr& held) {
      return held.get() == raw;
    });
  });
}

void standin_server::AbortAfterFlush(const http_exchange_ptr& exchange) {
  aborting_.push_front({exchange, nullptr});
  const auto entry = aborting_.begin();
  entry->timer = loop_.After(kFlushTime, [this, entry] {
    entry->exchange->Abort();
    aborting_.erase(entry);
  });
}

void standin_server::Handle(const http_exchange_ptr& raw) {
  const http_exchange_ptr exchange = gate_.Wrap(raw);
  try {
    if (!HandleAdmin(exchange)) {
      hooks_.handle(exchange);
    }
  } catch (const error& failure) {
    ReplyError(*exchange, kBadRequest, failure.what());
  }
}

bool standin_server::HandleAdmin(const http_exchange_ptr& exchange) {
  const std::string path = exchange->request().path();
  if (path == "/health") {
    const bool well = !leaving_;
    ReplyJson(*exchange, well ? kOk : kUnavailable,
              well ? R"({"status":"ok"})" : R"({"status":"leaving"})");
    return true;
  }
  if (path == "/admin/fault") {
    SetFault(exchange);
    return true;
  }
  if (path == "/admin/leave") {
    Leave(exchange);
    return true;
  }
  if (path == "/admin/stats") {
    ReplyJson(*exchange, kOk, hooks_.stats());
    return true;
  }
  if (path.starts_with("/admin/")) {
    ReplyError(*exchange, kNotFound, "no administration call " + path);
    return true;
  }
  return false;
}

void standin_server::SetFault(const http_exchange_ptr& exchange) {
  const fault next = ParseFault(exchange->request().body, modes_);
  if (next.mode == fault_mode::kSilent) {
    // The order's own connection closes, so that the peer opens a new one.
    ReplyJson(*exchange, kOk, "{}", {{"Connection", "close"}});
    gate_.Silence(server_->connections_accepted());
    return;
  }
  faults_.Set(next);
  if (hooks_.fault_set) {
    hooks_.fault_set();
  }
  ReplyJson(*exchange, kOk, "{}");
}

void standin_server::Leave(const http_exchange_ptr& exchange) {
  const nlohmann::json document = ParseJson(exchange->request().body);
  const json_reader reader(document, "$", {"notice_ms"});
  const milliseconds notice(reader.IntOr("notice_ms", kNoticeRangeMs, 0));
  leaving_ = true;
  ReplyJson(*exchange, kOk, "{}");
  leave_timer_ = loop_.After(notice, [this] { EndAll(); });
}

void standin_server::EndAll() {
  gate_.AbortAll();
  hung_.clear();
  aborting_.clear();
  server_ = nullptr;
}

}  // namespace skylarkcroft::standin
