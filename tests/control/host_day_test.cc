#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <iomanip>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_host_plan.h"
#include "skylarkcroft/control/skylarkcroft_host_start_tracker.h"
#include "skylarkcroft/control/skylarkcroft_reclaim_history.h"

namespace skylarkcroft {
namespace {

using std::chrono::minutes;

constexpr int kMinutesPerDay = 24 * 60;
constexpr size_t kZones = 3;
constexpr double kOnDemandPrice = 4;
constexpr int kHostStartMinutes = 4;
constexpr int kNoCapacityMinutes = 20;
const std::array<std::string, kZones> kZoneNames{"a", "b", "c"};

/// Prices, reclaims and demand of one day, generated in advance so that every
/// strategy gets the same day.
struct day {
  struct zone_minute {
    double price = 0;
    bool zone_reclaim = false;
    double single_reclaim = 0;
  };
  std::vector<std::array<zone_minute, kZones>> zones;
  std::vector<host_demand> demand;
};

day GenerateDay(unsigned seed) {
  // The cheapest zone has the highest reclaim rate.
  constexpr std::array<double, kZones> kBasePrice{1.0, 1.2, 1.3};
  constexpr std::array<double, kZones> kHighReclaimProbability{0.4, 0.1, 0.1};
  std::mt19937 random(seed);
  std::normal_distribution<double> noise(0, 0.02);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::array<double, kZones> offset{};
  std::array<bool, kZones> high_reclaim_phase{};
  day generated;
  for (int minute = 0; minute < kMinutesPerDay; ++minute) {
    std::array<day::zone_minute, kZones> now;
    for (size_t zone = 0; zone < kZones; ++zone) {
      offset[zone] = 0.99 * offset[zone] + noise(random);
      if (uniform(random) < 1.0 / 60) {
        high_reclaim_phase[zone] =
            uniform(random) < kHighReclaimProbability[zone];
      }
      const double zone_reclaims_per_hour = high_reclaim_phase[zone] ? 1 : 0.05;
      now[zone] = {kBasePrice[zone] * std::exp(offset[zone]),
                   uniform(random) < zone_reclaims_per_hour / 60, 0.02 / 60};
    }
    generated.zones.push_back(now);
    const double angle = 2 * 3.14159265358979 * minute / kMinutesPerDay;
    const double total =
        (225 - 125 * std::cos(angle)) * (1 + 0.1 * noise(random) / 0.02);
    generated.demand.push_back({{0.25 * total, 0.5 * total, 0.25 * total}});
  }
  return generated;
}

enum class host_strategy { kPlanned, kCheapestFirst, kOnDemand };

struct day_result {
  double spent = 0;
  double served = 0;
  double requested = 0;
  double urgent_served = 0;
  double urgent_requested = 0;
  int reclaimed = 0;

  [[nodiscard]] double served_share() const { return served / requested; }
  [[nodiscard]] double urgent_served_share() const {
    return urgent_served / urgent_requested;
  }
};

/// Simulates one strategy over a day, minute by minute, with a simulated clock.
class day_simulation {
 public:
  day_simulation(const day& today, host_strategy strategy, unsigned seed)
      : today_(today),
        strategy_(strategy),
        random_(seed),
        target_(parameters_),
        starts_("assistant", "n1-1") {
    policy_.max_hosts = 60;
    policy_.min_hosts = 1;
  }

  day_result Run() {
    for (minute_ = 0; minute_ < kMinutesPerDay; ++minute_) {
      Reclaim();
      Serve();
      Plan();
    }
    return result_;
  }

 private:
  struct host {
    host_offer offer;
    int ready_at = 0;
  };

  time_point Now() const {
    return time_point{} + std::chrono::hours(1) + minutes(minute_);
  }
  static size_t ZoneOf(const host_offer& offer) {
    return static_cast<size_t>(std::find(kZoneNames.begin(), kZoneNames.end(),
                                         offer.availability_zone) -
                               kZoneNames.begin());
  }
  double PriceOf(const host_offer& offer) const {
    return offer.reclaimable
               ? today_.zones[static_cast<size_t>(minute_)][ZoneOf(offer)].price
               : kOnDemandPrice;
  }

  void Reclaim() {
    std::uniform_real_distribution<double> uniform(0, 1);
    offer_counts reclaim_counts;
    offer_counts counts_before = Counts(false);
    std::erase_if(hosts_, [&](const host& one) {
      const auto& zone =
          today_.zones[static_cast<size_t>(minute_)][ZoneOf(one.offer)];
      const bool is_reclaimed =
          one.offer.reclaimable &&
          (zone.zone_reclaim || uniform(random_) < zone.single_reclaim);
      reclaim_counts[one.offer] += is_reclaimed ? 1 : 0;
      result_.reclaimed += is_reclaimed ? 1 : 0;
      return is_reclaimed;
    });
    for (size_t zone = 0; zone < kZones; ++zone) {
      if (today_.zones[static_cast<size_t>(minute_)][zone].zone_reclaim) {
        no_capacity_until_[zone] = minute_ + kNoCapacityMinutes;
      }
    }
    for (const auto& [offer, count] : counts_before) {
      history_.Record(offer, static_cast<double>(count), minutes(1),
                      static_cast<double>(reclaim_counts[offer]), Now());
    }
  }

