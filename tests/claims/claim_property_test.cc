#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "skylarkcroft/claims/skylarkcroft_claim_store.h"

namespace skylarkcroft {
namespace {

constexpr size_t kNodes = 3;
constexpr int kKeys = 2;
constexpr milliseconds kStepTime{3};
constexpr int kHttpOk = 200;

/// How one call of the store fails.
enum class store_fault {
  kNone,
  kLostResponse,  ///< It takes effect; the response is lost.
  kLostCall,      ///< No effect and no response.
  kDelayed,       ///< No response; takes effect at a later step.
  kRejected,
};

/// In-memory table service whose calls fail as listed in `faults`, in order.
class faulty_store final : public table_service {
 public:
  faulty_store(event_loop& loop, std::vector<store_fault> faults)
      : loop_(loop), faults_(std::move(faults)) {}

  void Get(const row_key& key, read_done_fn done) override {
    read_result result;
    if (NextFault() == store_fault::kNone) {
      const auto found = rows_.find(key);
      result.outcome =
          found == rows_.end() ? read_outcome::kMissing : read_outcome::kFound;
      result.row = found == rows_.end() ? table_row{} : found->second;
    }
    loop_.Defer([done = std::move(done), result] { done(result); });
  }
  void Query(const row_query&, query_done_fn) override {}
  void Write(const std::vector<row_write>& writes, const std::string& token,
             write_done_fn done) override {
    write_result result;
    switch (NextFault()) {
      case store_fault::kNone:
        result = Apply(writes, token);
        break;
      case store_fault::kLostResponse:
        Apply(writes, token);
        break;
      case store_fault::kDelayed:
        delayed_.emplace_back(writes, token);
        break;
      case store_fault::kRejected:
        result.outcome = write_outcome::kRejected;
        break;
      case store_fault::kLostCall:
        break;
    }
    loop_.Defer([done = std::move(done), result] { done(result); });
  }

  /// Applies the oldest delayed write.
  void ApplyOldestDelayed() {
    if (delayed_.empty()) {
      return;
    }
    Apply(delayed_.front().first, delayed_.front().second);
    delayed_.erase(delayed_.begin());
  }

 private:
  store_fault NextFault() {
    return next_ < faults_.size() ? faults_[next_++] : store_fault::kNone;
  }

  write_result Apply(const std::vector<row_write>& writes,
                     const std::string& token) {
    if (tokens_.contains(token)) {
      return {write_outcome::kCommitted, {}};
    }
    write_result result{write_outcome::kCommitted, {}};
    for (size_t index = 0; index < writes.size(); ++index) {
      const auto found = rows_.find(writes[index].row.key);
      const int64_t version = found == rows_.end() ? 0 : found->second.version;
      if (writes[index].expected_version &&
          *writes[index].expected_version != version) {
        result.outcome = write_outcome::kConflict;
        result.conflicts.push_back(index);
      }
    }
    if (result.outcome != write_outcome::kCommitted) {
      return result;
    }
    tokens_.insert(token);
    for (const row_write& write : writes) {
      rows_[write.row.key] = write.row;
    }
    return result;
  }

  event_loop& loop_;
  std::vector<store_fault> faults_;
  size_t next_ = 0;
  std::map<row_key, table_row> rows_;
  std::set<std::string> tokens_;
  std::vector<std::pair<std::vector<row_write>, std::string>> delayed_;
};

enum class step_kind {
  kClaim,
  kMarkSent,
  kFinish,
  kRelease,
  kAbandon,
  kApplyDelayed,
  kRunLoop
};

/// One step of the simulation, at one node and for one key.
struct simulation_step {
  step_kind kind = step_kind::kClaim;
  size_t node = 0;
  int key = 0;
};

/// A node's request for one key, which follows the claim protocol.
struct node_request {
  std::optional<held_claim> held;
  bool mark_requested = false;
  bool may_send = false;
};

/// Several nodes with skewed wall clocks that claim the same keys in one store.
class claim_simulation {
 public:
  claim_simulation(const std::vector<store_fault>& faults,
                   const std::vector<int64_t>& skews_ms)
      : store_(loop_, faults) {
    for (size_t index = 0; index < kNodes; ++index) {
      nodes_.push_back(std::make_unique<claim_node>(
          loop_, store_, "n" + std::to_string(index), skews_ms[index]));
    }
  }

