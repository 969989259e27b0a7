#ifndef SKYLARKCROFT_CLAIMS_SKYLARKCROFT_RUN_CLAIM_H_
#define SKYLARKCROFT_CLAIMS_SKYLARKCROFT_RUN_CLAIM_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "skylarkcroft/claims/skylarkcroft_claim_keeper.h"

namespace skylarkcroft {

/// The claim of one request's run, from asking for it to storing its outcome.
/// Its callbacks stop when it is destroyed; a store under way goes on.
class run_claim {
 public:
  explicit run_claim(claim_keeper& keeper) : keeper_(keeper) {}

  void Take(const claim_query& query, claim_done_fn done);
  /// Marks the claim as sent on the first call; later calls, for a request that
  /// the first upstream did not run, go on at once.
  void EnsureMarked(const std::string& upstream,
                    std::function<void(mark_outcome)> done);
  void RecordDone(const http_response& response, std::function<void()> done);
  void RecordUnknown(std::function<void()> done);
  /// For a request that certainly did not run. Without a claim `done` runs at
  /// once.
  void Release(std::function<void()> done);

  [[nodiscard]] bool held() const { return held_.has_value(); }
  [[nodiscard]] bool marked() const { return marked_; }

 private:
  template <typename... argument_types>
  std::function<void(argument_types...)> WhileAlive(
      std::function<void(argument_types...)> call) const;

  claim_keeper& keeper_;
  std::optional<held_claim> held_;
  bool marked_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLAIMS_SKYLARKCROFT_RUN_CLAIM_H_
