#include "skylarkcroft/wire/skylarkcroft_connect_check.h"

#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {

connect_check::connect_check(event_loop& loop, const endpoint& peer,
                             milliseconds limit,
                             std::function<void(connect_outcome)> on_result)
    : on_result_(std::move(on_result)) {
  try {
    socket_ = std::make_unique<stream_socket>(
        loop, peer, limit,
        socket_events{[](std::string_view bytes) { return bytes.size(); },
                      [this] { End(connect_outcome::kAccepted); },
                      [this](bool) { End(connect_outcome::kRefused); }});
  } catch (const network_error&) {
    limit = milliseconds(0);
  }
  limit_timer_ = loop.After(limit, [this] { End(connect_outcome::kUnknown); });
}

connect_check::~connect_check() = default;

void connect_check::End(connect_outcome outcome) {
  if (on_result_ == nullptr) {
    return;
  }
  const auto call = std::exchange(on_result_, nullptr);
  call(outcome);
}

}  // namespace skylarkcroft
