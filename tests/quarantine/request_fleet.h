#ifndef SKYLARKCROFT_TESTS_QUARANTINE_REQUEST_FLEET_H_
#define SKYLARKCROFT_TESTS_QUARANTINE_REQUEST_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"

namespace skylarkcroft {

/// When a deadly request crashes the upstream that runs it.
enum class deadly_moment {
  kHead,         ///< Within 50 ms of its sending.
  kFirstOutput,  ///< When the first output is due.
  kStream,       ///< One to three seconds after the first output.
};

/// Load and faults of a simulated deployment. Rates are per second over all
/// nodes; times are since the start.
struct request_fleet_scenario {
  size_t nodes = 7;
  size_t upstreams = 20;
  double requests_per_second = 160;
  /// Mean length of a sound answer.
  milliseconds answer{1250};
  /// Requests that are sound, byte for byte alike and often repeated: their
  /// share, and the number of different ones.
  double alike_share = 0.2;
  size_t alike_requests = 20;
  /// Number of different requests that crash each upstream, and the share of
  /// each of them.
  size_t deadly_requests = 1;
  double deadly_share = 0.02;
  deadly_moment moment = deadly_moment::kFirstOutput;
  /// Deadly requests come between each of these pairs.
  std::vector<std::pair<milliseconds, milliseconds>> deadly_times{
      {milliseconds(5000), milliseconds(60000)}};
  /// Requests with a part that crashes upstreams, no two alike: their share
  /// until the part is found after five crashes.
  double deadly_part_share = 0;
  milliseconds length{25000};
  /// Share of the datagrams between nodes that are lost.
  double loss = 0.03;
  /// Upstreams that crash for other causes, per second.
  double other_crashes_per_second = 0;
  /// From then on this many upstreams crash, within `herd_span`.
  std::optional<milliseconds> herd_at;
  size_t herd_size = 0;
  milliseconds herd_span{5};
  /// Share of the responses that break off by themselves.
  double broken_share = 0;
  /// Share of the broken requests whose node reads the last bytes and the end
  /// of the connection late, after a pause of its loop.
  double late_reader_share = 0;
  /// All nodes lose their memory at this time.
  std::optional<milliseconds> restart_at;
  /// What was quarantined is read from an archive after a restart.
  bool archived = false;
  /// The first nodes take part in nothing between these times.
  size_t sleeping_nodes = 0;
  std::pair<milliseconds, milliseconds> sleep{};
  /// The next nodes exchange nothing with the others.
  size_t cut_nodes = 0;
  /// At each of these times a span passes in which nothing happens.
  std::vector<std::pair<milliseconds, milliseconds>> pauses;
  /// Nodes tell each other nothing.
  bool alone = false;
  request_quarantine_parameters parameters;
  uint32_t seed = 1;
};

/// What a simulated deployment did.
struct request_fleet_outcome {
  /// Of the deadly request with most of them: crashes, and sendings by nodes in
  /// touch later than 3 s after its third crash.
  int crashes = 0;
  int sent_late = 0;
  int all_crashes = 0;  ///< Of all deadly requests.
  /// Sound requests, and how many of them were rejected at least once.
  int sound = 0;
  int sound_rejected = 0;
  int alike = 0;
  int alike_rejected = 0;
  size_t datagrams = 0;         ///< Sent between nodes, reports included.
  size_t max_memory_bytes = 0;  ///< Of the module at one node.
};

/// Nodes that share upstreams, without a network: requests go to random nodes
/// and upstreams; broken ones are repeated once by the node and twice by the
/// client, at any node.
class request_fleet {
 public:
  explicit request_fleet(const request_fleet_scenario& scenario);
  request_fleet_outcome Run();
  /// The number of nodes that reject each deadly request at the end.
  [[nodiscard]] size_t RejectingNodes() const;
  /// Number of quarantines of sound requests at the end over all nodes.
  [[nodiscard]] size_t FalseQuarantines() const;

 private:
  enum class kind { kUnique, kAlike, kDeadly, kDeadlyPart };
  struct request {
    request_key key = 0;
    kind type = kind::kUnique;
    size_t node = 0;
    size_t upstream = 0;
    time_point sent_at{};
    uint64_t sending = 0;  ///< Number of its latest sending.
    bool ended = false;
    bool rejected = false;
    int tries_left = 1;         ///< Further ones of the node.
    int client_tries_left = 2;  ///< Further ones of the client.
  };
  using request_ptr = std::shared_ptr<request>;
  struct upstream {
    uint32_t key = 0;
    time_point down_until{};
    std::vector<request_ptr> running;
  };
  struct deadly_history {
    int crashes = 0;
    int sent_late = 0;
    std::optional<time_point> third_crash_at;
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
  milliseconds Uniform(milliseconds longest);
  milliseconds Exponential(milliseconds mean);
  /// The clock of all nodes, which goes on in the pauses.
  [[nodiscard]] time_point Clock() const { return now_ + skipped_; }
  void StartNode(size_t node);
  void Restart();
  void ScheduleArrival();
  void ScheduleOtherCrash();
  void ScheduleHerd();
  request_ptr MakeRequest();
  [[nodiscard]] bool IsDeadlyTime() const;
  void Arrive(const request_ptr& arrived);
  void Reject(const request_ptr& rejected);
  void Send(const request_ptr& sent);
  void CountSending(const request_ptr& sent);
  /// Runs `then` after `delay` unless the sending has ended by then.
  void AfterSending(const request_ptr& sent, milliseconds delay,
                    std::function<void()> then);
  [[nodiscard]] milliseconds TimeToCrash();
  void OnDeadly(const request_ptr& deadly);
  void Succeed(const request_ptr& done);
  /// The responses that an upstream is writing go on.
  void WriteOutput(size_t number);
  void Crash(size_t number, bool by_part);
  void BreakOff(const request_ptr& broken);
  void Repeat(const request_ptr& broken);
  void Tick(size_t node);
  void Report(size_t node);
  [[nodiscard]] milliseconds QuarantineReportPeriod() const;
  void Flush(size_t node);
  void Broadcast(size_t from, const request_notice& notice);
  void Deliver(size_t from, size_t to, const request_notice& notice);
  [[nodiscard]] bool IsAsleep(size_t node) const;
  [[nodiscard]] bool IsCut(size_t node) const;
  /// Whether the node has heard of its peers for the contact window.
  [[nodiscard]] bool IsInTouch(size_t node) const;

  request_fleet_scenario scenario_;
  std::mt19937 random_;
  time_point start_{std::chrono::hours(100)};
  time_point now_ = start_;
  duration skipped_{};
  uint64_t event_number_ = 0;
  uint64_t request_number_ = 0;
  uint64_t sending_number_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<request_quarantine>> nodes_;
  /// Whether a node is about to tell what is new.
  std::vector<char> flushing_;
  std::vector<upstream> upstreams_;
  uint32_t upstream_number_ = 0;
  std::vector<deadly_history> deadly_;
  int crashes_by_part_ = 0;
  std::vector<quarantined_request> archive_;
  request_fleet_outcome outcome_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_QUARANTINE_REQUEST_FLEET_H_
