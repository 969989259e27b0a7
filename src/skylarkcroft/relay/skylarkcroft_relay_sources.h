#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_SOURCES_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_SOURCES_H_

#include <functional>
#include <optional>
#include <string>

#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"
#include "skylarkcroft/relay/skylarkcroft_header_names.h"
#include "skylarkcroft/service/skylarkcroft_service_map.h"

namespace skylarkcroft {

/// Where a deployment keeps what the relay reads, and how to read it.
struct relay_sources {
  std::string tables_table;  ///< Holds the operators' tables,
  std::string tables_key;    ///< whole, in this row.
  std::string upstreams_table;
  /// Empty for a value that cannot be read.
  std::function<std::optional<service_map>(const std::string& value)>
      read_tables;
  std::function<std::optional<upstream_entry>(const std::string& id,
                                              const std::string& value)>
      read_upstream;
  header_names names;
  std::string readiness_path;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_SOURCES_H_
