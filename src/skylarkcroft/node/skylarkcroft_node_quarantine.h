#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_QUARANTINE_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_QUARANTINE_H_

#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"

namespace skylarkcroft {

class logger;
class metrics_registry;
class node_mesh;

/// The quarantine of prompt parts of a node, shared with its peers over the
/// mesh.
class node_quarantine {
 public:
  /// All references must outlive the object.
  node_quarantine(logger& log, metrics_registry& metrics);

  /// Exchanges notices with the members of `mesh` from now on.
  void Join(node_mesh& mesh);
  [[nodiscard]] part_quarantine& parts() { return parts_; }

 private:
  void LogChange(const quarantine_event& event);

  logger& log_;
  metrics_registry& metrics_;
  part_quarantine parts_;
  time_point next_tick_{};
  time_point next_report_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_QUARANTINE_H_
