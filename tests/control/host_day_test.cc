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
#include "skylarkcroft/control/skylarkcroft_reclaim_history.h"
#include "skylarkcroft/control/skylarkcroft_start_ledger.h"

namespace skylarkcroft {
namespace {

using std::chrono::minutes;

constexpr int kMinutes = 24 * 60;
constexpr size_t kZones = 3;
constexpr double kOnDemandPrice = 4;
constexpr int kStartMinutes = 4;
constexpr int kShortageMinutes = 20;
const std::array<std::string, kZones> kZoneNames{"a", "b", "c"};

/// Prices, reclaims and demand of one day, drawn before any policy acts.
struct day {
  struct zone_minute {
    double price = 0;
    bool wave = false;
    double single_reclaim = 0;
  };
  std::vector<std::array<zone_minute, kZones>> zones;
  std::vector<host_demand> demand;
};

day MakeDay(unsigned seed) {
  // The cheapest zone has the most reclaims.
  constexpr std::array<double, kZones> kBasePrice{1.0, 1.2, 1.3};
  constexpr std::array<double, kZones> kStormShare{0.4, 0.1, 0.1};
  std::mt19937 random(seed);
  std::normal_distribution<double> step(0, 0.02);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::array<double, kZones> offset{};
  std::array<bool, kZones> storm{};
  day made;
  for (int minute = 0; minute < kMinutes; ++minute) {
    std::array<day::zone_minute, kZones> now;
    for (size_t zone = 0; zone < kZones; ++zone) {
      offset[zone] = 0.99 * offset[zone] + step(random);
      if (uniform(random) < 1.0 / 60) {
        storm[zone] = uniform(random) < kStormShare[zone];
      }
      const double waves_per_hour = storm[zone] ? 1 : 0.05;
      now[zone] = {kBasePrice[zone] * std::exp(offset[zone]),
                   uniform(random) < waves_per_hour / 60, 0.02 / 60};
    }
    made.zones.push_back(now);
    const double angle = 2 * 3.14159265358979 * minute / kMinutes;
    const double total =
        (225 - 125 * std::cos(angle)) * (1 + 0.1 * step(random) / 0.02);
    made.demand.push_back({{0.25 * total, 0.5 * total, 0.25 * total}});
  }
  return made;
}

enum class host_choice { kPlanned, kCheapestFirst, kOnDemand };

struct day_result {
  double spent = 0;
  double met = 0;
  double asked = 0;
  double urgent_met = 0;
  double urgent_asked = 0;
  int reclaimed = 0;

  [[nodiscard]] double share() const { return met / asked; }
  [[nodiscard]] double urgent_share() const {
    return urgent_met / urgent_asked;
  }
};

/// One policy's way through a day, minute by minute on a passed-in clock.
class day_run {
 public:
  day_run(const day& today, host_choice choice, unsigned seed)
      : today_(today),
        choice_(choice),
        random_(seed),
        target_(terms_),
        ledger_("assistant", "n1-1") {
    policy_.max_hosts = 60;
    policy_.min_hosts = 1;
  }

  day_result Run() {
    for (minute_ = 0; minute_ < kMinutes; ++minute_) {
      Reclaim();
      Serve();
      Plan();
    }
    return result_;
  }

 private:
  struct host {
    host_offer offer;
    int runs_at = 0;
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
    offer_counts taken;
    offer_counts before = Counts(false);
    std::erase_if(hosts_, [&](const host& one) {
      const auto& zone =
          today_.zones[static_cast<size_t>(minute_)][ZoneOf(one.offer)];
      const bool goes = one.offer.reclaimable &&
                        (zone.wave || uniform(random_) < zone.single_reclaim);
      taken[one.offer] += goes ? 1 : 0;
      result_.reclaimed += goes ? 1 : 0;
      return goes;
    });
    for (size_t zone = 0; zone < kZones; ++zone) {
      if (today_.zones[static_cast<size_t>(minute_)][zone].wave) {
        short_until_[zone] = minute_ + kShortageMinutes;
      }
    }
    for (const auto& [offer, count] : before) {
      history_.Note(offer, static_cast<double>(count), minutes(1),
                    static_cast<double>(taken[offer]), Now());
    }
  }

  void Serve() {
    double usable = 0;
    for (const host& one : hosts_) {
      result_.spent += PriceOf(one.offer) / 60;
      const bool runs = one.runs_at <= minute_;
      usable += runs ? terms_.slots_per_host * terms_.usable_share : 0;
    }
    const host_demand& demand = Demand();
    for (const rank of : kAllRanks) {
      const double asked = demand.concurrent[IndexOf(of)];
      const double met = std::min(asked, usable);
      usable -= met;
      result_.asked += asked;
      result_.met += met;
      result_.urgent_asked += of == rank::kUrgent ? asked : 0;
      result_.urgent_met += of == rank::kUrgent ? met : 0;
    }
  }

