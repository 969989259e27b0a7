#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_QUARANTINE_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_QUARANTINE_H_

#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/node/skylarkcroft_node_mesh.h"
#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"

namespace skylarkcroft {

class logger;
class metrics_registry;

/// The quarantines of a node, of prompt parts and of whole requests, shared
/// with its peers over the mesh.
class node_quarantine {
 public:
  /// All references must outlive the object.
  node_quarantine(logger& log, metrics_registry& metrics);

  /// Exchanges notices with the members of `mesh` from now on.
  void Join(node_mesh& mesh);
  [[nodiscard]] part_quarantine& parts() { return parts_; }
  [[nodiscard]] request_quarantine& requests() { return requests_; }

 private:
  void TellNews(node_mesh& mesh, const mesh_time& at);
  void Report(node_mesh& mesh, const mesh_time& at);
  void CountChange(std::string_view what);
  void LogChange(const quarantine_event& event);
  void LogRequestChange(const request_quarantine_event& event);

  logger& log_;
  metrics_registry& metrics_;
  part_quarantine parts_;
  request_quarantine requests_;
  time_point next_tick_{};
  time_point next_report_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_QUARANTINE_H_
