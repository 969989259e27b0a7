#include "tests/relay_soak/loopback_proxy.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft::soak {
namespace {

constexpr milliseconds kDelay{80};
constexpr milliseconds kFlushTime{120};
constexpr milliseconds kSilenceLimit{5000};

}  // namespace

loopback_proxy::loopback_proxy(event_loop& loop, const endpoint& target)
    : loop_(loop), target_(target) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  listener_ = evconnlistener_new_bind(
      loop.base(),
      [](evconnlistener* /*from*/, evutil_socket_t fd, sockaddr* /*peer*/,
         int /*size*/,
         void* self) { static_cast<loopback_proxy*>(self)->Accept(fd); },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<sockaddr*>(&raw), sizeof raw);
  if (listener_ == nullptr) {
    throw network_error("cannot listen on loopback",
                        "end other programs that hold its ports");
  }
  socklen_t size = sizeof raw;
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&raw), &size);
  port_ = ntohs(raw.sin_port);
}

loopback_proxy::~loopback_proxy() { evconnlistener_free(listener_); }

void loopback_proxy::SetMode(proxy_mode mode) {
  mode_ = mode;
  if (mode == proxy_mode::kRefuse) {
    pairs_.clear();
  }
  if (mode == proxy_mode::kSilent) {
    for (auto& [number, one] : pairs_) {
      one.dead = true;
    }
  }
}

void loopback_proxy::Accept(int fd) {
  if (mode_ == proxy_mode::kRefuse) {
    close(fd);
    return;
  }
  const uint64_t number = ++next_;
  pair& one = pairs_[number];
  one.dead = mode_ == proxy_mode::kSilent;
  one.caller = std::make_unique<stream_socket>(
      loop_, fd,
      socket_events{[this, number](std::string_view bytes) {
                      return Carry(number, true, bytes);
                    },
                    [] {}, [this, number](bool) { Drop(number); }});
  one.target = std::make_unique<stream_socket>(
      loop_, target_, kSilenceLimit,
      socket_events{[this, number](std::string_view bytes) {
                      return Carry(number, false, bytes);
                    },
                    [] {}, [this, number](bool) { Drop(number); }});
}

size_t loopback_proxy::Carry(uint64_t number, bool to_target,
                             std::string_view bytes) {
  const auto found = pairs_.find(number);
  if (found == pairs_.end()) {
    return bytes.size();
  }
  pair& one = found->second;
  one.dead = one.dead || (mode_ == proxy_mode::kOneWayIn && !to_target);
  if (one.dead) {
    return bytes.size();
  }
  const auto write = [this, number, to_target](const std::string& text) {
    const auto at = pairs_.find(number);
    if (at != pairs_.end() && !at->second.dead) {
      (to_target ? at->second.target : at->second.caller)->Write(text);
    }
  };
  int& late = to_target ? one.late_to_target : one.late_to_caller;
  // Bytes never overtake those that are still on their way.
  if (mode_ != proxy_mode::kDelay && late == 0) {
    write(std::string(bytes));
    return bytes.size();
  }
  ++late;
  const uint64_t timer = ++next_;
  late_[timer] = loop_.After(kDelay, [this, number, to_target, write, timer,
                                      text = std::string(bytes)] {
    const auto at = pairs_.find(number);
    if (at != pairs_.end()) {
      --(to_target ? at->second.late_to_target : at->second.late_to_caller);
    }
    write(text);
    late_.erase(timer);
  });
  return bytes.size();
}

void loopback_proxy::Drop(uint64_t number) {
  const auto found = pairs_.find(number);
  if (found == pairs_.end() || found->second.dead || found->second.ending) {
    return;
  }
  found->second.ending = true;
  // What was written before the end still goes out.
  const uint64_t timer = ++next_;
  late_[timer] = loop_.After(kFlushTime, [this, number, timer] {
    pairs_.erase(number);
    late_.erase(timer);
  });
}

}  // namespace skylarkcroft::soak
