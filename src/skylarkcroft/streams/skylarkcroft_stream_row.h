#ifndef SKYLARKCROFT_STREAMS_SKYLARKCROFT_STREAM_ROW_H_
#define SKYLARKCROFT_STREAMS_SKYLARKCROFT_STREAM_ROW_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkcroft/streams/skylarkcroft_begun_streams.h"

namespace skylarkcroft {

/// Streams in one row at most; 16 bytes each, so that the row stays below the
/// store's limit of 64 KiB.
inline constexpr size_t kMaxStreamsInRow = 3600;

/// The streams that one node has begun, as the store keeps them.
struct stream_row {
  /// Time of the store's clock at or before which the row was written.
  milliseconds written_at{0};
  stream_list list;

  bool operator==(const stream_row&) const = default;
};

/// JSON; keys of streams as 16 hexadecimal digits each, without separators.
std::string EncodeStreamRow(const stream_row& row);
/// Returns nothing for a value that is no such row.
std::optional<stream_row> DecodeStreamRow(const std::string& value);

/// What a node tells those that write the streams of all nodes.
struct stream_notice {
  std::string sender;    ///< Differs with every start of a node.
  int64_t sequence = 0;  ///< Rises with every notice of the sender.
  stream_list list;

  bool operator==(const stream_notice&) const = default;
};

/// CBOR with positional items.
std::string EncodeStreamNotice(const stream_notice& notice);
/// Returns nothing if `bytes` are another datagram.
std::optional<stream_notice> DecodeStreamNotice(std::string_view bytes);

std::string StreamRowKey(const std::string& node);
bool IsStreamRowKey(const std::string& key);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STREAMS_SKYLARKCROFT_STREAM_ROW_H_