  void Serve() {
    double usable = 0;
    for (const host& one : hosts_) {
      result_.spent += PriceOf(one.offer) / 60;
      const bool runs = one.ready_at <= minute_;
      usable +=
          runs ? parameters_.slots_per_host * parameters_.usable_share : 0;
    }
    const host_demand& demand = Demand();
    for (const rank request_rank : kAllRanks) {
      const double requested = demand.concurrent[IndexOf(request_rank)];
      const double served = std::min(requested, usable);
      usable -= served;
      result_.requested += requested;
      result_.served += served;
      result_.urgent_requested += request_rank == rank::kUrgent ? requested : 0;
      result_.urgent_served += request_rank == rank::kUrgent ? served : 0;
    }
  }

  const host_demand& Demand() const {
    return today_.demand[static_cast<size_t>(minute_)];
  }

  offer_counts Counts(bool only_running) const {
    offer_counts counts;
    for (const host& one : hosts_) {
      counts[one.offer] += !only_running || one.ready_at <= minute_ ? 1 : 0;
    }
    return counts;
  }

  std::vector<priced_offer> Offers() const {
    std::vector<priced_offer> offers;
    for (const std::string& zone : kZoneNames) {
      for (const bool reclaimable : {true, false}) {
        if (reclaimable && strategy_ == host_strategy::kOnDemand) {
          continue;
        }
        const host_offer offer{zone, "g1", reclaimable};
        const double reclaims = strategy_ == host_strategy::kPlanned
                                    ? history_.ReclaimsPerHour(offer, Now())
                                    : 0;
        offers.push_back({offer, PriceOf(offer), reclaims,
                          starts_.IsAvailable(offer, Now())});
      }
    }
    return offers;
  }

  void Plan() {
    host_plan_input input;
    input.target =
        target_.Update(HostsNeeded(Demand(), policy_, parameters_), Now());
    input.urgent_hosts = strategy_ == host_strategy::kPlanned
                             ? UrgentHostsNeeded(Demand(), parameters_)
                             : 0;
    input.offers = Offers();
    input.existing = Counts(false);
    const offer_counts desired = PlanHostMix(input, parameters_);
    const host_changes changes =
        PlanHostChanges(desired, input.existing, Counts(true), input.target);
    for (const auto& [offer, count] : changes.start) {
      for (int64_t number = 0; number < count; ++number) {
        Start(offer);
      }
    }
    for (const auto& entry : changes.drain) {
      for (int64_t number = 0; number < entry.second; ++number) {
        hosts_.erase(
            std::find_if(hosts_.begin(), hosts_.end(), [&](const host& one) {
              return one.offer == entry.first && one.ready_at <= minute_;
            }));
      }
    }
  }

  void Start(const host_offer& offer) {
    const std::string token = starts_.BeginStart(offer).client_token;
    const bool no_capacity =
        offer.reclaimable && minute_ < no_capacity_until_[ZoneOf(offer)];
    starts_.EndStart(
        token,
        no_capacity ? start_outcome::kNoCapacity : start_outcome::kStarted,
        Now());
    if (!no_capacity) {
      hosts_.push_back({offer, minute_ + kHostStartMinutes});
    }
  }

  const day& today_;
  host_strategy strategy_;
  std::mt19937 random_;
  host_plan_parameters parameters_;
  host_policy policy_;
  host_count_target target_;
  host_start_tracker starts_;
  reclaim_history history_;
  std::vector<host> hosts_;
  std::array<int, kZones> no_capacity_until_{};
  int minute_ = 0;
  day_result result_;
};

std::string Describe(const std::string& name, const day_result& result) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(4) << name << ": spent "
       << result.spent << ", targets met " << result.served_share()
       << ", urgent " << result.urgent_served_share() << ", reclaimed "
       << result.reclaimed << "\n";
  return text.str();
}

void Add(day_result& sum, const day_result& one) {
  sum.spent += one.spent;
  sum.served += one.served;
  sum.requested += one.requested;
  sum.urgent_served += one.urgent_served;
  sum.urgent_requested += one.urgent_requested;
  sum.reclaimed += one.reclaimed;
}

}  // namespace

TEST_CASE(
    "Planned hosts cost at most half as much as on-demand hosts on simulated "
    "days",
    "[control][hosts][day]") {
  constexpr unsigned kDays = 20;
  day_result planned;
  day_result cheapest;
  day_result on_demand;
  for (unsigned seed = 0; seed < kDays; ++seed) {
    const day today = GenerateDay(seed);
    Add(planned, day_simulation(today, host_strategy::kPlanned, seed).Run());
    Add(cheapest,
        day_simulation(today, host_strategy::kCheapestFirst, seed).Run());
    Add(on_demand, day_simulation(today, host_strategy::kOnDemand, seed).Run());
  }
  WARN(kDays << " days\n"
             << Describe("planned", planned)
             << Describe("cheapest first", cheapest)
             << Describe("all on demand", on_demand));
  CHECK(planned.spent <= on_demand.spent / 2);
  CHECK(planned.served_share() >= cheapest.served_share());
  CHECK(planned.urgent_served_share() >= 0.95);
}

}  // namespace skylarkcroft
