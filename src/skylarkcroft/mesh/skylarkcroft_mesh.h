#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/mesh/skylarkcroft_member_list.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_message.h"
#include "skylarkcroft/mesh/skylarkcroft_record_store.h"
#include "skylarkcroft/mesh/skylarkcroft_replay_guard.h"

namespace skylarkcroft {

class mesh_transport;

/// Topic of the record in which a node describes itself.
inline constexpr const char* kMemberTopic = "member";
/// Topic of the record in which a node lists the members it suspects.
inline constexpr const char* kSuspectsTopic = "suspects";

/// Settings of one node's mesh.
struct mesh_options {
  std::string name;
  /// Start time of the process, milliseconds since the Unix epoch.
  int64_t incarnation = 0;
  /// Key shared by all nodes; authenticates messages.
  std::string key;
  /// Mesh addresses that are tried to find members.
  std::vector<endpoint> seeds;
  milliseconds round_period{500};
  /// Minimum time between two early rounds, which are started by urgent
  /// changes.
  milliseconds early_round_interval{50};
  /// Members that one round contacts.
  size_t fanout = 3;
  /// Number of peers to which each node forwards a change.
  size_t change_fanout = 4;
  /// Number of peers to which each node forwards a change of an urgent topic.
  size_t urgent_change_fanout = 8;
  /// Time after which an exchange without a reply counts as missed.
  milliseconds reply_timeout{1000};
  /// Consecutive missed exchanges after which a member becomes suspect.
  size_t max_misses = 2;
  member_timeouts timeouts;
  /// Messages whose send time differs more than this from the local wall clock
  /// are dropped; bounds the clock difference between two nodes.
  milliseconds max_message_age{30000};
  /// Maximum size of the records in one message, bytes.
  size_t max_record_bytes = 32768;
  /// Topics whose changes start an early round.
  std::set<std::string> urgent_topics{kMemberTopic, kSuspectsTopic, "drain",
                                      "upstreams"};
  /// Bandwidth for digests, bytes per second.
  size_t digest_budget = 700;
  uint64_t seed = 1;
};

/// The current time on the monotonic clock and on the wall clock.
struct mesh_time {
  time_point now{};
  /// Milliseconds since the Unix epoch.
  int64_t wall_ms = 0;
};

/// The revision of the effective tables that a member has reported.
struct revision_report {
  std::string from;
  int64_t revision = 0;
  /// When this node sent the exchange, if the report came in a reply to one.
  std::optional<time_point> asked_at;
};

/// Callbacks from the mesh into the node.
struct mesh_callbacks {
  /// Returns the revision of this node's effective tables.
  std::function<int64_t()> revision;
  std::function<void(const revision_report&, time_point now)> on_revision;
  /// Called for each new record of another member, except for member and
  /// suspects records.
  std::function<void(const mesh_record&, time_point now)> on_record;
  std::function<void(const std::string& from, const std::string& topic,
                     const std::string& payload, const mesh_time& at)>
      on_direct;
};

/// Counters since the process started.
struct mesh_counts {
  uint64_t messages_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  /// Messages that the transport dropped because its buffer was full.
  uint64_t sends_refused = 0;
  uint64_t redials = 0;
  uint64_t unanswered = 0;
  /// Indexed by mesh_drop.
  std::array<uint64_t, kMeshDropCount> dropped{};
};

/// Gossip protocol of one node: keeps the member list and the records, and
/// sends changes to a few members in each round. It has no sockets or timers of
/// its own; callers pass in the time and the received bytes.
class mesh {
 public:
  mesh(mesh_options options, member_details self, mesh_transport& transport,
       mesh_callbacks hooks);

  /// Starts the rounds that are due. Must be called every early_round_interval.
  void Tick(const mesh_time& at);
  /// Handles one received message.
  void OnBytes(std::string_view bytes, const mesh_time& at);

