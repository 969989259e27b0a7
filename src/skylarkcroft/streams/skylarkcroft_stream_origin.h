#ifndef SKYLARKCROFT_STREAMS_SKYLARKCROFT_STREAM_ORIGIN_H_
#define SKYLARKCROFT_STREAMS_SKYLARKCROFT_STREAM_ORIGIN_H_

#include <compare>
#include <string>

namespace skylarkcroft {

/// What began a stream; only upstreams of the same service and software version
/// may go on with it.
struct stream_origin {
  std::string service;
  std::string version;  ///< Empty where upstreams state none.

  auto operator<=>(const stream_origin&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STREAMS_SKYLARKCROFT_STREAM_ORIGIN_H_
