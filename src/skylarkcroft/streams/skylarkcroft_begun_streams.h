#ifndef SKYLARKCROFT_STREAMS_SKYLARKCROFT_BEGUN_STREAMS_H_
#define SKYLARKCROFT_STREAMS_SKYLARKCROFT_BEGUN_STREAMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/streams/skylarkcroft_stream_origin.h"

namespace skylarkcroft {

/// A digest of the id of the request whose answer began a stream.
using stream_key = uint64_t;
stream_key MakeStreamKey(std::string_view request_id);

using streams_by_origin = std::map<stream_origin, std::vector<stream_key>>;

/// Streams that have begun, as nodes tell and write them.
struct stream_list {
  streams_by_origin streams;
  /// Time from then on after which none of them is taken up any more.
  milliseconds life{0};

  bool operator==(const stream_list&) const = default;
};

/// The streams that a node knows to have begun, with their origins: its own and
/// those that it has read of others. Bounded in number and age.
class begun_streams {
 public:
  explicit begun_streams(size_t max_streams) : max_streams_(max_streams) {}

  /// A stream that began at this node, and which a client may take up again
  /// until `expires_at`.
  void RecordOwn(stream_key key, const stream_origin& origin,
                 time_point expires_at);
  /// The same of a stream that began at another node.
  void RecordOther(stream_key key, const stream_origin& origin,
                   time_point expires_at);
  /// The client has got the whole stream, so nobody has to be told of it.
  void RecordWhole(stream_key key);
  [[nodiscard]] std::optional<stream_origin> Find(stream_key key,
                                                  time_point now) const;
  /// Forgets the streams that no client takes up any more.
  void DropExpired(time_point now);
  /// Own streams that are not whole, at most `most`, the last to expire first.
  [[nodiscard]] stream_list Unfinished(size_t most, time_point now) const;
  [[nodiscard]] size_t size() const { return streams_.size(); }

 private:
  struct entry {
    stream_origin origin;
    time_point expires_at{};
    bool is_own = false;
    bool is_whole = false;
  };

  void Record(stream_key key, const entry& stream);
  void Erase(stream_key key);

  size_t max_streams_;
  std::unordered_map<stream_key, entry> streams_;
  std::set<std::pair<time_point, stream_key>> by_expiry_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STREAMS_SKYLARKCROFT_BEGUN_STREAMS_H_
