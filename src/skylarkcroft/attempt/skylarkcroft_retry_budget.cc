#include "skylarkcroft/attempt/skylarkcroft_retry_budget.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr double kReserveRetries = 10;

}  // namespace

retry_budget::retry_budget(double share)
    : share_(share), tokens_(kReserveRetries) {}

void retry_budget::NoteFirstTry() {
  tokens_ = std::min(tokens_ + share_, kReserveRetries);
}

bool retry_budget::TryRetry() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace skylarkcroft
