#include <utility>

#include "skylarkcroft/platform/skylarkcroft_object_store.h"
#include "skylarkcroft/platform/skylarkcroft_service_caller.h"
#include "skylarkcroft/platform/skylarkcroft_uri_path.h"

namespace skylarkcroft {
namespace {

constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

http_request MakeRequest(const std::string& method, const std::string& key) {
  return {method, "/objects/" + EncodeUriPath(key), {}, {}};
}

// A 503 without the word is any gateway's and says nothing of the effect.
bool IsThrottled(const http_response& response) {
  return response.status == kTooManyRequests ||
         (response.status == kServiceUnavailable &&
          response.body.find("SlowDown") != std::string::npos);
}

object_write_result ReadWriteAnswer(const http_result& result) {
  if (result.Ok()) {
    return {object_write_outcome::kDone, result.response.headers.Get("ETag")};
  }
  if (!result.may_have_been_sent) {
    return {object_write_outcome::kRejected, {}};
  }
  if (result.outcome != http_outcome::kComplete) {
    return {object_write_outcome::kUnknown, {}};
  }
  if (result.response.status == kPreconditionFailed) {
    return {object_write_outcome::kExists, {}};
  }
  if (IsThrottled(result.response)) {
    return {object_write_outcome::kRejected, {}};
  }
  return {object_write_outcome::kUnknown, {}};
}

object_write_result ReadDeleteAnswer(const http_result& result) {
  if (result.outcome == http_outcome::kComplete &&
      result.response.status == kNotFound) {
    return {object_write_outcome::kDone, {}};
  }
  return ReadWriteAnswer(result);
}

object_read_result ReadGetAnswer(const http_result& result) {
  if (result.Ok()) {
    return {read_outcome::kFound, result.response.body,
            result.response.headers.Get("ETag")};
  }
  if (result.outcome == http_outcome::kComplete &&
      result.response.status == kNotFound) {
    return {read_outcome::kMissing, {}, {}};
  }
  return {};
}

class object_store_client final : public object_store {
 public:
  object_store_client(http_client& client, const endpoint& address,
                      milliseconds timeout)
      : caller_(client, address, timeout) {}

  void Put(const std::string& key, const std::string& body,
           put_condition condition, object_write_done_fn done) override {
    http_request request = MakeRequest("PUT", key);
    request.body = body;
    request.headers.Add("Content-Type", "application/octet-stream");
    if (condition == put_condition::kIfAbsent) {
      request.headers.Add("If-None-Match", "*");
    }
    caller_.Send(request, [done = std::move(done)](const http_result& result) {
      done(ReadWriteAnswer(result));
    });
  }

  void Get(const std::string& key, object_read_done_fn done) override {
    caller_.Send(MakeRequest("GET", key),
                 [done = std::move(done)](const http_result& result) {
                   done(ReadGetAnswer(result));
                 });
  }

  void Delete(const std::string& key, object_write_done_fn done) override {
    caller_.Send(MakeRequest("DELETE", key),
                 [done = std::move(done)](const http_result& result) {
                   done(ReadDeleteAnswer(result));
                 });
  }

 private:
  service_caller caller_;
};

}  // namespace

std::unique_ptr<object_store> MakeObjectStoreClient(http_client& client,
                                                    const endpoint& address,
                                                    milliseconds timeout) {
  return std::make_unique<object_store_client>(client, address, timeout);
}

}  // namespace skylarkcroft
