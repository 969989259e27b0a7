#include "skylarkcroft/limits/skylarkcroft_token_allotments.h"

#include <algorithm>
#include <numbers>

namespace skylarkcroft {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kToleranceUsed = 0.35;

}  // namespace

allotment_limit WithTolerance(const allotment_limit& limit,
                              const allotment_tolerance& tolerance) {
  const double factor = 1 + kToleranceUsed * tolerance.share;
  return {factor * limit.per_second,
          factor * limit.burst + kToleranceUsed * tolerance.amount};
}

token_allotments::token_allotments(bool start_full) : start_full_(start_full) {}

token_allotments::hearing token_allotments::Hearing(time_point now) const {
  hearing known;
  duration ages{0};
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard <= peer_silence_) {
      ++known.heard;
      ages += now - peer.heard;
    }
  }
  if (known.heard > 1) {
    known.mean_age_seconds = std::chrono::duration<double>(ages).count() /
                             static_cast<double>(known.heard - 1);
  }
  return known;
}

double token_allotments::Unreported(const bucket& one, const hearing& known,
                                    time_point now) {
  constexpr double kHalfLifeSeconds =
      std::chrono::duration<double>(kPeersHalfLife).count();
  const double per_second =
      one.peers_recent.Value(now) * std::numbers::ln2 / kHalfLifeSeconds;
  return per_second * known.mean_age_seconds;
}

std::optional<double> token_allotments::PeersLevel(const std::string& workspace,
                                                   time_point now) const {
  std::optional<double> least;
  for (const auto& [name, peer] : peers_) {
    const auto told = peer.reports.find(workspace);
    if (told == peer.reports.end() || now - peer.heard > peer_silence_) {
      continue;
    }
    least = std::min(least.value_or(told->second.level), told->second.level);
  }
  return least;
}

token_allotments::bucket& token_allotments::Refilled(
    const std::string& workspace, const allotment_limit& limit, size_t silent,
    size_t nodes, time_point now) {
  const auto [found, fresh] = buckets_.try_emplace(workspace);
  bucket& one = found->second;
  if (fresh) {
    one.updated = now;
    const double parts = static_cast<double>(std::max<size_t>(nodes, 1));
    const double unheard = start_full_ ? limit.burst : limit.burst / parts;
    one.level =
        std::min(limit.burst, PeersLevel(workspace, now).value_or(unheard));
    // The even part of the burst already leaves the peers theirs.
    one.silent = silent;
  }
  one.limit = limit;
  Refill(one, silent, nodes, now);
  return one;
}

void token_allotments::Refill(bucket& one, size_t silent, size_t nodes,
                              time_point now) const {
  const double elapsed =
      std::chrono::duration<double>(now - one.updated).count();
  const double even_part =
      one.limit.per_second /
      static_cast<double>(std::max<size_t>(nodes, silent + 1));
  const double own_rate =
      one.limit.per_second - even_part * static_cast<double>(silent);
  one.level = std::min(one.limit.burst, one.level + elapsed * own_rate);
  if (silent > one.silent) {
    // What they took since they were last heard, before that was known.
    one.level -= even_part * static_cast<double>(silent - one.silent) *
                 std::chrono::duration<double>(peer_silence_).count();
  }
  one.silent = silent;
  one.updated = now;
}

allotment_decision token_allotments::Take(const std::string& workspace,
                                          const allotment_limit& limit,
                                          double amount, size_t nodes,
                                          time_point now) {
  const hearing known = Hearing(now);
  const size_t silent = known.Silent(nodes);
  bucket& one = Refilled(workspace, limit, silent, nodes, now);
  const double level = one.level - Unreported(one, known, now);
  allotment_decision decision{true, level, milliseconds(0), silent};
  if (limit.per_second <= 0) {
    return decision;
  }
  // A request larger than the whole burst passes when the bucket is full.
  const double needed = std::min(amount, limit.burst);
  if (level < needed) {
    decision.granted = false;
    decision.wait = milliseconds(static_cast<milliseconds::rep>(
        kMillisPerSecond * (needed - level) / limit.per_second));
    return decision;
  }
  one.level -= amount;
  one.taken += amount;
  return decision;
}

void token_allotments::Return(const std::string& workspace, double amount) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return;
  }
  found->second.level =
      std::min(found->second.limit.burst, found->second.level + amount);
  found->second.taken -= amount;
}

void token_allotments::NotePeer(const std::string& peer, int64_t incarnation,
                                const std::vector<allotment_report>& reports,
                                time_point now) {
  peer_state& known = peers_[peer];
  const bool first = known.incarnation != incarnation;
  if (first) {
    known.incarnation = incarnation;
    known.reports.clear();
  }
  const milliseconds gap =
      std::chrono::duration_cast<milliseconds>(now - known.heard);
  known.heard = now;
  for (const allotment_report& report : reports) {
    // A process heard before had taken nothing of what it did not name.
    allotment_report& counted =
        known.reports
            .try_emplace(
                report.workspace,
                allotment_report{report.workspace, first ? report.taken : 0, 0})
            .first->second;
    const auto own = buckets_.find(report.workspace);
    // While the peer was silent it was charged with its even part instead.
    const bool charged = !first && gap <= peer_silence_;
    if (own != buckets_.end() && charged) {
      own->second.level -= report.taken - counted.taken;
      own->second.peers_recent.Add(report.taken - counted.taken, now);
    }
    if (own != buckets_.end() && !start_full_ && !adopted_) {
      own->second.level = std::min(own->second.level, report.level);
    }
    counted = report;
  }
  adopted_ = adopted_ || !reports.empty();
}

std::vector<allotment_report> token_allotments::OwnReports(size_t nodes,
                                                           time_point now) {
  const size_t silent = Hearing(now).Silent(nodes);
  std::vector<allotment_report> reports;
  for (auto& [workspace, one] : buckets_) {
    Refill(one, silent, nodes, now);
    reports.push_back({workspace, one.taken, one.level});
  }
  return reports;
}

}  // namespace skylarkcroft
