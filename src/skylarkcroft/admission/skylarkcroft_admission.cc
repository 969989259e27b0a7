#include "skylarkcroft/admission/skylarkcroft_admission.h"

namespace skylarkcroft {

int64_t pool_counts::running() const {
  int64_t total = 0;
  for (const rank_counts& counts : ranks) {
    total += counts.running;
  }
  return total;
}

int64_t pool_counts::queued() const {
  int64_t total = 0;
  for (const rank_counts& counts : ranks) {
    total += counts.queued;
  }
  return total;
}

}  // namespace skylarkcroft
