#ifndef SKYLARKCROFT_TESTS_STREAMS_STREAM_FLEET_H_
#define SKYLARKCROFT_TESTS_STREAMS_STREAM_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/streams/skylarkcroft_stream_versions.h"

namespace skylarkcroft {

/// The store of a fleet: one table, calls that take their time, and faults.
class fleet_store {
 public:
  /// A call takes effect after `delay`; its answer takes as long again.
  milliseconds delay{2};
  /// Calls have no effect and no answer.
  bool is_away = false;
  /// Share of the calls that take effect and get no answer.
  double lost_answers = 0;

  void MakeCopy() { copy_ = {rows_, version_}; }
  void Restore() {
    rows_ = copy_.first;
    version_ = copy_.second;
    ++era_;
  }
  [[nodiscard]] const std::map<std::string, stored_row>& rows() const {
    return rows_;
  }
  [[nodiscard]] store_response Apply(const row_transaction* transaction,
                                     time_point now);
  int reads = 0;
  int writes = 0;
  size_t written_bytes = 0;
  size_t largest_row = 0;

 private:
  std::map<std::string, stored_row> rows_;
  std::pair<std::map<std::string, stored_row>, int64_t> copy_;
  int64_t version_ = 1;
  int64_t era_ = 1;
};

/// A stream that a client has begun, and what became of it.
struct modelled_stream {
  std::string id;
  stream_origin origin;
  size_t node = 0;
  time_point ends_at{};
  std::optional<time_point> taken_up_at;
};

/// What clients saw.
struct fleet_counts {
  int begun = 0;
  int not_begun = 0;
  int gone_on = 0;
  int rejected = 0;       ///< Take-ups with two upstreams of their version.
  int other_version = 0;  ///< Streams that went on at another version.

  [[nodiscard]] double ShareBegun() const {
    return begun == 0 ? 0 : static_cast<double>(begun) / (begun + not_begun);
  }
  [[nodiscard]] double ShareGoneOn() const {
    return gone_on == 0 ? 0
                        : static_cast<double>(gone_on) / (gone_on + rejected);
  }
};

/// Nodes, upstreams of changing versions and clients with resumable streams,
/// without a network: time passes in steps.
class stream_fleet {
 public:
  struct parameters {
    size_t nodes = 7;
    double streams_per_second = 80;
    milliseconds stream_time{3000};
    unsigned seed = 1;
  };

  explicit stream_fleet(const parameters& fleet);
  ~stream_fleet();

  /// Lists `count` upstreams of each version, and no others.
  void List(const std::map<std::string, int>& versions);
  /// Lets time pass; clients begin streams and take broken ones up.
  void Run(milliseconds time);
  /// All nodes lose their power, and their memory, for `time`.
  void LosePower(milliseconds time);
  /// One node ends and starts again.
  void Restart(size_t node);
  void Restore();

  fleet_store store;
  fleet_counts counts;
  /// Whether clients begin streams.
  bool has_clients = true;
  /// Whether nodes have read the tables that name the services.
  bool knows_services = true;
  [[nodiscard]] time_point now() const { return now_; }

 private:
  class node;
  /// The store takes a call, a read without a transaction, and answers it.
  store_response Answer(const row_transaction* transaction);
  /// The nodes that write for all, as one of them sees it.
  [[nodiscard]] std::vector<std::string> Writers(size_t seen_by) const;
  void Deliver(const std::string& name, const std::string& datagram);
  void Step();
  void BeginStreams();
  void Begin(modelled_stream stream);
  void TakeUpStreams();
  void TakeUp(const modelled_stream& stream);
  void OnSearched(const modelled_stream& stream, const origin_search& search);
  void Break(size_t node);
  size_t Draw(size_t count) { return random_() % count; }

  parameters parameters_;
  std::minstd_rand random_;
  time_point now_{milliseconds(1000000)};
  std::vector<upstream_entry> upstreams_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::multimap<time_point, std::function<void()>> calls_;
  std::vector<modelled_stream> running_;
  std::vector<modelled_stream> broken_;
  double owed_streams_ = 0;
  int next_id_ = 0;
  int64_t next_incarnation_ = 1;
  bool is_first_start_ = true;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_STREAMS_STREAM_FLEET_H_
