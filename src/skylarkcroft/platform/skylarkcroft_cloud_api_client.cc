#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_api.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_codec.h"
#include "skylarkcroft/platform/skylarkcroft_service_caller.h"
#include "skylarkcroft/platform/skylarkcroft_uri_path.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;

// Calls `read` with the answer's JSON object; a default result stands for an
// answer that is missing or malformed.
template <typename result_type>
result_type ReadJson(
    const http_result& result,
    const std::function<result_type(const json_reader&)>& read) {
  if (!result.Ok()) {
    return {};
  }
  try {
    const json answer = ParseJson(result.response.body);
    return read(json_reader(answer, "$"));
  } catch (const config_error&) {
    return {};
  }
}

bool HasCode(const std::string& body, const std::string& code) {
  const json answer = ParseBoundedJson(body);
  return answer.is_object() && answer.contains("code") &&
         answer["code"] == code;
}

start_result ReadStartAnswer(const http_result& result) {
  if (!result.may_have_been_sent) {
    return {start_outcome::kRejected, {}};
  }
  if (result.outcome != http_outcome::kComplete) {
    return {start_outcome::kUnknown, {}};
  }
  const int status = result.response.status;
  if (status == kTooManyRequests || status == kBadRequest) {
    return {start_outcome::kRejected, {}};
  }
  if (status == kConflict) {
    const bool full = HasCode(result.response.body, "InsufficientCapacity");
    return {full ? start_outcome::kNoCapacity : start_outcome::kRejected, {}};
  }
  return ReadJson<start_result>(result, [](const json_reader& reader) {
    return start_result{
        start_outcome::kStarted,
        DecodeCloudHost(reader.Member("host"), reader.PathOf("host"))};
  });
}

end_outcome ReadEndAnswer(const http_result& result) {
  if (result.Ok()) {
    return end_outcome::kEnded;
  }
  if (!result.may_have_been_sent) {
    return end_outcome::kRejected;
  }
  if (result.outcome != http_outcome::kComplete) {
    return end_outcome::kUnknown;
  }
  switch (result.response.status) {
    case kNotFound:
      return end_outcome::kMissing;
    case kTooManyRequests:
      return end_outcome::kRejected;
    default:
      return end_outcome::kUnknown;
  }
}

prices_result ReadPricesAnswer(const json_reader& reader) {
  return {true, DecodePrices(reader)};
}

cloud_hosts_result ReadHostsAnswer(const json_reader& reader) {
  return {true, DecodeCloudHosts(reader)};
}

notices_result ReadNoticesAnswer(const json_reader& reader) {
  return {true, DecodeNotices(reader)};
}

class cloud_api_client final : public cloud_api {
 public:
  cloud_api_client(http_client& client, const endpoint& address,
                   milliseconds timeout)
      : caller_(client, address, timeout) {}

  void Prices(prices_done_fn done) override {
    caller_.Send({"GET", "/cloud/prices", {}, {}},
                 [done = std::move(done)](const http_result& result) {
                   done(ReadJson<prices_result>(result, ReadPricesAnswer));
                 });
  }

  void StartHost(const start_request& request, start_done_fn done) override {
    caller_.Send({"POST",
                  "/cloud/hosts",
                  {{"Content-Type", "application/json"}},
                  EncodeStartRequest(request).dump()},
                 [done = std::move(done)](const http_result& result) {
                   done(ReadStartAnswer(result));
                 });
  }

  void EndHost(const std::string& id, end_done_fn done) override {
    caller_.Send({"DELETE", "/cloud/hosts/" + EncodeUriPath(id), {}, {}},
                 [done = std::move(done)](const http_result& result) {
                   done(ReadEndAnswer(result));
                 });
  }

  void ListHosts(cloud_hosts_done_fn done) override {
    caller_.Send({"GET", "/cloud/hosts", {}, {}},
                 [done = std::move(done)](const http_result& result) {
                   done(ReadJson<cloud_hosts_result>(result, ReadHostsAnswer));
                 });
  }

  void Notices(int64_t after_seq, notices_done_fn done) override {
    const std::string target =
        "/cloud/notices?after=" + std::to_string(after_seq);
    caller_.Send({"GET", target, {}, {}},
                 [done = std::move(done)](const http_result& result) {
                   done(ReadJson<notices_result>(result, ReadNoticesAnswer));
                 });
  }

 private:
  service_caller caller_;
};

}  // namespace

std::unique_ptr<cloud_api> MakeCloudApiClient(http_client& client,
                                              const endpoint& address,
                                              milliseconds timeout) {
  return std::make_unique<cloud_api_client>(client, address, timeout);
}

}  // namespace skylarkcroft
