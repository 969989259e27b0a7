#include "skylarkcroft/relay/skylarkcroft_relay_server.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_socket_address.h"

namespace skylarkcroft {
namespace {

constexpr int kListenBacklog = 1024;

}  // namespace

relay_server::relay_server(relay_environment& environment,
                           const endpoint& listen)
    : environment_(environment),
      address_(listen),
      limits_in_force_(LimitsInForce(environment)) {
  sockaddr_in raw = ToSocketAddress(listen);
  listener_ = evconnlistener_new_bind(
      environment.loop.base(),
      [](evconnlistener* /*from*/, evutil_socket_t fd, sockaddr* /*peer*/,
         int /*size*/,
         void* self) { static_cast<relay_server*>(self)->Accept(fd); },
      this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, reinterpret_cast<sockaddr*>(&raw), sizeof raw);
  if (listener_ == nullptr) {
    throw network_error("cannot listen on " + ToString(listen),
                        "choose a free address of this host");
  }
  socklen_t size = sizeof raw;
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&raw), &size);
  address_.port = ntohs(raw.sin_port);
  sweep_ = environment.loop.Every(environment.parameters.sweep_interval,
                                  [this] { Sweep(); });
}

relay_server::~relay_server() {
  clients_.clear();
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
  }
}

void relay_server::Accept(int fd) {
  const uint64_t number = ++last_client_number_;
  clients_.emplace(number, std::make_unique<client_connection>(
                               environment_, fd,
                               [this, number] { clients_.erase(number); }));
  if (clients_.size() >= environment_.parameters.clients.max_clients &&
      accepting_ && listener_ != nullptr) {
    accepting_ = false;
    evconnlistener_disable(listener_);
  }
}

void relay_server::Sweep() {
  const time_point now = environment_.clock();
  OnTablesChanged();
  for (const auto& [number, client] : clients_) {
    client->Tick(now);
  }
  environment_.connections.CloseExpired(now);
  CloseExcessIdle(now);
  RelieveMemory(now);
  if (!accepting_ && listener_ != nullptr &&
      clients_.size() < environment_.parameters.clients.max_clients) {
    accepting_ = true;
    evconnlistener_enable(listener_);
  }
}

void relay_server::CloseExcessIdle(time_point now) {
  const client_capacity& capacity = environment_.parameters.clients;
  if (!HasExcess(clients_.size(), capacity)) {
    return;
  }
  for (const uint64_t number :
       ChooseIdleToClose(IdleClients(), clients_.size(), capacity, now)) {
    clients_.at(number)->CloseIfIdle(client_end_reason::kExcess);
  }
}

void relay_server::RelieveMemory(time_point now) {
  const memory_account& memory = *environment_.memory;
  const memory_pressure pressure = memory.pressure();
  if (pressure == memory_pressure::kNone) {
    pressed_since_.reset();
    return;
  }
  if (!pressed_since_.has_value()) {
    pressed_since_ = now;
  }
  const bool urgent = pressure == memory_pressure::kClose;
  if (!urgent && now - *pressed_since_ < memory.bounds().max_pressure) {
    return;
  }
  std::vector<memory_holder> holders;
  holders.reserve(clients_.size());
  for (const auto& [number, client] : clients_) {
    holders.push_back(client->DescribeHolder(number));
  }
  const std::vector<uint64_t> given_up = ChooseToGiveUp(
      std::move(holders), memory.Excess(), urgent, memory.bounds(), now);
  if (given_up.empty()) {
    return;
  }
  environment_.on_memory_relief(
      {pressure, memory.held(), memory.bounds().limit_bytes, given_up.size()});
  for (const uint64_t number : given_up) {
    clients_.at(number)->GiveUpForMemory();
  }
}

void relay_server::OnTablesChanged() {
  const client_limits limits = LimitsInForce(environment_);
  if (limits == limits_in_force_) {
    return;
  }
  limits_in_force_ = limits;
  for (const auto& [number, client] : clients_) {
    client->OnLimitsChanged(limits);
  }
}

std::vector<idle_client> relay_server::IdleClients() const {
  std::vector<idle_client> idle;
  for (const auto& [number, client] : clients_) {
    const std::optional<time_point> since = client->idle_since();
    if (since.has_value()) {
      idle.push_back({number, *since});
    }
  }
  return idle;
}

void relay_server::AcceptPending() {
  if (listener_ == nullptr) {
    return;
  }
  const int listening = evconnlistener_get_fd(listener_);
  while (true) {
    const int fd =
        accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      Accept(fd);
    } else if (errno != ECONNABORTED && errno != EINTR) {
      return;
    }
  }
}

void relay_server::StopListening() {
  if (listener_ == nullptr) {
    return;
  }
  AcceptPending();
  evconnlistener_free(std::exchange(listener_, nullptr));
}

void relay_server::CloseIdle(time_point now) {
  for (const uint64_t number : ChooseIdleToLeave(IdleClients(), now)) {
    clients_.at(number)->CloseIfIdle(client_end_reason::kLeaving);
  }
}

bool relay_server::MayAwaitRequest(time_point now) const {
  const std::vector<idle_client> idle = IdleClients();
  return std::any_of(idle.begin(), idle.end(), [now](const idle_client& one) {
    return skylarkcroft::MayAwaitRequest(one, now);
  });
}

void relay_server::AbortAll() {
  for (const auto& [number, client] : clients_) {
    client->AbortRequest();
  }
}

void relay_server::RecordExit() {
  for (const auto& [number, client] : clients_) {
    client->RecordEnd(client_end_reason::kExit);
  }
}

bool relay_server::IsSettled() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const auto& entry) {
    return entry.second->IsSettled();
  });
}

size_t relay_server::busy() const {
  return static_cast<size_t>(
      std::count_if(clients_.begin(), clients_.end(),
                    [](const auto& entry) { return entry.second->busy(); }));
}

}  // namespace skylarkcroft
