#include <charconv>
#include <utility>

#include "skylarkcroft/platform/skylarkcroft_service_caller.h"
#include "skylarkcroft/platform/skylarkcroft_uri_path.h"
#include "skylarkcroft/platform/skylarkcroft_weight_store.h"

namespace skylarkcroft {
namespace {

constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kDefaultRetryAfterS = 1;

milliseconds ReadRetryAfter(const http_headers& headers) {
  const std::string text = headers.Get("Retry-After");
  int seconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, status] = std::from_chars(text.data(), end, seconds);
  if (status != std::errc() || stop != end || seconds < 0) {
    seconds = kDefaultRetryAfterS;
  }
  return std::chrono::seconds(seconds);
}

weight_result ReadAnswer(const http_result& result) {
  if (result.Ok()) {
    return {weight_outcome::kFetched, result.response.body, {}};
  }
  if (result.outcome != http_outcome::kComplete) {
    return {};
  }
  if (result.response.status == kTooManyRequests) {
    return {weight_outcome::kThrottled,
            {},
            ReadRetryAfter(result.response.headers)};
  }
  if (result.response.status == kNotFound) {
    return {weight_outcome::kMissing, {}, {}};
  }
  return {};
}

class weight_store_client final : public weight_store {
 public:
  weight_store_client(http_client& client, const endpoint& address,
                      milliseconds timeout)
      : caller_(client, address, timeout) {}

  void Fetch(const std::string& model, const std::string& version,
             weight_done_fn done) override {
    const std::string target =
        "/weights/" + EncodeUriPath(model) + "/" + EncodeUriPath(version);
    caller_.Send({"GET", target, {}, {}},
                 [done = std::move(done)](const http_result& result) {
                   done(ReadAnswer(result));
                 });
  }

 private:
  service_caller caller_;
};

}  // namespace

std::unique_ptr<weight_store> MakeWeightStoreClient(http_client& client,
                                                    const endpoint& address,
                                                    milliseconds timeout) {
  return std::make_unique<weight_store_client>(client, address, timeout);
}

}  // namespace skylarkcroft
