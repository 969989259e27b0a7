#include "skylarkcroft/limits/skylarkcroft_token_quotas.h"

#include <algorithm>
#include <numbers>

namespace skylarkcroft {
namespace {

constexpr double kMillisPerSecond = 1000;
// Fraction of the tolerance that is added to the enforced limit.
constexpr double kToleranceFraction = 0.35;
// The fraction is in inverse proportion to longer report periods than this.
constexpr milliseconds kFullTolerancePeriod{400};
// So many recent requests of a node may be chance, and do not show that a
// workspace's demand has risen at all nodes.
constexpr double kChanceRequests = 1;

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

token_quotas::token_quotas(bool start_full) : start_full_(start_full) {}

token_quotas::peer_freshness token_quotas::PeerFreshness(time_point now) const {
  peer_freshness freshness;
  duration ages{0};
  for (const auto& [name, peer] : peers_) {
    if (now - peer.last_report <= peer_timeout_) {
      ++freshness.live_nodes;
      ages += now - peer.last_report;
    }
  }
  if (freshness.live_nodes > 1) {
    freshness.mean_age_seconds = std::chrono::duration<double>(ages).count() /
                                 static_cast<double>(freshness.live_nodes - 1);
  }
  return freshness;
}

double token_quotas::EstimateUnreported(const workspace_bucket& bucket,
                                        const peer_freshness& freshness,
                                        time_point now) {
  constexpr double kHalfLifeSeconds =
      std::chrono::duration<double>(kPeerUsageHalfLife).count();
  if (freshness.live_nodes <= 1) {
    return 0;
  }
  // An even share is assumed until much more than a burst has been taken.
  const double own =
      bucket.taken +
      bucket.limit.burst / static_cast<double>(freshness.live_nodes);
  const double all = bucket.taken + bucket.peers_taken + bucket.limit.burst;
  const double peers_for_own = all / own - 1;
  const double mean_grant =
      bucket.taken / static_cast<double>(std::max<int64_t>(bucket.grants, 1));
  const double own_beyond_chance = std::max(
      0.0, bucket.recent_own_usage.Value(now) - kChanceRequests * mean_grant);
  const double recent = std::max(bucket.recent_peer_usage.Value(now),
                                 own_beyond_chance * peers_for_own);
  return recent * std::numbers::ln2 / kHalfLifeSeconds *
         freshness.mean_age_seconds;
}

std::optional<double> token_quotas::LowestPeerLevel(
    const std::string& workspace, time_point now) const {
  std::optional<double> lowest;
  for (const auto& [name, peer] : peers_) {
    const auto reported = peer.reports.find(workspace);
    if (reported == peer.reports.end() ||
        now - peer.last_report > peer_timeout_) {
      continue;
    }
    lowest = std::min(lowest.value_or(reported->second.level),
                      reported->second.level);
  }
  return lowest;
}

token_quotas::workspace_bucket& token_quotas::RefilledBucket(
    const std::string& workspace, const quota_limit& limit,
    const peer_freshness& freshness, size_t nodes, time_point now) {
  const auto [found, inserted] = buckets_.try_emplace(workspace);
  workspace_bucket& bucket = found->second;
  if (inserted) {
    bucket.updated = now;
    const double node_count = static_cast<double>(std::max<size_t>(nodes, 1));
    const double default_level =
        start_full_ ? limit.burst : limit.burst / node_count;
    bucket.level = std::min(
        limit.burst, LowestPeerLevel(workspace, now).value_or(default_level));
    bucket.live_nodes = freshness.live_nodes;
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
  const double own_rate =
      bucket.limit.per_second - even_part * static_cast<double>(silent);
  bucket.level =
      std::min(bucket.limit.burst, bucket.level + elapsed * own_rate);
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

quota_decision token_quotas::Take(const std::string& workspace,
                                  const quota_limit& limit, double amount,
                                  size_t nodes, time_point now) {
  const peer_freshness freshness = PeerFreshness(now);
  const size_t silent = freshness.SilentPeers(nodes);
  workspace_bucket& bucket =
      RefilledBucket(workspace, limit, freshness, nodes, now);
  const double level =
      bucket.level - EstimateUnreported(bucket, freshness, now);
  quota_decision decision{true, level, milliseconds(0), silent};
  if (limit.per_second <= 0) {
    return decision;
  }
  // A request larger than the burst is granted when the bucket is full.
  const double needed = std::min(amount, limit.burst);
  if (level < needed) {
    decision.granted = false;
    decision.wait = milliseconds(static_cast<milliseconds::rep>(
        kMillisPerSecond * (needed - level) / limit.per_second));
    return decision;
  }
  bucket.level -= amount;
  bucket.taken += amount;
  ++bucket.grants;
  bucket.recent_own_usage.Add(amount, now);
  return decision;
}

double token_quotas::Level(const std::string& workspace,
                           const quota_limit& limit, size_t nodes,
                           time_point now) {
  const peer_freshness freshness = PeerFreshness(now);
  const workspace_bucket& bucket =
      RefilledBucket(workspace, limit, freshness, nodes, now);
  return bucket.level - EstimateUnreported(bucket, freshness, now);
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
  const milliseconds gap =
      std::chrono::duration_cast<milliseconds>(now - state.last_report);
  state.last_report = now;
  for (const quota_report& report : reports) {
    // A workspace that is missing from the earlier reports of the same process
    // had a count of 0 there.
    quota_report& counted =
        state.reports
            .try_emplace(report.workspace,
                         quota_report{report.workspace,
                                      new_process ? report.taken : 0, 0})
            .first->second;
    const auto own = buckets_.find(report.workspace);
    // For the time that the peer was silent it was already charged with an even
    // part of the rate.
    const bool charged = !new_process && gap <= peer_timeout_;
    if (own != buckets_.end() && charged) {
      own->second.level -= report.taken - counted.taken;
      own->second.recent_peer_usage.Add(report.taken - counted.taken, now);
      own->second.peers_taken += report.taken - counted.taken;
    }
    if (own != buckets_.end() && !start_full_ && !adopted_peer_level_) {
      own->second.level = std::min(own->second.level, report.level);
    }
    counted = report;
  }
  adopted_peer_level_ = adopted_peer_level_ || !reports.empty();
}

std::vector<quota_report> token_quotas::OwnReports(size_t nodes,
                                                   time_point now) {
  const peer_freshness freshness = PeerFreshness(now);
  std::vector<quota_report> reports;
  for (auto& [workspace, bucket] : buckets_) {
    Refill(bucket, freshness, nodes, now);
    reports.push_back({workspace, bucket.taken, bucket.level});
  }
  return reports;
}

}  // namespace skylarkcroft
