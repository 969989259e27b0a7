#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_STATUS_REPORT_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_STATUS_REPORT_H_

#include <nlohmann/json_fwd.hpp>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class admission;
class pool_windows;
class request_registry;
class active_tables;
class upstream_directory;
struct settings;

/// What a status report describes.
struct status_source {
  const settings& config;
  const active_tables& tables;
  const upstream_directory& directory;
  const admission& admit;
  const pool_windows& windows;
  const request_registry& registry;
  bool store_reachable = false;
  bool ready = false;
};

/// The document of `GET /operators/status`, docs/operators-api.md.
nlohmann::json DescribeNode(const status_source& source, time_point now);

/// The document of `GET /operators/requests`.
nlohmann::json DescribeRequests(const request_registry& registry,
                                time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_STATUS_REPORT_H_
