#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_TRANSPORT_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_TRANSPORT_H_

#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft {

/// Carries messages between nodes. Messages may be lost, late or repeated.
class mesh_transport {
 public:
  virtual ~mesh_transport() = default;

  /// Sends without waiting. Returns false when the message was dropped because
  /// too much waits for that peer already.
  virtual bool Send(const endpoint& to, const std::string& bytes) = 0;
  /// Replaces the connection to `to`, which went silent.
  virtual void Redial(const endpoint& to) = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_TRANSPORT_H_
