#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_REPORT_SCHEDULE_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_REPORT_SCHEDULE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Spreads the reports to all peers over a period. Sent all at once they would
/// saturate a slow link, which then drops the last of them.
class report_schedule {
 public:
  /// Returns the `targets` whose turn it is at `now`; each is returned about
  /// once per `period`, round robin.
  std::vector<endpoint> NextTargets(const std::vector<endpoint>& targets,
                                    milliseconds period, time_point now);

 private:
  std::optional<time_point> last_;
  double due_reports_ = 0;  ///< Grows by the number of targets per period.
  size_t next_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_REPORT_SCHEDULE_H_