  const host_demand& Demand() const {
    return today_.demand[static_cast<size_t>(minute_)];
  }

  offer_counts Counts(bool only_running) const {
    offer_counts counts;
    for (const host& one : hosts_) {
      counts[one.offer] += !only_running || one.runs_at <= minute_ ? 1 : 0;
    }
    return counts;
  }

  std::vector<priced_offer> Offers() const {
    std::vector<priced_offer> offers;
    for (const std::string& zone : kZoneNames) {
      for (const bool reclaimable : {true, false}) {
        if (reclaimable && choice_ == host_choice::kOnDemand) {
          continue;
        }
        const host_offer offer{zone, "g1", reclaimable};
        const double reclaims = choice_ == host_choice::kPlanned
                                    ? history_.ReclaimsPerHour(offer, Now())
                                    : 0;
        offers.push_back(
            {offer, PriceOf(offer), reclaims, ledger_.Available(offer, Now())});
      }
    }
    return offers;
  }

  void Plan() {
    host_question question;
    question.target =
        target_.Update(HostsNeeded(Demand(), policy_, terms_), Now());
    question.urgent = choice_ == host_choice::kPlanned
                          ? UrgentHostsNeeded(Demand(), terms_)
                          : 0;
    question.offers = Offers();
    question.existing = Counts(false);
    const offer_counts wanted = PlanMix(question, terms_);
    const host_changes changes =
        ChangesTo(wanted, question.existing, Counts(true), question.target);
    for (const auto& [offer, count] : changes.start) {
      for (int64_t number = 0; number < count; ++number) {
        Start(offer);
      }
    }
    for (const auto& entry : changes.drain) {
      for (int64_t number = 0; number < entry.second; ++number) {
        hosts_.erase(
            std::find_if(hosts_.begin(), hosts_.end(), [&](const host& one) {
              return one.offer == entry.first && one.runs_at <= minute_;
            }));
      }
    }
  }

  void Start(const host_offer& offer) {
    const std::string token = ledger_.Begin(offer).client_token;
    const bool lacking =
        offer.reclaimable && minute_ < short_until_[ZoneOf(offer)];
    ledger_.End(token,
                lacking ? start_outcome::kNoCapacity : start_outcome::kStarted,
                Now());
    if (!lacking) {
      hosts_.push_back({offer, minute_ + kStartMinutes});
    }
  }

  const day& today_;
  host_choice choice_;
  std::mt19937 random_;
  host_terms terms_;
  host_policy policy_;
  host_target target_;
  start_ledger ledger_;
  reclaim_history history_;
  std::vector<host> hosts_;
  std::array<int, kZones> short_until_{};
  int minute_ = 0;
  day_result result_;
};

std::string Describe(const std::string& name, const day_result& result) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(4) << name << ": spent "
       << result.spent << ", targets met " << result.share() << ", urgent "
       << result.urgent_share() << ", reclaimed " << result.reclaimed << "\n";
  return text.str();
}

void Add(day_result& sum, const day_result& one) {
  sum.spent += one.spent;
  sum.met += one.met;
  sum.asked += one.asked;
  sum.urgent_met += one.urgent_met;
  sum.urgent_asked += one.urgent_asked;
  sum.reclaimed += one.reclaimed;
}

}  // namespace

TEST_CASE("A seeded day costs at most half of on-demand hosts",
          "[control][hosts][day]") {
  constexpr unsigned kDays = 20;
  day_result planned;
  day_result cheapest;
  day_result on_demand;
  for (unsigned seed = 0; seed < kDays; ++seed) {
    const day today = MakeDay(seed);
    Add(planned, day_run(today, host_choice::kPlanned, seed).Run());
    Add(cheapest, day_run(today, host_choice::kCheapestFirst, seed).Run());
    Add(on_demand, day_run(today, host_choice::kOnDemand, seed).Run());
  }
  WARN(kDays << " days\n"
             << Describe("planned", planned)
             << Describe("cheapest first", cheapest)
             << Describe("all on demand", on_demand));
  CHECK(planned.spent <= on_demand.spent / 2);
  CHECK(planned.share() >= cheapest.share());
  CHECK(planned.urgent_share() >= 0.95);
}

}  // namespace skylarkcroft
