#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_BOARD_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_BOARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_peer_loads.h"
#include "skylarkcroft/placement/skylarkcroft_prompt_parts.h"
#include "skylarkcroft/placement/skylarkcroft_service_pace.h"
#include "skylarkcroft/placement/skylarkcroft_spread_choice.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_belief.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_load.h"

namespace skylarkcroft {

/// Work that one request brings to an upstream.
struct work_size {
  int urgency = 0;
  int64_t unread_tokens = 0;
  int64_t memory_tokens = 0;

  bool operator==(const work_size&) const = default;
};

/// Figures of the choice.
struct board_terms {
  /// Prompt tokens that an engine reads in a millisecond; from the sheets of
  /// the deployments.
  double read_tokens_per_ms = 92;
  /// Time from the start of reading to the first token; from the same sheets.
  milliseconds first_token{60};
  /// Delay that each running request is taken to cause a further one.
  double ms_per_running = 4;
  /// The same for the share of an engine's places that are taken, where it has
  /// few: once all are, a request pushes a running stream out.
  double ms_when_full = 256;
  /// Reading a prompt of this length makes the running streams of an engine
  /// pause for longer than clients accept. Shorter ones harm them by the square
  /// of their share of it.
  milliseconds harmful_reading{500};
  /// Weight of less urgent prompts that are being read: they do not delay the
  /// first token, but the ones after it.
  double less_urgent_weight = 0.5;
  /// Weight of reading a shared part again, over its time, since every reading
  /// delays all streams of the engine.
  double reread_weight = 2;
  /// Penalty of an upstream that fails every request.
  double failure_ms = 3000;
  /// Share of failures beyond the service's own that counts against nobody;
  /// with few outcomes a sound upstream may show as much by chance.
  double failure_tolerance = 0.1;
  /// Penalty of an upstream at the full price while enough others are ready,
  /// so that it is idle once it is given up.
  double full_price_ms = 150;
  /// Reports are at least this old when they decide: they travel, and requests
  /// that other nodes place at the same moment are in none of them.
  milliseconds least_peer_age{50};
  /// Time for which an entry removed while the store was out of reach may
  /// come back; the platform states about two seconds.
  milliseconds lapse_grace{1500};
  /// A peer's load counts for this long after it was heard.
  milliseconds peer_load_life{1500};
  /// Part of an engine's memory that requests are planned to fill.
  double memory_share = 0.92;

  bool operator==(const board_terms&) const = default;
};

/// What a request asks of a placement.
struct placement_request {
  std::string service;
  std::string availability_zone;
  generation_shape shape;
  int urgency = 0;
  /// Cache of one engine of the pool, in tokens; 0 for plain services.
  int64_t cache_tokens = 0;
  std::vector<std::string> tried;
  /// Uniform in [0, 1); spreads requests over upstreams that are about equal.
  double draw = 0;
};

/// The upstream chosen, with the inputs that decided.
struct placement {
  upstream_entry upstream;
  milliseconds expected_first{0};
  int running = 0;
  int64_t unread_tokens = 0;
  bool parts_cached = false;
  bool full = false;  ///< All places or all memory of it are planned for.
  work_size work;
  size_t candidates = 0;
  milliseconds peer_age{0};  ///< Age of the oldest peer's load counted.
};

/// All upstreams, what is known of their load and soundness, and the choice
/// among them. Needs no network.
class upstream_board {
 public:
  explicit upstream_board(const board_terms& terms);

  /// Replaces the whole list.
  void Reset(const std::vector<upstream_entry>& entries, time_point now);
  void Put(const upstream_entry& entry, time_point now);
  void Remove(const std::string& id, time_point now);
  /// The store was lost or came back.
  void NoteStoreContact(bool reachable, time_point now);
  /// Drops entries whose time to come back has passed; returns their ids.
  std::vector<std::string> DropLapsed(time_point now);

