#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

timeval ToTimeval(duration span) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(span).count();
  constexpr int64_t kMicrosPerSecond = 1000000;
  return {static_cast<time_t>(micros / kMicrosPerSecond),
          static_cast<suseconds_t>(micros % kMicrosPerSecond)};
}

class loop_event final : public event_loop::handle {
 public:
  loop_event(event_base* base, int fd, int16_t what, std::function<void()> call)
      : call_(std::make_shared<std::function<void()>>(std::move(call))),
        event_(event_new(base, fd, what, &loop_event::Fire, this)) {}
  ~loop_event() override { event_free(event_); }
  loop_event(const loop_event&) = delete;
  loop_event& operator=(const loop_event&) = delete;

  void Add(const timeval* delay) { event_add(event_, delay); }

 private:
  static void Fire(int /*fd*/, int16_t /*what*/, void* self) {
    // The copy keeps the call alive when it destroys its own handle.
    const auto call = static_cast<loop_event*>(self)->call_;
    (*call)();
  }

  std::shared_ptr<std::function<void()>> call_;
  event* event_;
};

event_loop::handle_ptr Start(event_base* base, int fd, int16_t what,
                             const timeval* delay, std::function<void()> call) {
  auto pending = std::make_unique<loop_event>(base, fd, what, std::move(call));
  pending->Add(delay);
  return pending;
}

// By default libevent reads a coarse clock that moves by several milliseconds
// at a time, so that timers fire late by as much.
event_base* NewPreciseBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

}  // namespace

// Calls waiting for the next turn of the loop, in order.
class event_loop::deferred {
 public:
  explicit deferred(event_base* base)
      : turn_(base, -1, EV_TIMEOUT, [this] { RunAll(); }) {}

  void Add(std::function<void()> call) {
    calls_.push_back(std::move(call));
    const timeval now = {0, 0};
    turn_.Add(&now);
  }

  // What a call holds may defer further calls while it is destroyed.
  void DropAll() {
    while (!calls_.empty()) {
      const std::vector<std::function<void()>> dropped =
          std::exchange(calls_, {});
    }
  }

 private:
  void RunAll() {
    const std::vector<std::function<void()>> due = std::exchange(calls_, {});
    for (const std::function<void()>& call : due) {
      call();
    }
  }

  std::vector<std::function<void()>> calls_;
  loop_event turn_;
};

event_loop::event_loop() : base_(NewPreciseBase()) {
  // A peer that closes its end is reported by the write, not by a signal.
  std::signal(SIGPIPE, SIG_IGN);
  if (base_ == nullptr) {
    throw network_error("the event loop could not be created",
                        "raise the limit of open files");
  }
  deferred_ = std::make_unique<deferred>(base_);
}

event_loop::~event_loop() {
  deferred_->DropAll();
  deferred_.reset();
  event_base_free(base_);
}

event_loop::handle_ptr event_loop::After(duration delay,
                                         std::function<void()> call) {
  const timeval span = ToTimeval(delay);
  return Start(base_, -1, EV_TIMEOUT, &span, std::move(call));
}

event_loop::handle_ptr event_loop::Every(duration period,
                                         std::function<void()> call) {
  const timeval span = ToTimeval(period);
  return Start(base_, -1, EV_PERSIST, &span, std::move(call));
}

event_loop::handle_ptr event_loop::OnReadable(int fd,
                                              std::function<void()> call) {
  return Start(base_, fd, EV_READ | EV_PERSIST, nullptr, std::move(call));
}

event_loop::handle_ptr event_loop::OnSignal(int signal_number,
                                            std::function<void()> call) {
  return Start(base_, signal_number, EV_SIGNAL | EV_PERSIST, nullptr,
               std::move(call));
}

void event_loop::Defer(std::function<void()> call) {
  deferred_->Add(std::move(call));
}

void event_loop::Run() { event_base_dispatch(base_); }

void event_loop::RunFor(duration limit) {
  // Ends with this call, so that it cannot end a later run.
  const handle_ptr limit_timer = After(limit, [this] { Stop(); });
  event_base_dispatch(base_);
}

void event_loop::Stop() { event_base_loopbreak(base_); }

}  // namespace skylarkcroft
