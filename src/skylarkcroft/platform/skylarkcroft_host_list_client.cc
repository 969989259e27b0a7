#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/platform/skylarkcroft_host_list.h"
#include "skylarkcroft/platform/skylarkcroft_host_list_codec.h"
#include "skylarkcroft/platform/skylarkcroft_service_caller.h"

namespace skylarkcroft {
namespace {

constexpr int_range kVersions{0, std::numeric_limits<int64_t>::max()};

host_list_result ReadAnswer(const http_result& result) {
  if (!result.Ok()) {
    return {};
  }
  try {
    const nlohmann::json answer = ParseJson(result.response.body);
    const json_reader reader(answer, "$");
    // An answer without the member must not read as an empty list.
    reader.Require("hosts");
    return {true, reader.Int("version", kVersions), DecodeListedHosts(reader)};
  } catch (const config_error&) {
    return {};
  }
}

class host_list_client final : public host_list {
 public:
  host_list_client(http_client& client, const endpoint& address,
                   milliseconds timeout)
      : caller_(client, address, timeout) {}

  void Fetch(host_list_done_fn done) override {
    caller_.Send({"GET", "/hosts", {}, {}},
                 [done = std::move(done)](const http_result& result) {
                   done(ReadAnswer(result));
                 });
  }

 private:
  service_caller caller_;
};

}  // namespace

std::unique_ptr<host_list> MakeHostListClient(http_client& client,
                                              const endpoint& address,
                                              milliseconds timeout) {
  return std::make_unique<host_list_client>(client, address, timeout);
}

}  // namespace skylarkcroft
