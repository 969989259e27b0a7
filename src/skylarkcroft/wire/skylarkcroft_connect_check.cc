#include "skylarkcroft/wire/skylarkcroft_connect_check.h"

#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {

std::string_view ToString(connect_outcome outcome) {
  switch (outcome) {
    case connect_outcome::kAccepted:
      return "accepted";
    case connect_outcome::kDropped:
      return "dropped";
    case connect_outcome::kRefused:
      return "refused";
    case connect_outcome::kUnknown:
      return "unknown";
  }
  return "";
}

connect_check::connect_check(event_loop& loop, const endpoint& peer,
                             const connect_check_limits& limits,
                             std::function<void(connect_outcome)> on_result)
    : loop_(loop), on_result_(std::move(on_result)) {
  milliseconds answer_limit = limits.answer;
  try {
    socket_ = std::make_unique<stream_socket>(
        loop, peer, limits.answer,
        socket_events{[](std::string_view bytes) { return bytes.size(); },
                      [this, least = limits.min_open_time] { OnOpened(least); },
                      [this](bool) {
                        End(socket_->was_established()
                                ? connect_outcome::kDropped
                                : connect_outcome::kRefused);
                      }});
  } catch (const network_error&) {
    answer_limit = milliseconds(0);
  }
  timer_ = loop.After(answer_limit, [this] { End(connect_outcome::kUnknown); });
}

connect_check::~connect_check() = default;

void connect_check::OnOpened(milliseconds min_open_time) {
  timer_ =
      loop_.After(min_open_time, [this] { End(connect_outcome::kAccepted); });
}

void connect_check::End(connect_outcome outcome) {
  if (on_result_ == nullptr) {
    return;
  }
  const auto call = std::exchange(on_result_, nullptr);
  call(outcome);
}

}  // namespace skylarkcroft
