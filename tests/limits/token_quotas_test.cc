#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/limits/skylarkcroft_service_retry_budget.h"
#include "skylarkcroft/limits/skylarkcroft_token_quotas.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr quota_limit kLimit{100000, 100000};
constexpr double kRequest = 2000;
constexpr milliseconds kStep{10};
constexpr milliseconds kReportPeriod{100};

/// Nodes that exchange reports of the tokens they granted, once per report
/// period.
class nodes {
 public:
  explicit nodes(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      all_.push_back(std::make_unique<token_quotas>(true));
    }
  }

  /// Restarts the processes of all nodes at once, without any state.
  void RestartAll() {
    ++incarnation_;
    for (std::unique_ptr<token_quotas>& node : all_) {
      node = std::make_unique<token_quotas>(false);
    }
  }

  /// Every node offers `rate` requests a second for `span`; returns the tokens
  /// granted.
  double Flood(double rate, milliseconds span, bool connected) {
    double granted = 0;
    for (milliseconds passed{0}; passed < span; passed += kStep) {
      now_ += kStep;
      owed_requests_ += rate * std::chrono::duration<double>(kStep).count();
      for (; owed_requests_ >= 1; owed_requests_ -= 1) {
        for (const auto& node : all_) {
          const quota_decision decision =
              node->Take("w", kLimit, kRequest, all_.size(), now_);
          granted += decision.granted ? kRequest : 0;
        }
      }
      if (connected && passed % kReportPeriod == milliseconds(0)) {
        Exchange();
      }
    }
    return granted;
  }

 private:
  void Exchange() {
    for (size_t from = 0; from < all_.size(); ++from) {
      for (size_t to = 0; to < all_.size(); ++to) {
        if (from != to) {
          all_[to]->OnPeerReport("n" + std::to_string(from), incarnation_,
                                 all_[from]->OwnReports(all_.size(), now_),
                                 now_);
        }
      }
    }
  }

  std::vector<std::unique_ptr<token_quotas>> all_;
  time_point now_ = kStart;
  double owed_requests_ = 0;
  int64_t incarnation_ = 1;
};

// Tokens that all nodes together may grant in a window: the limit with its
// tolerance.
double Bound(milliseconds window) {
  constexpr double kOverage = 1.1;
  constexpr double kSlack = 140000;
  return (kLimit.per_second * std::chrono::duration<double>(window).count() +
          kLimit.burst) *
             kOverage +
         kSlack;
}

}  // namespace

TEST_CASE("A flooding workspace stays within its limit over all nodes",
          "[limits][hot_tenant]") {
  const size_t count = GENERATE(1U, 7U, 20U);
  const milliseconds window(8000);
  nodes all(count);
  const double rate = 500.0 / static_cast<double>(count);
  const double granted = all.Flood(rate, window, true);
  CHECK(granted <= Bound(window));
  CHECK(granted >= 0.8 * kLimit.per_second * 8);
}

TEST_CASE(
    "Nodes that cannot reach each other each grant an even part of the limit",
    "[limits][cut]") {
  const milliseconds window(8000);
  nodes all(7);
  all.Flood(100, milliseconds(4000), true);
  CHECK(all.Flood(100, window, false) <= Bound(window));
}

TEST_CASE("A node that joins running nodes does not start with a full bucket",
          "[limits][restart]") {
  token_quotas joined(false);
  joined.OnPeerReport("n1", 1, {{"w", 5000, 0}}, kStart);
  const quota_decision decision = joined.Take("w", kLimit, 20000, 7, kStart);
  CHECK_FALSE(decision.granted);
  CHECK(decision.wait > milliseconds(0));
}

TEST_CASE("Demand within the limit is granted after all nodes restart",
          "[limits][restart][regression]") {
  constexpr size_t kNodes = 7;
  constexpr double kShareOfLimit = 0.7;
  // Requests arrive before the nodes receive reports from each other again.
  const milliseconds disconnected(300);
  const milliseconds connected(1700);
  const double rate = kShareOfLimit * kLimit.per_second / kRequest / kNodes;
  const double offered = rate * kRequest * kNodes * 2;
  nodes all(kNodes);
  all.Flood(rate, milliseconds(4000), true);
  all.RestartAll();
  const double granted =
      all.Flood(rate, disconnected, false) + all.Flood(rate, connected, true);
  // The last request of each node may fall beyond the end of the span.
  CHECK(granted >= offered - kNodes * kRequest);
}

TEST_CASE("A flood during a restart of all nodes stays within the limit",
          "[limits][restart][hot_tenant]") {
  constexpr size_t kNodes = 7;
  constexpr double kFloodRate = 500.0 / kNodes;
  const milliseconds half(4000);
  nodes all(kNodes);
  const double before = all.Flood(kFloodRate, half, true);
  all.RestartAll();
  CHECK(before + all.Flood(kFloodRate, half, true) <= Bound(2 * half));
}

TEST_CASE("Returned tokens can be taken again", "[limits]") {
  token_quotas quotas(true);
  CHECK(quotas.Take("w", kLimit, 100000, 1, kStart).granted);
  CHECK_FALSE(quotas.Take("w", kLimit, 100000, 1, kStart).granted);
  quotas.Refund("w", 100000);
  CHECK(quotas.Take("w", kLimit, 100000, 1, kStart).granted);
}

TEST_CASE("A lowered limit applies at once", "[limits]") {
  token_quotas quotas(true);
  quotas.Take("w", kLimit, 1000, 1, kStart);
  const quota_limit lowered{1000, 1000};
  CHECK(quotas.Take("w", lowered, 1000, 1, kStart).granted);
  CHECK_FALSE(quotas.Take("w", lowered, 1000, 1, kStart).granted);
}

TEST_CASE("A workspace without a limit is always granted its tokens",
          "[limits]") {
  token_quotas quotas(true);
  CHECK(quotas.Take("w", {0, 0}, 1e9, 7, kStart).granted);
}

TEST_CASE("All nodes together stay within the retry budget",
          "[limits][repeats]") {
  constexpr size_t kNodes = 7;
  constexpr int kRequests = 100;
  const service_retry_budget_parameters parameters;
  int retries = 0;
  for (size_t node = 0; node < kNodes; ++node) {
    service_retry_budget budget(parameters);
    for (int i = 0; i < kRequests; ++i) {
      budget.RecordRequest("s", kStart);
      retries += budget.TryRetry("s", kNodes, kStart) ? 1 : 0;
    }
  }
  CHECK(retries <= parameters.share * kRequests * kNodes + parameters.reserve);
  CHECK(retries > 0);
}

TEST_CASE("Retries of an earlier window no longer count", "[limits][repeats]") {
  service_retry_budget budget(service_retry_budget_parameters{});
  while (budget.TryRetry("s", 7, kStart)) {
  }
  CHECK(budget.TryRetry("s", 7, kStart + milliseconds(10001)));
}

TEST_CASE("Asking whether a retry is left uses none up", "[limits][repeats]") {
  service_retry_budget_parameters parameters;
  parameters.share = 0;
  parameters.reserve = 1;
  parameters.used_fraction = 1;
  service_retry_budget budget(parameters);
  CHECK(budget.HasRetryLeft("s", 1, kStart));
  CHECK(budget.HasRetryLeft("s", 1, kStart));
  CHECK(budget.TryRetry("s", 1, kStart));
  CHECK_FALSE(budget.HasRetryLeft("s", 1, kStart));
  CHECK_FALSE(budget.TryRetry("s", 1, kStart));
}

}  // namespace skylarkcroft
