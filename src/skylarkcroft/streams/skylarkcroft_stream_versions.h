#ifndef SKYLARKCROFT_STREAMS_SKYLARKCROFT_STREAM_VERSIONS_H_
#define SKYLARKCROFT_STREAMS_SKYLARKCROFT_STREAM_VERSIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"
#include "skylarkcroft/streams/skylarkcroft_begun_streams.h"
#include "skylarkcroft/streams/skylarkcroft_stream_row.h"
#include "skylarkcroft/streams/skylarkcroft_version_ledger.h"

namespace skylarkcroft {

/// What a stream_versions needs of its node. Everything referenced must outlive
/// it.
struct stream_versions_environment {
  row_store& store;
  std::string node;
  int64_t incarnation = 0;  ///< Differs with every start of the node.
  /// The whole system starts for the first time: no stream has begun before.
  bool is_first_start = false;
  clock_fn clock;
  /// The upstreams listed, leaving ones too.
  std::function<std::vector<upstream_entry>()> upstreams;
  /// Every change of the list of upstreams before this time is known; empty
  /// before the first read.
  std::function<std::optional<time_point>()> upstreams_current_as_of;
  /// Services that have streams which clients may take up again.
  std::function<std::set<std::string>()> services;
  std::function<size_t(time_point now)> node_count;
  /// Names of the few nodes, this one included, that write the streams of all;
  /// the first of them also removes rows that are no longer needed. Empty while
  /// they are not known.
  std::function<std::vector<std::string>(time_point now)> writers;
  /// Sends a datagram of up to kMaxFragmentedBytes to another node.
  std::function<void(const std::string& node, const std::string& datagram)>
      send;
  /// A random number, uniform in [0, 1).
  std::function<double()> uniform_random;
  /// Called with the outcome of each call to the store: `read`, `open` (the
  /// ledger), `write` (own streams) or `remove`.
  std::function<void(std::string_view call, store_outcome outcome)> on_call;
};

/// What became of a search for the origin of a stream.
struct origin_search {
  /// Empty if the stream is not known, or the store did not respond.
  std::optional<stream_origin> origin;
  bool store_responded = false;

  bool operator==(const origin_search&) const = default;
};

/// Decides at which upstreams a stream may begin and go on, so that none holds
/// events of two software versions, also after all nodes have lost their
/// memory.
///
/// Two kinds of rows of the store serve that. The ledger of a service lists the
/// versions at which streams begin; while it has listed a single one for as
/// long as a stream can be taken up, that version began every stream, and
/// nothing else is written. Otherwise each node tells two others of the
/// unfinished streams that it has begun, some times a second, and these write
/// those of all nodes into a row each. A stream that is in no row is unknown
/// then and may not go on.
class stream_versions {
 public:
  using search_fn = std::function<void(const origin_search&)>;

  explicit stream_versions(stream_versions_environment environment);
  ~stream_versions();
  stream_versions(const stream_versions&) = delete;
  stream_versions& operator=(const stream_versions&) = delete;

  /// Reads the rows for the first time.
  void Start() { Read(environment_.clock()); }
  /// Starts the calls to the store that are due; to be called regularly.
  void Tick(time_point now);
  /// The store has come back from an older copy.
  void OnStoreRestored(time_point now);

  /// Whether a stream may begin at the upstream.
  [[nodiscard]] bool MayBegin(const upstream_entry& upstream,
                              time_point now) const;
  /// Whether streams of `service` may begin at none of its versions, since no
  /// ledger that lists one has been read or written yet.
  [[nodiscard]] bool AwaitsVersion(const std::string& service) const {
    const auto open = open_.find(service);
    return open == open_.end() || open->second.empty();
  }
  /// The first event of the stream that the request `id` asked for is sent to
  /// the client, which may take it up again until `expires_at`.
  void OnBegun(const std::string& id, const stream_origin& origin,
               time_point expires_at, time_point now);
  /// Takes in what another node has told, if `bytes` hold that; returns whether
  /// they do.
  bool OnDatagram(std::string_view bytes, time_point now);
  /// The stream has been sent to its end.
  void OnWhole(const std::string& id);

