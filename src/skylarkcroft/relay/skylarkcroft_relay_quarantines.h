#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_QUARANTINES_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_QUARANTINES_H_

#include <limits>

#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"

namespace skylarkcroft {

// The quarantines of a relay. Requests are known there by all that makes them
// the same, so the quarantine of parts does not count the crashes of one.

inline part_quarantine_parameters PartQuarantineOfRelay() {
  part_quarantine_parameters parameters;
  parameters.max_crashes_of_request = std::numeric_limits<double>::infinity();
  return parameters;
}

inline request_quarantine_parameters RequestQuarantineOfRelay() {
  request_quarantine_parameters parameters;
  parameters.crashes_to_block = 2;
  // A repeat may crash the next upstream at once.
  parameters.min_repeat_gap = milliseconds(0);
  return parameters;
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_QUARANTINES_H_
