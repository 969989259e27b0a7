#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_QUOTA_ADMISSION_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_QUOTA_ADMISSION_H_

#include <optional>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/relay/skylarkcroft_relay_environment.h"

namespace skylarkcroft {

/// What a request asks of its workspace's quota.
struct quota_need {
  const workspace_entry* workspace = nullptr;  ///< Null without a workspace.
  int route_rank = 0;                          ///< 0 is the most urgent.
  /// Tokens that the request states; empty if it states none.
  std::optional<double> stated_tokens;
  milliseconds remaining{0};  ///< Until the client's deadline.
};

struct quota_admission {
  double acquired = 0;        ///< Tokens taken; 0 without a limit.
  std::string_view reason{};  ///< Of a refusal; empty when admitted.
  milliseconds retry_after{0};
};

/// Takes the tokens of a request from its workspace's quota, or refuses it
/// where the quota is used up or the rest is kept for more urgent and smaller
/// requests. Notes the inputs of the decision in `record`.
quota_admission AdmitByQuota(const relay_environment& environment,
                             const quota_need& need, request_record& record);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_QUOTA_ADMISSION_H_
