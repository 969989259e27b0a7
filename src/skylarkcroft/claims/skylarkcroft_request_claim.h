#ifndef SKYLARKCROFT_CLAIMS_SKYLARKCROFT_REQUEST_CLAIM_H_
#define SKYLARKCROFT_CLAIMS_SKYLARKCROFT_REQUEST_CLAIM_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "skylarkcroft/claims/skylarkcroft_claim_store.h"

namespace skylarkcroft {

/// The claim of one request, from acquiring it to storing the outcome. No
/// callback runs after destruction, but a write already started continues.
class request_claim {
 public:
  explicit request_claim(claim_store& keeper) : keeper_(keeper) {}

  /// Acquires the claim; if this object is destroyed meanwhile, it is released.
  void Take(const claim_request& query, claim_done_fn done);
  /// Marks the claim as sent to `upstream`. Once it is marked, further calls
  /// run `done` at once: a request that the first upstream did not execute is
  /// sent to another one under the same mark.
  void EnsureMarkedSent(const std::string& upstream,
                        std::function<void(mark_outcome)> done);
  void RecordDone(const http_response& response, std::function<void()> done);
  void RecordUnknown(std::function<void()> done);
  /// Releases the key. Only for a request that certainly did not run. Without a
  /// held claim `done` runs at once.
  void Release(std::function<void()> done);

  [[nodiscard]] bool held() const { return held_.has_value(); }
  [[nodiscard]] bool marked() const { return marked_; }

 private:
  template <typename... argument_types>
  std::function<void(argument_types...)> WhileAlive(
      std::function<void(argument_types...)> callback) const;

  claim_store& keeper_;
  std::optional<held_claim> held_;
  bool marked_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLAIMS_SKYLARKCROFT_REQUEST_CLAIM_H_
