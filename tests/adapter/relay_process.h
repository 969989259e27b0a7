#ifndef SKYLARKCROFT_TESTS_ADAPTER_RELAY_PROCESS_H_
#define SKYLARKCROFT_TESTS_ADAPTER_RELAY_PROCESS_H_

#include <string>

#include "platform/platform_documents.h"
#include "platform/platform_duty_calls.h"
#include "platform/platform_names.h"
#include "platform/platform_row_store.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/relay/skylarkcroft_relay_node.h"

namespace skylarkcroft {

constexpr milliseconds kTestGrace{1400};

/// One node process with its clients of the platform, in this process.
class relay_process {
 public:
  relay_process(event_loop& loop, const endpoint& platform,
                const std::string& name, milliseconds revocation,
                bool strict = true, milliseconds grace = kTestGrace,
                bool first_start = true)
      : log_(loop, {-1, log_level::kError, 1024}),
        client_(loop),
        store_(client_, platform),
        calls_(client_, platform),
        node_(loop,
              Settings(platform, name, revocation, strict, grace, first_start),
              MakeAdapter(), store_, calls_, log_, SteadyNow, WallNowMs) {}

  [[nodiscard]] endpoint address() const { return node_.clients_address(); }
  void Shutdown() { node_.Shutdown(); }

 private:
  static relay_settings Settings(const endpoint& platform,
                                 const std::string& name,
                                 milliseconds revocation, bool strict,
                                 milliseconds grace, bool first_start) {
    const endpoint any{"127.0.0.1", 0};
    relay_settings settings;
    settings.name = name;
    settings.availability_zone = "a";
    settings.first_start = first_start;
    settings.listen = {any, any, any, any};
    settings.store = platform;
    settings.cloud = platform;
    settings.bounds.revocation = revocation;
    settings.bounds.strict_revocation = strict;
    settings.bounds.usage_window = milliseconds(1000);
    settings.bounds.lease = milliseconds(1500);
    settings.bounds.grace_period = grace;
    return settings;
  }

  static deployment_adapter MakeAdapter() {
    deployment_adapter adapter;
    adapter.operator_tables_table = platform::kOperatorTable;
    adapter.operator_tables_key = platform::kConfigRow;
    adapter.upstreams_table = platform::kUpstreamTable;
    adapter.parse_tables = platform::ReadConfig;
    adapter.parse_upstream = platform::ReadUpstream;
    adapter.names = platform::MakeHeaderNames();
    adapter.readiness_path = platform::kReadinessPath;
    return adapter;
  }

  logger log_;
  http_client client_;
  platform::platform_row_store store_;
  platform::platform_duty_calls calls_;
  relay_node node_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_ADAPTER_RELAY_PROCESS_H_
