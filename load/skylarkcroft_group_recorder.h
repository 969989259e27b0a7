#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_GROUP_RECORDER_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_GROUP_RECORDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "load/skylarkcroft_experiment_definition.h"
#include "load/skylarkcroft_latency_histogram.h"
#include "load/skylarkcroft_load_result.h"
#include "load/skylarkcroft_request_record.h"

namespace skylarkcroft::load {

/// Adds up the requests of one caller group.
class group_recorder {
 public:
  explicit group_recorder(const caller_group& group);

  void Add(const request_record& record);
  /// An arrival that a bound of the load tool kept back.
  void AddNotSent() { ++sums_.not_sent; }
  [[nodiscard]] group_result Result() const;

 private:
  void AddAnswer(const request_record& record);
  [[nodiscard]] bool MeetsTargets(const request_record& record) const;

  latency_targets targets_;
  group_result sums_;
  std::map<std::string, int64_t> refused_by_reason_;
  std::map<std::string, int64_t> refused_by_run_state_;
  std::map<std::string, int64_t> lost_by_cause_;
  latency_histogram first_token_;
  latency_histogram between_tokens_;
  latency_histogram total_;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_GROUP_RECORDER_H_
