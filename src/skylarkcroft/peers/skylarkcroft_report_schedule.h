#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_REPORT_SCHEDULE_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_REPORT_SCHEDULE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Spreads reports to all peers over a period. Sent at once they would fill a
/// small link, which then drops the last of them.
class report_schedule {
 public:
  /// Those of `targets` that are due; each is about once a `period`, in turn.
  std::vector<endpoint> Due(const std::vector<endpoint>& targets,
                            milliseconds period, time_point now);

 private:
  std::optional<time_point> last_;
  double owed_ = 0;
  size_t next_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_REPORT_SCHEDULE_H_
