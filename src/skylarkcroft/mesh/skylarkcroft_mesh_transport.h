#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_TRANSPORT_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_TRANSPORT_H_

#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft {

/// Sends messages to other nodes. Messages may be lost, delayed or duplicated.
class mesh_transport {
 public:
  virtual ~mesh_transport() = default;

  /// Sends without blocking. Returns false when the message was dropped, for
  /// example because the send buffer of that peer is full.
  virtual bool Send(const endpoint& to, const std::string& bytes) = 0;
  /// Closes the connection to `to` after a missed reply; the next Send() opens
  /// a new one.
  virtual void Redial(const endpoint& to) = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_TRANSPORT_H_
