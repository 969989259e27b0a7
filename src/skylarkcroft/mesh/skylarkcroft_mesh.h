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
/// Topic of the record in which a node names the members it suspects.
inline constexpr const char* kSuspectsTopic = "suspects";

/// How a node takes part in the mesh.
struct mesh_options {
  std::string name;
  /// Start stamp of the process, milliseconds since the Unix epoch.
  int64_t incarnation = 0;
  /// Key shared by all nodes.
  std::string key;
  /// Mesh addresses to seek members at.
  std::vector<endpoint> seeds;
  milliseconds round_period{500};
  /// Least time between two rounds that news brings forward.
  milliseconds news_period{50};
  /// Members that one round talks to.
  size_t fanout = 3;
  /// Peers that each node passes one change on to.
  size_t change_sends = 4;
  /// The same for the urgent topics.
  size_t urgent_change_sends = 8;
  /// Time after which an exchange counts as unanswered.
  milliseconds reply_timeout{1000};
  /// Unanswered exchanges in a row that make a member suspect.
  size_t misses_to_suspect = 2;
  member_timeouts timeouts;
  /// Greatest difference between two nodes' wall clocks.
  milliseconds freshness{30000};
  /// Bound on the records of one message, bytes.
  size_t max_record_bytes = 32768;
  /// Topics whose changes bring the next round forward.
  std::set<std::string> urgent_topics{kMemberTopic, kSuspectsTopic, "drain",
                                      "upstreams"};
  /// Bytes a second that digests may take.
  size_t digest_budget = 700;
  uint64_t seed = 1;
};

/// The present, by both clocks.
struct mesh_time {
  time_point now{};
  /// Milliseconds since the Unix epoch.
  int64_t wall_ms = 0;
};

/// What a member said of the tables it has in force.
struct revision_report {
  std::string from;
  int64_t revision = 0;
  /// When this node asked, if the report answers a question of its own.
  std::optional<time_point> asked_at;
};

/// Calls of the mesh into the node.
struct mesh_hooks {
  /// Revision of the tables in force here.
  std::function<int64_t()> revision;
  std::function<void(const revision_report&, time_point now)> on_revision;
  /// A record of another member that was taken in.
  std::function<void(const mesh_record&, time_point now)> on_record;
  std::function<void(const std::string& from, const std::string& topic,
                     const std::string& payload, const mesh_time& at)>
      on_direct;
};

/// Counts since the start.
struct mesh_counts {
  uint64_t messages_sent = 0;
  uint64_t messages_received = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  /// Messages the transport had no room for.
  uint64_t sends_refused = 0;
  uint64_t redials = 0;
  uint64_t unanswered = 0;
  /// By mesh_drop.
  std::array<uint64_t, kMeshDropCount> dropped{};
};

/// One node's part in the mesh: keeps the members and the records, and tells a
/// few members each round what has changed. Decides on the times it is given
/// and holds no sockets or timers.
class mesh {
 public:
  mesh(mesh_options options, member_details self, mesh_transport& transport,
       mesh_hooks hooks);

  /// To be called every news_period: starts rounds that are due.
  void Tick(const mesh_time& at);
  void OnBytes(std::string_view bytes, const mesh_time& at);

  /// Replaces this node's record under `topic`; the same payload again is no
  /// change.
  void Publish(const std::string& topic, const std::string& payload);
  /// Tells all that this node is shutting down.
  void PublishLeaving();
  /// Brings the next round forward to the next tick.
  void HurryRound() { hurried_ = true; }
  /// Asks `name` for its revision now; false when it is not known.
  bool Ask(const std::string& name, const mesh_time& at);
  /// Sends `payload` to one member, once; false when it is not known or too
  /// much waits for it.
  bool SendDirect(const std::string& name, const std::string& topic,
                  const std::string& payload, const mesh_time& at);
  /// Replaces the addresses to seek members at.
  void SetSeeds(std::vector<endpoint> seeds);
  /// Notes that the platform has ended the host that listened at `address`.
  void NoteHostEnded(const endpoint& address);

  [[nodiscard]] const member_list& members() const { return members_; }
  [[nodiscard]] const record_store& records() const { return records_; }
  [[nodiscard]] const mesh_counts& counts() const { return counts_; }
  [[nodiscard]] const std::string& name() const { return options_.name; }
  [[nodiscard]] const member_details& self() const { return self_; }
  /// True from the start until a member has answered, for a bounded time, when
  /// there are addresses to seek members at.
  [[nodiscard]] bool joining(time_point now) const;

 private:
  struct outstanding {
    std::string peer;
    endpoint address;
    time_point asked_at{};
    std::vector<mesh_record> records;
  };

  void Round(const mesh_time& at);
  void NewsRound(const mesh_time& at);
  void ExpireExchanges(const mesh_time& at);
  void OnMiss(const outstanding& lost, const mesh_time& at);
  void Accuse(const member& silent, time_point now);
  std::vector<std::string> PickPeers(size_t count);
  void SeekMembers(const mesh_time& at);
  void SendExchange(const std::string& peer, const endpoint& address,
                    const mesh_time& at);
  void SendNews(const std::string& peer, const mesh_time& at);
  void Reply(const mesh_message& asked, const mesh_time& at);
  void OnReply(const mesh_message& reply, const mesh_time& at);
  void Transmit(const endpoint& to, mesh_message message, const mesh_time& at);
  mesh_message MessageTo(const std::string& peer, mesh_message_kind kind);
  void TakeRecords(const mesh_message& message, const mesh_time& at);
  void OnTaken(const mesh_record& record, time_point now);
  void OnMember(const mesh_record& record, time_point now);
  void OnSuspects(const mesh_record& record, time_point now);
  void PublishSuspects();
  void Store(const std::string& topic, const std::string& payload);
  [[nodiscard]] size_t SendsOfChange(const std::string& topic) const;
  void OutdoIncarnation(int64_t known);
  void Refute(int64_t incarnation, int64_t suspected_version);
  void Drop(mesh_drop reason);
  /// Whether this exchange is the one that carries the digest.
  bool TakeDigestTurn(time_point now);

  mesh_options options_;
  member_details self_;
  mesh_transport& transport_;
  mesh_hooks hooks_;
  std::mt19937_64 random_;
  member_list members_;
  record_store records_;
  replay_guard guard_;
  mesh_counts counts_;
  std::map<uint64_t, outstanding> outstanding_;
  std::map<std::string, size_t> misses_;
  std::map<std::string, mesh_record> accused_;
  std::vector<std::string> ring_;
  std::optional<time_point> started_at_;
  std::optional<time_point> last_round_;
  std::optional<time_point> last_news_;
  std::optional<time_point> last_digest_;
  uint64_t sequence_ = 0;
  int64_t version_ = 0;
  uint64_t rounds_ = 0;
  bool hurried_ = false;
  bool joined_ = false;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_H_
