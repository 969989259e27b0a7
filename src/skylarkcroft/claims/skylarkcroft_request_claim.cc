#include "skylarkcroft/claims/skylarkcroft_request_claim.h"

#include <utility>

namespace skylarkcroft {

template <typename... argument_types>
std::function<void(argument_types...)> request_claim::WhileAlive(
    std::function<void(argument_types...)> callback) const {
  return [callback = std::move(callback),
          alive = std::weak_ptr<bool>(alive_)](argument_types... arguments) {
    if (!alive.expired() && callback) {
      callback(arguments...);
    }
  };
}

void request_claim::Take(const claim_request& query, claim_done_fn done) {
  const std::weak_ptr<bool> alive = alive_;
  keeper_.Claim(query, [this, alive, &keeper = keeper_,
                        done = std::move(done)](const claim_result& answer) {
    if (!alive.expired()) {
      held_ = answer.held;
      done(answer);
      return;
    }
    // The request has ended in the meantime and will not be sent.
    if (answer.held) {
      keeper.Release(*answer.held, nullptr);
    }
  });
}

void request_claim::EnsureMarkedSent(const std::string& upstream,
                                     std::function<void(mark_outcome)> done) {
  if (marked_) {
    done(mark_outcome::kMaySend);
    return;
  }
  const std::weak_ptr<bool> alive = alive_;
  keeper_.MarkSent(*held_, upstream,
                   [this, alive, &keeper = keeper_, done = std::move(done)](
                       mark_outcome outcome, const held_claim& held) {
                     if (alive.expired()) {
                       // The request has ended in the meantime and will not be
                       // sent.
                       keeper.Release(held, nullptr);
                       return;
                     }
                     marked_ = outcome == mark_outcome::kMaySend;
                     if (outcome == mark_outcome::kLost) {
                       held_.reset();
                     } else {
                       held_ = held;
                     }
                     done(outcome);
                   });
}

void request_claim::RecordDone(const http_response& response,
                               std::function<void()> done) {
  keeper_.RecordDone(*held_, response, WhileAlive(std::move(done)));
  held_.reset();
}

void request_claim::RecordUnknown(std::function<void()> done) {
  keeper_.RecordUnknown(*held_, WhileAlive(std::move(done)));
  held_.reset();
}

void request_claim::Release(std::function<void()> done) {
  if (!held_) {
    done();
    return;
  }
  keeper_.Release(*held_, WhileAlive(std::move(done)));
  held_.reset();
}

}  // namespace skylarkcroft
