#include "skylarkcroft/limits/skylarkcroft_quota_demand.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace skylarkcroft {
namespace {

// Mean time from a grant to the early report of it.
constexpr double kEarlyReportSeconds = 0.03;

double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

// Seconds of a constant rate that a sum with this half-life holds.
double SecondsHeld(milliseconds half_life) {
  return Seconds(half_life) / std::numbers::ln2;
}

}  // namespace

void quota_demand::AddOwn(double amount, time_point now) {
  total_ += amount;
  own_average_.Add(amount, now);
}

void quota_demand::Count(const peer_average& average, double sign) {
  const double rate = sign * average.Rate();
  peer_rate_ += rate;
  if (!average.reports_early) {
    late_rate_ += rate;
    late_rate_seconds_ +=
        rate * Seconds(average.last_report.time_since_epoch());
  }
}

void quota_demand::AddPeer(const std::string& peer,
                           const peer_demand_report& report, time_point now) {
  const auto [found, inserted] = peers_.try_emplace(peer);
  peer_average& average = found->second;
  Count(average, -1);
  if (inserted || report.total < average.last_total) {
    average = {};
    average.last_regular_report = now;
    if (report.uptime_seconds <= 0) {
      // The first report only sets what later ones are compared to.
      average.last_regular_total = report.total;
    } else {
      average.last_regular_report -= std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(report.uptime_seconds));
      if (!report.is_early) {
        AddRegularReport(average, report.total, now);
      }
    }
  } else {
    deviation_.Add(report.total - average.last_total -
                       average.Rate() * Seconds(now - average.last_report),
                   now);
    if (!report.is_early) {
      AddRegularReport(average, report.total, now);
    }
  }
  average.reports_early = report.reports_early;
  average.last_total = report.total;
  average.last_report = now;
  Count(average, 1);
}

void quota_demand::AddRegularReport(peer_average& average, double total,
                                    time_point now) {
  const double gap = Seconds(now - average.last_regular_report);
  const double kept = std::exp(-gap / SecondsHeld(kAverageHalfLife));
  average.tokens = kept * average.tokens + total - average.last_regular_total;
  average.seconds = kept * average.seconds + gap;
  average.last_regular_total = total;
  average.last_regular_report = now;
}

void quota_demand::ForgetPeer(const std::string& peer) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    Count(found->second, -1);
    peers_.erase(found);
  }
}

double quota_demand::OwnRate(time_point now) const {
  return own_average_.Value(now) / SecondsHeld(kAverageHalfLife);
}

double quota_demand::PeerRate(time_point now) const {
  return std::max(0.0, peer_rate_ + deviation_.Value(now) /
                                        SecondsHeld(kDeviationHalfLife));
}

double quota_demand::ReportAge(time_point now) const {
  if (peer_rate_ <= 1) {
    return 0;
  }
  const double late =
      late_rate_ * Seconds(now.time_since_epoch()) - late_rate_seconds_;
  const double early = (peer_rate_ - late_rate_) * kEarlyReportSeconds;
  return std::max(0.0, late + early) / peer_rate_;
}

}  // namespace skylarkcroft
