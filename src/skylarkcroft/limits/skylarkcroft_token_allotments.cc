#include "skylarkcroft/limits/skylarkcroft_token_allotments.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kToleranceUsed = 0.5;

}  // namespace

allotment_limit WithTolerance(const allotment_limit& limit,
                              const allotment_tolerance& tolerance) {
  const double factor = 1 + kToleranceUsed * tolerance.share;
  return {factor * limit.per_second,
          factor * limit.burst + kToleranceUsed * tolerance.amount};
}

token_allotments::token_allotments(bool start_full) : start_full_(start_full) {}

size_t token_allotments::Silent(size_t nodes, time_point now) const {
  size_t heard = 1;
  for (const auto& [name, peer] : peers_) {
    heard += now - peer.heard <= peer_silence_ ? 1 : 0;
  }
  return nodes > heard ? nodes - heard : 0;
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

double token_allotments::LevelAt(const bucket& one, time_point now) {
  const double elapsed =
      std::chrono::duration<double>(now - one.updated).count();
  return std::min(one.limit.burst, one.level + elapsed * one.own_rate);
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
  const double even_part =
      limit.per_second /
      static_cast<double>(std::max<size_t>(nodes, silent + 1));
  const double own_rate =
      limit.per_second - even_part * static_cast<double>(silent);
  one.limit = limit;
  one.own_rate = own_rate;
  one.level = LevelAt(one, now);
  if (silent > one.silent) {
    // What they took since they were last heard, before that was known.
    one.level -= even_part * static_cast<double>(silent - one.silent) *
                 std::chrono::duration<double>(peer_silence_).count();
  }
  one.silent = silent;
  one.updated = now;
  return one;
}

allotment_decision token_allotments::Take(const std::string& workspace,
                                          const allotment_limit& limit,
                                          double amount, size_t nodes,
                                          time_point now) {
  const size_t silent = Silent(nodes, now);
  bucket& one = Refilled(workspace, limit, silent, nodes, now);
  allotment_decision decision{true, one.level, milliseconds(0), silent};
  if (limit.per_second <= 0) {
    return decision;
  }
  // A request larger than the whole burst passes when the bucket is full.
  const double needed = std::min(amount, limit.burst);
  if (one.level < needed) {
    decision.granted = false;
    decision.wait = milliseconds(static_cast<milliseconds::rep>(
        kMillisPerSecond * (needed - one.level) / limit.per_second));
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
    }
    if (own != buckets_.end() && !start_full_ && !adopted_) {
      own->second.level = std::min(own->second.level, report.level);
    }
    counted = report;
  }
  adopted_ = adopted_ || !reports.empty();
}

std::vector<allotment_report> token_allotments::OwnReports(
    time_point now) const {
  std::vector<allotment_report> reports;
  for (const auto& [workspace, one] : buckets_) {
    reports.push_back({workspace, one.taken, LevelAt(one, now)});
  }
  return reports;
}

}  // namespace skylarkcroft
