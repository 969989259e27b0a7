#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_EVENT_LOOP_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "skylarkcroft/internal/skylarkcroft_time.h"

struct event_base;

namespace skylarkcroft {

/// The single loop of a process, on libevent. Everything it calls runs on the
/// thread that is inside Run().
class event_loop {
 public:
  /// A pending call; destroying it cancels the call. Safe to destroy from
  /// within the call itself.
  class handle {
   public:
    virtual ~handle() = default;
  };
  using handle_ptr = std::unique_ptr<handle>;

  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  [[nodiscard]] event_base* base() const { return base_; }

  /// Calls `call` once after `delay`.
  [[nodiscard]] handle_ptr After(duration delay, std::function<void()> call);
  /// Calls `call` every `period`, first after one period.
  [[nodiscard]] handle_ptr Every(duration period, std::function<void()> call);
  /// Calls `call` whenever `fd` is readable.
  [[nodiscard]] handle_ptr OnReadable(int fd, std::function<void()> call);
  /// Calls `call` whenever the process gets `signal_number`.
  [[nodiscard]] handle_ptr OnSignal(int signal_number,
                                    std::function<void()> call);
  /// Calls `call` once, after the current callback has returned.
  void Defer(std::function<void()> call);

  /// Runs until Stop().
  void Run();
  /// Runs for at most `limit`; for tests.
  void RunFor(duration limit);
  void Stop();

 private:
  class deferred;

  event_base* base_;
  std::unique_ptr<deferred> deferred_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_EVENT_LOOP_H_
