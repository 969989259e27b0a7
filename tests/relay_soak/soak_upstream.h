#ifndef SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_UPSTREAM_H_
#define SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_UPSTREAM_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/relay/scripted_upstream.h"
#include "tests/relay_soak/loopback_proxy.h"
#include "tests/relay_soak/soak_history.h"

namespace skylarkcroft::soak {

/// Events of every stream that an upstream makes.
inline constexpr int kStreamEvents = 12;
/// Share of the requests that an upstream declines by itself, in percent.
inline constexpr int kDeclinedPercent = 3;

/// The whole body of the answer to a request, as clients must get it.
std::string ExpectedBody(request_kind kind, const std::string& request);

/// An upstream behind a proxy that notes every run. It declines a few requests
/// and, when told to, loses answers, pauses or declines more.
class soak_upstream {
 public:
  soak_upstream(event_loop& loop, history& seen, const std::string& id,
                uint32_t seed);

  [[nodiscard]] const std::string& id() const { return id_; }
  /// What the store's list says of it; `state` is the platform's word.
  [[nodiscard]] std::string Entry(const std::string& service,
                                  const std::string& state) const;
  loopback_proxy& proxy() { return proxy_; }
  void SetLosesAnswers(bool loses) { loses_answers_ = loses; }
  /// Writes nothing until `end` and then goes on; requests are accepted.
  void PauseUntil(time_point end) { paused_until_ = end; }
  /// Declines this share of the requests, in percent.
  void SetDeclined(int percent) { declined_percent_ = percent; }

 private:
  void Handle(const scripted_upstream::received_request& to);
  void Decline(const scripted_upstream::received_request& to, int status);
  void AnswerPlain(const scripted_upstream::received_request& to,
                   request_kind kind);
  [[nodiscard]] run_seen DescribeRun(
      const scripted_upstream::received_request& to) const;
  /// Notes that the upstream begins to work on a request; returns the number of
  /// the run.
  size_t NoteRun(const scripted_upstream::received_request& to);
  /// Notes the end of a run when its connection is closed.
  void WatchEnd(const scripted_upstream::received_request& to, size_t run);
  void StartStream(const scripted_upstream::received_request& to, size_t run);
  void Stream(const scripted_upstream::received_request& to, size_t run,
              int next);
  void Later(milliseconds delay, std::function<void()> call);
  /// Calls `call` after `delay`, or at the end of the pause that runs then.
  void WriteLater(milliseconds delay, std::function<void()> call);

  event_loop& loop_;
  history& seen_;
  std::string id_;
  scripted_upstream upstream_;
  loopback_proxy proxy_;
  std::mt19937 random_;
  bool loses_answers_ = false;
  int declined_percent_;
  time_point paused_until_{};
  std::vector<event_loop::handle_ptr> timers_;
};

}  // namespace skylarkcroft::soak

#endif  // SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_UPSTREAM_H_
