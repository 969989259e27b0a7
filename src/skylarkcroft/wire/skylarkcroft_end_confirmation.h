#ifndef SKYLARKCROFT_WIRE_SKYLARKCROFT_END_CONFIRMATION_H_
#define SKYLARKCROFT_WIRE_SKYLARKCROFT_END_CONFIRMATION_H_

#include <functional>
#include <memory>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/wire/skylarkcroft_connect_check.h"
#include "skylarkcroft/wire/skylarkcroft_response_end.h"

namespace skylarkcroft {

/// Time limits of an end_confirmation.
struct end_confirmation_limits {
  connect_check_limits connection{};
  /// Nothing but its connections is known of the upstream here, so no byte is
  /// waited for.
  end_limits end{.life_sign_wait = milliseconds(0)};

  bool operator==(const end_confirmation_limits&) const = default;
};

/// Finds out whether a response that has just ended with its connection is
/// whole: connects to its upstream, once more if DecideEnd() asks for it.
class end_confirmation {
 public:
  /// `on_decided` is called once, not from within the constructor; it may
  /// destroy the confirmation.
  end_confirmation(event_loop& loop, const endpoint& upstream,
                   const end_confirmation_limits& limits,
                   std::function<void(bool is_whole)> on_decided);
  ~end_confirmation();
  end_confirmation(const end_confirmation&) = delete;
  end_confirmation& operator=(const end_confirmation&) = delete;

 private:
  void Connect(time_point now);
  void Decide(time_point now);
  void End(bool is_whole);

  event_loop& loop_;
  endpoint upstream_;
  end_confirmation_limits limits_;
  std::function<void(bool)> on_decided_;
  end_evidence evidence_;
  std::unique_ptr<connect_check> check_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_WIRE_SKYLARKCROFT_END_CONFIRMATION_H_
