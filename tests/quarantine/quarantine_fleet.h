#ifndef SKYLARKCROFT_TESTS_QUARANTINE_QUARANTINE_FLEET_H_
#define SKYLARKCROFT_TESTS_QUARANTINE_QUARANTINE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"

namespace skylarkcroft {

/// Load and faults of a simulated deployment. Rates are per second over all
/// nodes.
struct fleet_scenario {
  size_t nodes = 7;
  size_t upstreams = 20;
  double requests_per_second = 160;
  /// Share of requests with the part that crashes upstreams; 0 for none.
  double crashing_share = 0.02;
  /// Position of that part among the shared parts: 0 is the first.
  size_t crashing_position = 2;
  milliseconds crashing_from{12000};
  milliseconds length{25000};
  /// Share of the datagrams between nodes that are lost.
  double loss = 0.03;
  /// Upstreams that crash for other causes, per second.
  double other_crashes_per_second = 0;
  /// At this time this many upstreams crash together; none if empty.
  std::optional<milliseconds> rack_loss_at;
  size_t rack_size = 0;
  /// Share of the responses that break off shortly after their start.
  double broken_share = 0;
  /// All nodes lose their memory at this time.
  std::optional<milliseconds> restart_at;
  /// This many nodes exchange nothing with the others.
  size_t cut_nodes = 0;
  uint32_t seed = 1;
};

/// What a simulated deployment did.
struct fleet_outcome {
  int crashes_by_part = 0;
  /// Requests with the part sent later than 3 s after its fifth crash.
  int sent_after_bound = 0;
  int sound_requests = 0;
  /// Sound requests rejected by a quarantine, in all and from 6 s after the
  /// fifth crash on.
  int sound_rejected = 0;
  int sound_late = 0;
  int sound_rejected_late = 0;
  /// Times that a node quarantined parts without the crashing one.
  int false_quarantines = 0;
  size_t notices = 0;  ///< Datagrams sent between nodes.
};

/// Nodes that share upstreams, without a network: requests of two shared parts
/// (one of all requests, one of a few) and an own part go to random nodes and
/// upstreams; broken ones are repeated once by the node and once by the client.
class quarantine_fleet {
 public:
  explicit quarantine_fleet(const fleet_scenario& scenario);
  fleet_outcome Run();
  /// Whether all nodes reject the part at the end.
  [[nodiscard]] bool IsQuarantinedEverywhere() const;
  /// Number of quarantines at the end over all nodes.
  [[nodiscard]] size_t QuarantineCount() const;

 private:
  struct request {
    prompt_key prompt;
    bool crashes = false;
    size_t node = 0;
    size_t upstream = 0;
    bool begun = false;
    bool ended = false;
    time_point begun_at{};
    int tries_left = 1;         ///< Further ones of the node.
    int client_tries_left = 1;  ///< Further ones of the client.
  };
  using request_ptr = std::shared_ptr<request>;
  struct upstream {
    uint32_t key = 0;
    time_point down_until{};
    std::vector<request_ptr> running;
  };
  struct event {
    time_point at;
    uint64_t number;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void At(time_point at, std::function<void()> run);
  double Uniform();
  milliseconds Exponential(double per_second);
  void StartNode(size_t node);
  void ScheduleArrival();
  void ScheduleOtherCrash();
  prompt_key MakePrompt(bool crashes);
  void Arrive(const request_ptr& arrived);
  void Send(const request_ptr& sent);
  void Begin(const request_ptr& begun);
  void Succeed(const request_ptr& done);
  /// The responses that an upstream has begun go on.
  void WriteOutput(size_t number);
  void Crash(size_t number);
  void Break(const request_ptr& broken);
  void Tick(size_t node);
  void Report(size_t node);
  void Flush(size_t node);
  void Broadcast(size_t from, const quarantine_notice& notice);
  [[nodiscard]] bool AreConnected(size_t one, size_t other) const;
  [[nodiscard]] bool IsAfter(milliseconds since_fifth_crash) const;

  fleet_scenario scenario_;
  std::mt19937 random_;
  time_point start_{std::chrono::seconds(1000)};
  time_point now_ = start_;
  uint64_t event_number_ = 0;
  uint64_t request_number_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<part_quarantine>> nodes_;
  std::vector<upstream> upstreams_;
  uint32_t upstream_number_ = 0;
  std::optional<time_point> fifth_crash_at_;
  fleet_outcome outcome_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_QUARANTINE_QUARANTINE_FLEET_H_