  void Execute(const simulation_step& step) {
    claim_node& node = *nodes_[step.node];
    node_request& request = node.requests[step.key];
    switch (step.kind) {
      case step_kind::kClaim:
        Claim(node, step.key);
        break;
      case step_kind::kMarkSent:
        Mark(node, step.key);
        break;
      case step_kind::kFinish:
        if (request.held && request.may_send) {
          node.keeper.RecordDone(*request.held, {kHttpOk, {}, "ran"}, [] {});
          request = {};
        }
        break;
      case step_kind::kRelease:
        // Only a request that was not sent may be released.
        if (request.held && !request.may_send) {
          node.keeper.Release(*request.held, [] {});
          request = {};
        }
        break;
      case step_kind::kAbandon:
        request = {};
        break;
      case step_kind::kApplyDelayed:
        store_.ApplyOldestDelayed();
        break;
      case step_kind::kRunLoop:
        loop_.RunFor(kStepTime);
        break;
    }
  }

  [[nodiscard]] const std::map<int, int>& sends() const { return sends_; }

 private:
  struct claim_node {
    claim_node(event_loop& loop, table_service& store, const std::string& name,
               int64_t skew_ms)
        : commits(loop, store, name, Options(), SteadyNow),
          keeper(loop, store, commits, SteadyNow,
                 [skew_ms] { return WallNowMs() + skew_ms; }),
          name(name) {}

    static group_commit_options Options() {
      group_commit_options options;
      options.window = milliseconds(0);
      options.resolve_limit = milliseconds(1);
      options.resolve_delay = milliseconds(1);
      return options;
    }

    group_commit commits;
    claim_store keeper;
    std::string name;
    int64_t next_request = 1;
    std::map<int, node_request> requests;
  };

  void Claim(claim_node& node, int key) {
    claim_request query;
    query.caller_name = "dispatch";
    query.idempotency_key = std::to_string(key);
    query.fingerprint = "f";
    query.request_id = node.name + "." + std::to_string(node.next_request++);
    query.deadline = SteadyNow();
    node.keeper.Claim(query, [&node, key](const claim_result& answer) {
      if (answer.held) {
        node.requests[key] = {answer.held, false, false};
      }
    });
  }

  void Mark(claim_node& node, int key) {
    node_request& request = node.requests[key];
    if (!request.held || request.mark_requested) {
      return;
    }
    request.mark_requested = true;
    const std::string id = request.held->record.request_id;
    node.keeper.MarkSent(
        *request.held, "s1",
        [this, &node, key, id](mark_outcome outcome, const held_claim& held) {
          node_request& asked = node.requests[key];
          if (!asked.held || asked.held->record.request_id != id) {
            return;
          }
          if (outcome == mark_outcome::kLost) {
            asked = {};
            return;
          }
          asked.held = held;
          if (outcome == mark_outcome::kMaySend) {
            asked.may_send = true;
            ++sends_[key];
          }
        });
  }

  event_loop loop_;
  faulty_store store_;
  std::vector<std::unique_ptr<claim_node>> nodes_;
  std::map<int, int> sends_;
};

rc::Gen<simulation_step> AnyStep() {
  return rc::gen::build<simulation_step>(
      rc::gen::set(&simulation_step::kind, rc::gen::weightedElement<step_kind>(
                                               {{4, step_kind::kClaim},
                                                {4, step_kind::kMarkSent},
                                                {1, step_kind::kFinish},
                                                {2, step_kind::kRelease},
                                                {1, step_kind::kAbandon},
                                                {2, step_kind::kApplyDelayed},
                                                {8, step_kind::kRunLoop}})),
      rc::gen::set(&simulation_step::node, rc::gen::inRange<size_t>(0, kNodes)),
      rc::gen::set(&simulation_step::key, rc::gen::inRange(0, kKeys)));
}

rc::Gen<store_fault> AnyFault() {
  return rc::gen::weightedElement<store_fault>({{6, store_fault::kNone},
                                                {2, store_fault::kLostResponse},
                                                {1, store_fault::kLostCall},
                                                {2, store_fault::kDelayed},
                                                {1, store_fault::kRejected}});
}

TEST_CASE("the request of a key is sent at most once", "[claims][property]") {
  rc::prop("with lost or delayed store calls and skewed clocks", [] {
    constexpr int64_t kSkewMs = 100000;
    constexpr size_t kSteps = 40;
    constexpr size_t kFaults = 30;
    const auto skews = *rc::gen::container<std::vector<int64_t>>(
        kNodes, rc::gen::inRange<int64_t>(-kSkewMs, kSkewMs));
    const auto faults =
        *rc::gen::container<std::vector<store_fault>>(kFaults, AnyFault());
    const auto steps =
        *rc::gen::container<std::vector<simulation_step>>(kSteps, AnyStep());
    claim_simulation simulation(faults, skews);
    for (const simulation_step& step : steps) {
      simulation.Execute(step);
    }
    for (const auto& [key, sends] : simulation.sends()) {
      RC_ASSERT(sends <= 1);
    }
    RC_CLASSIFY(!simulation.sends().empty(), "sent");
  });
}

}  // namespace
}  // namespace skylarkcroft