  /// Replaces this node's record under `topic`. Does nothing when the payload
  /// is unchanged.
  void Publish(const std::string& topic, const std::string& payload);
  /// Publishes that this node is shutting down.
  void PublishDraining();
  /// Requests an early round at the next tick.
  void RequestEarlyRound() { early_round_requested_ = true; }
  /// Sends an exchange to `name` now to get its revision. Returns false when
  /// `name` is not known.
  bool RequestRevision(const std::string& name, const mesh_time& at);
  /// Sends `payload` to one member, without a retry. Returns false when the
  /// member is not known or its send buffer is full.
  bool SendDirect(const std::string& name, const std::string& topic,
                  const std::string& payload, const mesh_time& at);
  /// Replaces the addresses that are tried to find members.
  void SetSeeds(std::vector<endpoint> seeds);
  /// Records that the platform has terminated the host whose node listened at
  /// `address`.
  void OnHostTerminated(const endpoint& address);

  [[nodiscard]] const member_list& members() const { return members_; }
  [[nodiscard]] const record_store& records() const { return records_; }
  [[nodiscard]] const mesh_counts& counts() const { return counts_; }
  [[nodiscard]] const std::string& name() const { return options_.name; }
  [[nodiscard]] const member_details& self() const { return self_; }
  /// True until the first reply from a member, for at most 10 s after the first
  /// tick. False when there are no seed addresses other than this node's own.
  [[nodiscard]] bool joining(time_point now) const;

 private:
  struct pending_exchange {
    std::string peer;
    endpoint address;
    time_point asked_at{};
    std::vector<mesh_record> records;
  };

  void StartRound(const mesh_time& at);
  void StartEarlyRound(const mesh_time& at);
  void ExpireExchanges(const mesh_time& at);
  void OnMissedReply(const pending_exchange& expired, const mesh_time& at);
  void SuspectMember(const member& unresponsive, time_point now);
  std::vector<std::string> PickPeers(size_t count);
  void SeekMembers(const mesh_time& at);
  void SendExchange(const std::string& peer, const endpoint& address,
                    const mesh_time& at);
  void SendUpdate(const std::string& peer, const mesh_time& at);
  void Reply(const mesh_message& request, const mesh_time& at);
  void OnReply(const mesh_message& reply, const mesh_time& at);
  void Transmit(const endpoint& to, mesh_message message, const mesh_time& at);
  mesh_message MessageTo(const std::string& peer, mesh_message_kind kind);
  void StoreRecords(const mesh_message& message, const mesh_time& at);
  void OnNewRecord(const mesh_record& record, time_point now);
  void OnMemberRecord(const mesh_record& record, time_point now);
  void OnSuspectsRecord(const mesh_record& record, time_point now);
  void PublishSuspects();
  void PublishRecord(const std::string& topic, const std::string& payload);
  [[nodiscard]] size_t ChangeFanout(const std::string& topic) const;
  /// Raises this node's incarnation above `known` unless it is higher already.
  void RaiseIncarnationAbove(int64_t known);
  /// Publishes a newer member record of this node if another node suspects its
  /// current one.
  void Refute(int64_t incarnation, int64_t suspected_version);
  void CountDrop(mesh_drop reason);
  /// Returns whether the next exchange shall carry a digest, and if so starts
  /// the next digest period. The period keeps digests within digest_budget.
  bool TakeDigestTurn(time_point now);

  mesh_options options_;
  member_details self_;
  mesh_transport& transport_;
  mesh_callbacks hooks_;
  std::mt19937_64 random_;
  member_list members_;
  record_store records_;
  replay_guard guard_;
  mesh_counts counts_;
  std::map<uint64_t, pending_exchange> pending_exchanges_;
  std::map<std::string, size_t> consecutive_misses_;
  std::map<std::string, mesh_record> suspected_;
  std::vector<std::string> shuffled_peers_;
  std::optional<time_point> started_at_;
  std::optional<time_point> last_round_;
  std::optional<time_point> last_early_round_;
  std::optional<time_point> last_digest_;
  uint64_t sequence_ = 0;
  int64_t version_ = 0;
  uint64_t rounds_ = 0;
  bool early_round_requested_ = false;
  bool joined_ = false;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_H_