  /// The origin of the stream that the request `id` began, if this node knows
  /// it.
  [[nodiscard]] std::optional<stream_origin> Find(const std::string& id,
                                                  time_point now) const;
  /// Searches it in the store; `id` may be empty where the client does not name
  /// it. Calls `done` later, never from inside.
  void Search(const std::string& id, const std::string& service,
              search_fn done);

 private:
  struct stored_ledger {
    version_ledger ledger;
    int64_t row_version = 0;
  };
  struct pending_search {
    std::string id;
    std::string service;
    search_fn done;
  };
  struct told_streams {
    int64_t sequence = 0;
    streams_by_origin streams;
    time_point expires_at{};
  };
  using version_sets = std::map<std::string, std::set<std::string>>;

  /// Reads the versions of listed upstreams.
  void UpdateListed();
  /// Those of services with resumable streams at which none may begin yet.
  [[nodiscard]] version_sets VersionsToOpen() const;
  /// Withdraws the permission to begin streams at versions without upstreams.
  void CloseAbsentVersions(time_point now);
  void Read(time_point now);
  void ReadIfDue(time_point now);
  /// Ends the searches that cannot succeed while the store does not respond.
  void EndSearches();
  void OnRead(time_point sent_at, const store_response& response);
  void ApplyRows(const store_response& response, time_point now);
  void ApplyStreamRow(const stored_row& row, time_point now);
  [[nodiscard]] origin_search SearchLocally(const pending_search& search,
                                            const store_moment& at,
                                            time_point now) const;
  /// Adds the versions of listed upstreams to the ledgers.
  void OpenVersions();
  void ReadAgain(time_point now, milliseconds least_delay);
  /// Whether the streams of any service have to be written.
  [[nodiscard]] bool MustRecordStreams(time_point now) const;
  void WriteStreamsIfDue(time_point now);
  void WriteStreams(time_point now);
  void TellWriters(const std::vector<std::string>& writers, time_point now);
  /// Keeps what another process has told or written, for lookups.
  void RecordOthers(const stream_list& list, time_point now);
  /// Own unfinished streams and those that other nodes have told.
  [[nodiscard]] stream_list StreamsToWrite(time_point now) const;
  [[nodiscard]] bool IsWriter(time_point now) const;
  void OnStreamsWritten(const store_response& response);
  /// Removes versions and rows that no stream needs any more.
  void RemoveOldIfDue(time_point now);
  void RemoveOld(time_point now);
  /// The store's clock at `now` at the least.
  [[nodiscard]] store_moment StoreNow(time_point now) const;

  stream_versions_environment environment_;
  begun_streams streams_;
  /// The state of the store's rows at the last read.
  std::map<std::string, stored_ledger> ledgers_;
  std::map<std::string, stored_row> other_rows_;
  std::optional<store_moment> read_moment_;
  time_point read_at_{};
  /// Versions of listed upstreams, by service.
  version_sets listed_;
  /// Versions at which streams may begin, by service.
  version_sets open_;
  std::vector<pending_search> searches_;
  /// The last read got no response.
  bool is_store_lost_ = false;
  bool reading_ = false;
  bool opening_ = false;
  bool writing_ = false;
  bool removing_ = false;
  std::optional<time_point> read_due_;
  time_point next_search_{};
  time_point next_write_{};
  time_point next_removal_{};
  /// Streams of this node, or told to it, have begun since the last write.
  bool has_unwritten_ = false;
  /// How often the streams are to be told to the writers, as datagrams are
  /// lost.
  int tellings_left_ = 0;
  int64_t notice_sequence_ = 0;
  /// The last notice of each other process.
  std::map<std::string, told_streams> told_;
  /// Version of the own row; empty if it is not known, 0 if there is none.
  std::optional<int64_t> own_row_version_;
  /// Since when a listed version has had no upstream.
  std::map<stream_origin, time_point> absent_since_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Whether an upstream may serve a stream: one of its origin if it has begun,
/// else one at which streams may begin. `versions` is null where streams are
/// not recorded.
[[nodiscard]] bool MayServeStream(const std::optional<stream_origin>& origin,
                                  const upstream_entry& upstream,
                                  const stream_versions* versions,
                                  time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STREAMS_SKYLARKCROFT_STREAM_VERSIONS_H_
