#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_OFFER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_OFFER_H_

#include <compare>
#include <string>

namespace skylarkcroft {

/// A kind of host that the cloud can start.
struct host_offer {
  std::string availability_zone;
  std::string machine_class;
  bool reclaimable = true;

  auto operator<=>(const host_offer&) const = default;
};

/// An offer with its current price, reclaim rate and availability.
struct priced_offer {
  host_offer offer;
  double price_per_hour = 0;
  /// Expected reclaims per hour of one such host; 0 for on-demand hosts.
  double reclaims_per_hour = 0;
  /// False during the backoff after the cloud refused a start of this offer.
  bool available = true;

  bool operator==(const priced_offer&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_OFFER_H_
