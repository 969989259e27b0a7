#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "skylarkcroft/claims/skylarkcroft_claim_keeper.h"

namespace skylarkcroft {
namespace {

constexpr size_t kNodes = 3;
constexpr int kKeys = 2;
constexpr milliseconds kStepTime{3};
constexpr int kHttpOk = 200;

/// What happens to one call of the store.
enum class store_fault {
  kNone,
  kLostAnswer,  ///< It takes effect, the answer is lost.
  kLostCall,    ///< It has no effect and no answer.
  kLate,        ///< No answer; it takes effect at some later step.
  kRejected,
};

/// Table service in memory, with faults in a given order.
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
      case store_fault::kLostAnswer:
        Apply(writes, token);
        break;
      case store_fault::kLate:
        late_.emplace_back(writes, token);
        break;
      case store_fault::kRejected:
        result.outcome = write_outcome::kRejected;
        break;
      case store_fault::kLostCall:
        break;
    }
    loop_.Defer([done = std::move(done), result] { done(result); });
  }

  /// The oldest late call takes effect.
  void ApplyOneLate() {
    if (late_.empty()) {
      return;
    }
    Apply(late_.front().first, late_.front().second);
    late_.erase(late_.begin());
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
  std::vector<std::pair<std::vector<row_write>, std::string>> late_;
};

enum class step_kind { kClaim, kMark, kFinish, kRelease, kForget, kLate, kRun };

/// One move of one node.
struct claim_move {
  step_kind kind = step_kind::kClaim;
  size_t node = 0;
  int key = 0;
};

/// A request at a node; it moves on only by the claim protocol's rules.
struct node_request {
  std::optional<held_claim> held;
  bool asked_mark = false;
  bool may_send = false;
};

/// Nodes that work on the same keys, with clocks far apart, against one store.
class claim_world {
 public:
  claim_world(const std::vector<store_fault>& faults,
              const std::vector<int64_t>& skews_ms)
      : store_(loop_, faults) {
    for (size_t index = 0; index < kNodes; ++index) {
      nodes_.push_back(std::make_unique<claim_node>(
          loop_, store_, "n" + std::to_string(index), skews_ms[index]));
    }
  }

  void Do(const claim_move& move) {
    claim_node& node = *nodes_[move.node];
    node_request& request = node.requests[move.key];
    switch (move.kind) {
      case step_kind::kClaim:
        Claim(node, move.key);
        break;
      case step_kind::kMark:
        Mark(node, move.key);
        break;
      case step_kind::kFinish:
        if (request.held && request.may_send) {
          node.keeper.RecordDone(*request.held, {kHttpOk, {}, "ran"}, [] {});
          request = {};
        }
        break;
      case step_kind::kRelease:
        // Only what was not sent may be given free.
        if (request.held && !request.may_send) {
          node.keeper.Release(*request.held, [] {});
          request = {};
        }
        break;
      case step_kind::kForget:
        request = {};
        break;
      case step_kind::kLate:
        store_.ApplyOneLate();
        break;
      case step_kind::kRun:
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
    claim_keeper keeper;
    std::string name;
    int64_t next_request = 1;
    std::map<int, node_request> requests;
  };

  void Claim(claim_node& node, int key) {
    claim_query query;
    query.caller_name = "dispatch";
    query.idempotency_key = std::to_string(key);
    query.fingerprint = "f";
    query.request_id = node.name + "." + std::to_string(node.next_request++);
    query.deadline = SteadyNow();
    node.keeper.Claim(query, [&node, key](const claim_answer& answer) {
      if (answer.held) {
        node.requests[key] = {answer.held, false, false};
      }
    });
  }

  void Mark(claim_node& node, int key) {
    node_request& request = node.requests[key];
    if (!request.held || request.asked_mark) {
      return;
    }
    request.asked_mark = true;
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

rc::Gen<claim_move> AnyMove() {
  return rc::gen::build<claim_move>(
      rc::gen::set(&claim_move::kind, rc::gen::weightedElement<step_kind>(
                                          {{4, step_kind::kClaim},
                                           {4, step_kind::kMark},
                                           {1, step_kind::kFinish},
                                           {2, step_kind::kRelease},
                                           {1, step_kind::kForget},
                                           {2, step_kind::kLate},
                                           {8, step_kind::kRun}})),
      rc::gen::set(&claim_move::node, rc::gen::inRange<size_t>(0, kNodes)),
      rc::gen::set(&claim_move::key, rc::gen::inRange(0, kKeys)));
}

rc::Gen<store_fault> AnyFault() {
  return rc::gen::weightedElement<store_fault>({{6, store_fault::kNone},
                                                {2, store_fault::kLostAnswer},
                                                {1, store_fault::kLostCall},
                                                {2, store_fault::kLate},
                                                {1, store_fault::kRejected}});
}

TEST_CASE("a key is sent at most once", "[claims][property]") {
  rc::prop("whatever the store loses or delays and the clocks show", [] {
    constexpr int64_t kSkewMs = 100000;
    constexpr size_t kMoves = 40;
    constexpr size_t kFaults = 30;
    const auto skews = *rc::gen::container<std::vector<int64_t>>(
        kNodes, rc::gen::inRange<int64_t>(-kSkewMs, kSkewMs));
    const auto faults =
        *rc::gen::container<std::vector<store_fault>>(kFaults, AnyFault());
    const auto moves =
        *rc::gen::container<std::vector<claim_move>>(kMoves, AnyMove());
    claim_world world(faults, skews);
    for (const claim_move& move : moves) {
      world.Do(move);
    }
    for (const auto& [key, sends] : world.sends()) {
      RC_ASSERT(sends <= 1);
    }
    RC_CLASSIFY(!world.sends().empty(), "sent");
  });
}

}  // namespace
}  // namespace skylarkcroft
