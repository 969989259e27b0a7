#include "skylarkcroft/limits/skylarkcroft_token_quotas.h"

#include <algorithm>
#include <functional>
#include <random>

namespace skylarkcroft {
namespace {

constexpr double kMillisPerSecond = 1000;
// Fraction of the tolerance that is added to the enforced limit.
constexpr double kToleranceFraction = 0.35;
// The fraction is in inverse proportion to longer report periods than this.
constexpr milliseconds kFullTolerancePeriod{400};
// The ages of the reports are computed this often, since that takes a step for
// each peer.
constexpr milliseconds kFreshnessPeriod{10};
// Nodes spend a level over at least this time when the demand exceeds the rate.
constexpr double kMinSpendingSeconds = 0.25;
// Of the burst: a request may exceed the level by at most this part, since the
// level is not known exactly.
constexpr double kMaxUncertainty = 0.25;
// Between early reports of a node.
constexpr milliseconds kMinEarlyReportGap{100};
// Early reports that a node may save up.
constexpr double kMaxEarlyReports = 3;
// A node reports early when it has granted more than its peers expect by this
// part of a mean request and by its even part of this share of the burst.
constexpr double kEarlyReportRequests = 0.5;
constexpr double kEarlyReportShare = 0.02;

// A fraction of a request, different for each seed and workspace.
double InitialCredit(uint64_t seed, const std::string& workspace) {
  std::mt19937_64 random(seed ^ std::hash<std::string>()(workspace));
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

quota_limit WithTolerance(const quota_limit& limit,
                          const quota_tolerance& tolerance,
                          milliseconds report_period) {
  const double fraction =
      kToleranceFraction *
      std::min(1.0, static_cast<double>(kFullTolerancePeriod.count()) /
                        static_cast<double>(std::max<milliseconds::rep>(
                            report_period.count(), 1)));
  const double factor = 1 + fraction * tolerance.share;
  return {factor * limit.per_second,
          factor * limit.burst + fraction * tolerance.amount};
}

std::string_view ToString(quota_source source) {
  switch (source) {
    case quota_source::kLevel:
      return "level";
    case quota_source::kDemand:
      return "demand";
    case quota_source::kAlone:
      return "alone";
  }
  return "unknown";
}

token_quotas::token_quotas(bool start_full, uint64_t seed)
    : start_full_(start_full), seed_(seed) {}

token_quotas::peer_freshness token_quotas::UpdateFreshness(time_point now) {
  if (now < freshness_updated_ + kFreshnessPeriod) {
    return freshness_;
  }
  peer_freshness freshness;
  for (auto& [name, peer] : peers_) {
    const bool live = now - peer.last_report <= peer_timeout_;
    if (live) {
      ++freshness.live_nodes;
    } else if (peer.live) {
      for (auto& [workspace, demand] : demands_) {
        demand.ForgetPeer(name);
      }
    }
    peer.live = live;
  }
  freshness_ = freshness;
  freshness_updated_ = now;
  return freshness;
}

double token_quotas::SpendingSeconds(const workspace_rates& rates) {
  return std::max(kMinSpendingSeconds, 2 * rates.report_age);
}

token_quotas::workspace_rates token_quotas::Rates(
    const workspace_bucket& bucket, const peer_freshness& freshness,
    size_t nodes, time_point now) {
  const size_t silent = freshness.SilentPeers(nodes);
  const double node_count =
      static_cast<double>(std::max<size_t>(nodes, silent + 1));
  const double peer_demand = bucket.demand->PeerRate(now);
  return {
      bucket.limit.per_second * (1 - static_cast<double>(silent) / node_count),
      peer_demand + bucket.demand->OwnRate(now), peer_demand,
      bucket.demand->ReportAge(now)};
}

double token_quotas::SharedLevel(const workspace_bucket& bucket,
                                 const workspace_rates& rates) {
  if (rates.peer_demand <= 0) {
    return bucket.level;
  }
  const double age = rates.report_age;
  const double all_granted = bucket.level - age * rates.peer_demand;
  // The level at which peers grant a part of the demand: their part of the rate
  // and of the level.
  const double peers_part = rates.peer_demand / rates.demand;
  const double part_granted = (bucket.level - age * peers_part * rates.limit) /
                              (1 + age * peers_part / SpendingSeconds(rates));
  return std::max(all_granted, part_granted);
}

std::optional<double> token_quotas::NewestPeerLevel(
    const std::string& workspace, time_point now) const {
  std::optional<double> level;
  time_point newest = now - peer_timeout_;
  for (const auto& [name, peer] : peers_) {
    const auto reported = peer.reports.find(workspace);
    if (reported != peer.reports.end() && peer.last_report >= newest) {
      newest = peer.last_report;
      level = reported->second.level;
    }
  }
  return level;
}

token_quotas::workspace_bucket& token_quotas::RefilledBucket(
    const std::string& workspace, const quota_limit& limit,
    const peer_freshness& freshness, size_t nodes, time_point now) {
  const auto [found, inserted] = buckets_.try_emplace(workspace);
  workspace_bucket& bucket = found->second;
  if (inserted) {
    bucket.created = now;
    bucket.updated = now;
    bucket.demand = &demands_[workspace];
    const double default_level =
        start_full_
            ? limit.burst
            : limit.burst / static_cast<double>(std::max<size_t>(nodes, 1));
    // Peers report the level that is left after what they estimate to be
    // unreported.
    bucket.level =
        std::min(limit.burst,
                 NewestPeerLevel(workspace, now).value_or(default_level)) +
        bucket.demand->ReportAge(now) *
            std::min(bucket.demand->PeerRate(now), limit.per_second);
    bucket.live_nodes = freshness.live_nodes;
    bucket.credit = InitialCredit(seed_, workspace);
  }
  bucket.limit = limit;
  Refill(bucket, freshness, nodes, now);
  return bucket;
}

void token_quotas::Refill(workspace_bucket& bucket,
                          const peer_freshness& freshness, size_t nodes,
                          time_point now) const {
  const size_t silent = freshness.SilentPeers(nodes);
  const double elapsed =
      std::chrono::duration<double>(now - bucket.updated).count();
  const double even_part =
      bucket.limit.per_second /
      static_cast<double>(std::max<size_t>(nodes, silent + 1));
  bucket.silent_rate = even_part;
  const double own_rate =
      bucket.limit.per_second - even_part * static_cast<double>(silent);
  // What peers granted and have not reported yet is still in the level. Without
  // this addition a full bucket would be charged for it twice.
  const double unreported =
      bucket.demand->ReportAge(now) *
      std::min(bucket.demand->PeerRate(now), bucket.limit.per_second);
  bucket.level = std::min(bucket.limit.burst + unreported,
                          bucket.level + elapsed * own_rate);
  if (freshness.live_nodes < bucket.live_nodes) {
    // Charge peers that have fallen silent with an even part for the time since
    // their last report, during which they did not count as silent yet. Peers
    // that have not reported yet may not serve yet.
    bucket.level -=
        even_part *
        static_cast<double>(bucket.live_nodes - freshness.live_nodes) *
        std::chrono::duration<double>(peer_timeout_).count();
  }
  bucket.live_nodes = freshness.live_nodes;
  bucket.updated = now;
}

void token_quotas::ChargeFirstReport(workspace_bucket& bucket, double taken,
                                     time_point now) {
  const std::chrono::duration<double> age = now - bucket.created;
  // The peer was charged with an even part meanwhile.
  bucket.level -= std::max(0.0, taken - bucket.silent_rate * age.count());
}

quota_decision token_quotas::Take(const std::string& workspace,
                                  const quota_limit& limit, double amount,
                                  size_t nodes, time_point now) {
  started_ = started_.value_or(now);
  const peer_freshness freshness = UpdateFreshness(now);
  workspace_bucket& bucket =
      RefilledBucket(workspace, limit, freshness, nodes, now);
  quota_decision decision;
  decision.granted = true;
  decision.silent_peers = freshness.SilentPeers(nodes);
  if (limit.per_second <= 0) {
    return decision;
  }
  const workspace_rates rates = Rates(bucket, freshness, nodes, now);
  bucket.demand->AddOwn(amount, now);
  decision.level = SharedLevel(bucket, rates);
  decision.demand_rate = rates.demand;
  // A request larger than the burst is granted when the bucket is full.
  const double left = decision.level - std::min(amount, limit.burst);
  double lowest = 0;
  if (freshness.live_nodes <= 1) {
    decision.source = quota_source::kAlone;
  } else {
    // The level is not known more exactly than this.
    lowest = -std::min(rates.report_age * rates.limit,
                       kMaxUncertainty * limit.burst);
    decision.granted_share =
        std::clamp((rates.limit + left / SpendingSeconds(rates)) /
                       std::max(rates.demand, 1.0),
                   0.0, 1.0);
    decision.source = decision.granted_share < 1 ? quota_source::kDemand
                                                 : quota_source::kLevel;
  }
  bucket.credit += decision.granted_share;
  if (left < lowest || bucket.credit < 1) {
    bucket.credit = std::min(bucket.credit, 1.0);
    decision.granted = false;
    decision.wait = milliseconds(static_cast<milliseconds::rep>(
        kMillisPerSecond * std::max(-left, amount) / limit.per_second));
    return decision;
  }
  bucket.credit -= 1;
  bucket.level -= amount;
  bucket.taken += amount;
  ++bucket.grants;
  bucket.unreported.Add(amount, report_period_, now);
  return decision;
}

void token_quotas::Refund(const std::string& workspace, double amount) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return;
  }
  found->second.level =
      std::min(found->second.limit.burst, found->second.level + amount);
  found->second.taken -= amount;
}

void token_quotas::OnPeerReport(const std::string& peer, int64_t incarnation,
                                const std::vector<quota_report>& reports,
                                time_point now) {
  peer_state& state = peers_[peer];
  const bool new_process = state.incarnation != incarnation;
  if (new_process) {
    state.incarnation = incarnation;
    state.reports.clear();
  }
  started_ = started_.value_or(now);
  const std::chrono::duration<double> uptime = now - *started_;
  const bool starts_together = state.last_report == time_point{} &&
                               start_full_ && uptime <= peer_timeout_;
  const duration gap = now - state.last_report;
  state.last_report = now;
  state.live = true;
  for (const quota_report& report : reports) {
    // A workspace that is missing from the earlier reports of the same process
    // had a count of 0 there.
    quota_report first{report.workspace};
    if (new_process) {
      first = report;
    }
    quota_report& counted =
        state.reports.try_emplace(report.workspace, std::move(first))
            .first->second;
    const auto own = buckets_.find(report.workspace);
    // For the time that the peer was silent it was already charged with an even
    // part of the rate.
    const bool charged = !new_process && gap <= peer_timeout_;
    if (own != buckets_.end() && charged) {
      own->second.level -= report.taken - counted.taken;
    }
    if (own != buckets_.end() && starts_together) {
      ChargeFirstReport(own->second, report.taken, now);
    }
    // A version that does not report the demand is known by its grants.
    demands_[report.workspace].AddPeer(
        peer,
        {report.demand.value_or(report.taken), report.is_early,
         report.reports_early, starts_together ? uptime.count() : 0},
        now);
    if (own != buckets_.end() && !start_full_ && !adopted_peer_level_) {
      own->second.level = std::min(own->second.level, report.level);
    }
    counted = report;
  }
  adopted_peer_level_ = adopted_peer_level_ || !reports.empty();
}

std::vector<quota_report> token_quotas::OwnReports(size_t nodes,
                                                   time_point now) {
  return MakeReports(nodes, false, now);
}

std::vector<quota_report> token_quotas::EarlyReports(size_t nodes,
                                                     time_point now) {
  early_credit_ = EarlyCredit(now) - 1;
  last_early_report_ = now;
  for (auto& [workspace, bucket] : buckets_) {
    bucket.unreported.Clear();
  }
  return MakeReports(nodes, true, now);
}

std::vector<quota_report> token_quotas::MakeReports(size_t nodes, bool is_early,
                                                    time_point now) {
  const peer_freshness freshness = UpdateFreshness(now);
  const bool has_credit =
      report_period_ > kMinEarlyReportGap && EarlyCredit(now) >= 1;
  const std::chrono::duration<double> period = report_period_;
  std::vector<quota_report> reports;
  for (auto& [workspace, bucket] : buckets_) {
    Refill(bucket, freshness, nodes, now);
    // Otherwise peers expect more grants than this before the next report.
    const bool reports_early =
        has_credit && bucket.unreported.ExpectedRate(now) * period.count() <
                          EarlyReportTokens(bucket);
    reports.push_back(
        {workspace, bucket.taken,
         SharedLevel(bucket, Rates(bucket, freshness, nodes, now)),
         bucket.demand->total(), reports_early, is_early});
  }
  return reports;
}

double token_quotas::EarlyCredit(time_point now) const {
  const std::chrono::duration<double> elapsed = now - last_early_report_;
  return std::min(
      kMaxEarlyReports,
      early_credit_ + elapsed / std::chrono::duration<double>(report_period_));
}

bool token_quotas::IsEarlyReportDue(time_point now) const {
  if (report_period_ <= kMinEarlyReportGap ||
      now < last_early_report_ + kMinEarlyReportGap || EarlyCredit(now) < 1) {
    return false;
  }
  return std::any_of(buckets_.begin(), buckets_.end(),
                     [this, now](const auto& entry) {
                       const workspace_bucket& bucket = entry.second;
                       return bucket.unreported.Excess(report_period_, now) >
                              EarlyReportTokens(bucket);
                     });
}

double token_quotas::EarlyReportTokens(const workspace_bucket& bucket) {
  const double mean =
      bucket.taken / static_cast<double>(std::max<int64_t>(bucket.grants, 1));
  return std::max(kEarlyReportRequests * mean,
                  kEarlyReportShare * bucket.limit.burst /
                      static_cast<double>(bucket.live_nodes));
}

}  // namespace skylarkcroft
