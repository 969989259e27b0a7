#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_WEIGHT_STORE_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_WEIGHT_STORE_H_

#include <functional>
#include <memory>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class http_client;

enum class weight_outcome {
  kFetched,
  kThrottled,    ///< Beyond the rate; try again after `retry_after`.
  kMissing,      ///< No such model or version.
  kUnavailable,  ///< No answer, or one that is not understood.
};

struct weight_result {
  weight_outcome outcome = weight_outcome::kUnavailable;
  /// What the store says of the weights.
  std::string body;
  milliseconds retry_after{0};

  bool operator==(const weight_result&) const = default;
};

using weight_done_fn = std::function<void(const weight_result&)>;

/// The platform's rate-limited store of model weights.
class weight_store {
 public:
  virtual ~weight_store() = default;

  /// Never answers from inside itself.
  virtual void Fetch(const std::string& model, const std::string& version,
                     weight_done_fn done) = 0;
};

/// weight_store over the wire protocol of docs/platform-protocol.md.
std::unique_ptr<weight_store> MakeWeightStoreClient(http_client& client,
                                                    const endpoint& address,
                                                    milliseconds timeout);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_WEIGHT_STORE_H_
