#include "skylarkcroft/attempt/skylarkcroft_retry_budget.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr double kReserveRetries = 10;

}  // namespace

retry_budget::retry_budget(double share)
    : share_(share), retries_left_(kReserveRetries) {}

void retry_budget::RecordFirstAttempt() {
  retries_left_ = std::min(retries_left_ + share_, kReserveRetries);
}

bool retry_budget::TryAcquireRetry() {
  if (retries_left_ < 1) {
    return false;
  }
  retries_left_ -= 1;
  return true;
}

}  // namespace skylarkcroft