  [[nodiscard]] const upstream_entry* Find(const std::string& id) const;
  /// Upstreams of `service` that take requests.
  [[nodiscard]] size_t Usable(const std::string& service) const;
  [[nodiscard]] std::vector<upstream_entry> Entries() const;

  /// The best upstream, or none where no upstream takes requests.
  [[nodiscard]] std::optional<placement> Choose(
      const placement_request& request, time_point now) const;

  void NoteSent(const std::string& id, const work_size& work,
                const generation_shape& shape, time_point now);
  /// The first token has come; the prompt is read.
  void NoteBegun(const std::string& id, const work_size& work, time_point now);
  void NoteEnded(const std::string& id, const work_size& work, bool begun,
                 upstream_outcome outcome, time_point now);
  /// A byte came from the upstream.
  void NoteByte(const std::string& id, time_point now);
  /// Time since the upstream last sent a byte to this node.
  [[nodiscard]] milliseconds Silence(const std::string& id,
                                     time_point now) const;
  /// Time since it last sent a byte to this node or, as far as is known, to a
  /// peer.
  [[nodiscard]] milliseconds SilenceToAll(const std::string& id,
                                          time_point now) const;

  void SetPeer(const report_part& of,
               const std::vector<peer_upstream_view>& views, time_point now);
  /// A peer's load counts for this long after it was heard.
  void SetPeerLoadLife(milliseconds life) { peers_.SetLife(life); }
  /// What this node says of upstreams that it uses.
  [[nodiscard]] std::vector<peer_upstream_view> OwnViews(time_point now) const;
  /// Running requests of this node and its peers at `service`.
  [[nodiscard]] int Running(const std::string& service, time_point now) const;
  [[nodiscard]] int RunningAt(const std::string& id, time_point now) const;

 private:
  struct state {
    upstream_entry entry;
    uint32_t key = 0;
    upstream_load own;
    upstream_belief belief;
    /// Of the last byte, or of the first request after none was at work.
    time_point last_byte{};
    std::optional<time_point> heard;
    std::optional<time_point> lapsed_at;
    /// Shared parts sent there, with the time of their last use.
    std::unordered_map<std::string, time_point> parts;
  };
  struct summed {
    upstream_load load;
    outcome_sums outcomes;
  };
  /// What a choice compares an upstream with.
  struct surroundings {
    const state* home = nullptr;
    double failure_share = 0;  ///< Of the whole service.
    bool avoid_full_price = false;
    size_t usable = 0;
  };

  [[nodiscard]] bool IsUsable(const state& one) const;
  [[nodiscard]] static milliseconds QuietTime(const state& one, time_point now);
  [[nodiscard]] summed Sum(const state& one, time_point now) const;
  [[nodiscard]] placement Estimate(const state& one, const summed& all,
                                   const placement_request& request,
                                   bool home) const;
  [[nodiscard]] spread_option Weigh(const state& one, const summed& all,
                                    const placement& estimate,
                                    const placement_request& request,
                                    const surroundings& around,
                                    time_point now) const;
  [[nodiscard]] double ReadingMs(int64_t tokens) const;
  /// What reading a prompt costs the streams that run at the engine.
  [[nodiscard]] double HarmToRunning(int64_t tokens, int running) const;
  /// What one running request at an engine with `slots` places costs others.
  [[nodiscard]] double RunningCost(int slots) const;
  [[nodiscard]] surroundings Survey(const placement_request& request,
                                    time_point now) const;
  [[nodiscard]] double UnseenCost(const placement_request& request,
                                  const std::vector<placement>& options,
                                  time_point now) const;
  board_terms terms_;
  std::map<std::string, state> upstreams_;
  std::map<std::string, service_pace> paces_;
  /// Silent peers are taken out when the sums are read.
  mutable peer_loads peers_;
  bool store_reachable_ = false;
  std::optional<time_point> store_back_at_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_BOARD_H_
