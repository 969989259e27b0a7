#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_OFFER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_OFFER_H_

#include <compare>
#include <string>

namespace skylarkcroft {

/// A kind of host that the cloud starts.
struct host_offer {
  std::string availability_zone;
  std::string machine_class;
  bool reclaimable = true;

  auto operator<=>(const host_offer&) const = default;
};

/// An offer as it stands now.
struct priced_offer {
  host_offer offer;
  double price_per_hour = 0;
  /// Expected reclaims of one such host an hour; 0 for on-demand.
  double reclaims_per_hour = 0;
  /// False while starts of it are put off after a refusal.
  bool available = true;

  bool operator==(const priced_offer&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_OFFER_H_
