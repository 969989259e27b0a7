#include "skylarkcroft/limits/skylarkcroft_token_allotments.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

token_allotments::token_allotments(bool start_full) : start_full_(start_full) {}

size_t token_allotments::Silent(size_t nodes, time_point now) const {
  size_t heard = 1;
  for (const auto& [name, peer] : peers_) {
    heard += now - peer.heard <= peer_silence_ ? 1 : 0;
  }
  return nodes > heard ? nodes - heard : 0;
}

token_allotments::bucket& token_allotments::Refilled(
    const std::string& workspace, const allotment_limit& limit, size_t silent,
    size_t nodes, time_point now) {
  const auto [found, fresh] = buckets_.try_emplace(workspace);
  bucket& one = found->second;
  if (fresh) {
    one.updated = now;
    one.level =
        start_full_
            ? limit.burst
            : limit.burst / static_cast<double>(std::max<size_t>(nodes, 1));
    // The even part of the burst already leaves the peers theirs.
    one.silent = silent;
  }
  const double elapsed =
      std::chrono::duration<double>(now - one.updated).count();
  const double even_part =
      limit.per_second /
      static_cast<double>(std::max<size_t>(nodes, silent + 1));
  const double own_rate =
      limit.per_second - even_part * static_cast<double>(silent);
  one.limit = limit;
  one.level = std::min(limit.burst, one.level + elapsed * own_rate);
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
  if (known.incarnation != incarnation) {
    known.incarnation = incarnation;
    known.taken.clear();
  }
  const milliseconds gap =
      std::chrono::duration_cast<milliseconds>(now - known.heard);
  known.heard = now;
  for (const allotment_report& report : reports) {
    const auto [counted, fresh] =
        known.taken.try_emplace(report.workspace, report.taken);
    const auto own = buckets_.find(report.workspace);
    // While the peer was silent it was charged with its even part instead.
    const bool charged = !fresh && gap <= peer_silence_;
    if (own != buckets_.end() && charged) {
      own->second.level -= report.taken - counted->second;
    }
    if (own != buckets_.end() && !start_full_ && !adopted_) {
      own->second.level = std::min(own->second.level, report.level);
    }
    counted->second = report.taken;
  }
  adopted_ = adopted_ || !reports.empty();
}

std::vector<allotment_report> token_allotments::OwnReports() const {
  std::vector<allotment_report> reports;
  for (const auto& [workspace, one] : buckets_) {
    reports.push_back({workspace, one.taken, one.level});
  }
  return reports;
}

}  // namespace skylarkcroft
