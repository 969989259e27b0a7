#include "tests/placement/simulated_engines.h"

#include <algorithm>
#include <deque>
#include <optional>

#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr milliseconds kStep{4};
constexpr milliseconds kNoiseSpan{600};
constexpr int64_t kCacheTokens = 655052;
constexpr double kPrefillTokensPerMs = 112;
constexpr double kFirstTokenMs = 40;
// Eight tokens in steps of 3.41 ms.
constexpr double kEventMs = 27.3;
constexpr double kHalfSpeedBatch = 12;
// While a prompt is prefilled the streams advance at this share of their speed.
constexpr double kShareBesidePrefill = 0.3;

struct stream {
  size_t node = 0;
  placement placed;
  time_point sent;
  double prefill_ms_left = 0;  ///< At the speed of the median engine.
  double event_ms_left = 0;
  int events_left = 0;
  std::optional<time_point> last_event;
  milliseconds longest_pause{0};
  bool counted = false;
};

struct engine {
  std::deque<stream> streams;
  double slowness = 1;
  time_point noisy_until{};
  time_point listed_at{};
  upstream_entry entry;
};

}  // namespace

class simulated_engines::impl {
 public:
  explicit impl(const simulation_options& options)
      : options_(options),
        random_(options.seed),
        engines_(static_cast<size_t>(options.engines)),
        tallies_(static_cast<size_t>(options.engines)) {
    std::vector<upstream_entry> entries;
    for (int i = 0; i < options.engines; ++i) {
      upstream_entry entry;
      entry.id = Id(i);
      entry.service = "pool";
      entry.slots = options.slots;
      entry.reclaimable = true;
      engine& one = engines_[static_cast<size_t>(i)];
      one.slowness = options.slowness(i);
      one.listed_at = kStart + options.listed_at(i);
      entry.cold_for =
          options.listed_at(i).count() > 0 ? options.cold : milliseconds(0);
      one.entry = entry;
      if (one.listed_at == kStart) {
        entries.push_back(entry);
      }
    }
    period_ = ReportPeriod(options.nodes);
    for (size_t i = 0; i < options.nodes; ++i) {
      nodes_.emplace_back(options.balancer);
      nodes_.back().Reset(entries, kStart);
      nodes_.back().SetMaxPeerReportAge(
          std::max(milliseconds(1500), 3 * period_));
    }
  }

  void Run(milliseconds span) {
    const time_point end = now_ + span;
    while (now_ < end) {
      now_ += kStep;
      ListEngines();
      for (size_t i = 0; i < engines_.size(); ++i) {
        Advance(i);
      }
      Exchange();
      due_ +=
          options_.rate_per_s * std::chrono::duration<double>(kStep).count();
      for (; due_ >= 1; due_ -= 1) {
        Place();
      }
    }
  }

  std::vector<tally>& tallies() { return tallies_; }
  load_balancer& node(size_t index) { return nodes_[index]; }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void ListEngines() {
    double running = 0;
    for (const engine& one : engines_) {
      running += static_cast<double>(one.streams.size());
    }
    const double mean = running / static_cast<double>(engines_.size());
    for (size_t i = 0; i < engines_.size(); ++i) {
      const engine& one = engines_[i];
      const duration listed_for = now_ - one.listed_at;
      if (one.listed_at == kStart || listed_for < duration(0)) {
        continue;
      }
      if (listed_for < kStep) {
        for (load_balancer& node : nodes_) {
          node.Put(one.entry, now_);
        }
      }
      if (!tallies_[i].time_to_use.has_value() &&
          static_cast<double>(one.streams.size()) >= 0.8 * mean) {
        tallies_[i].time_to_use =
            std::chrono::duration_cast<milliseconds>(listed_for);
      }
    }
  }

  void Place() {
    const size_t at = random_() % nodes_.size();
    load_balancer& node = nodes_[at];
    placement_request query;
    query.service = "pool";
    query.cache_tokens = kCacheTokens;
    query.shape.prompt_tokens = options_.prompt_tokens;
    query.shape.max_output_tokens = 8 * options_.events;
    query.draw = Uniform();
    const std::optional<placement> placed = node.Choose(query, now_);
    if (!placed.has_value()) {
      return;
    }
    const size_t index = std::stoul(placed->upstream.id);
    node.RecordRequestSent(placed->upstream.id, placed->work, query.shape,
                           now_);
    engine& chosen = engines_[index];
    if (chosen.streams.size() >= static_cast<size_t>(options_.slots)) {
      ++tallies_[index].declined;
      node.RecordRequestEnded(placed->upstream.id, placed->work, false,
                              upstream_outcome::kFull, now_);
      return;
    }
    stream one;
    one.node = at;
    one.placed = *placed;
    one.sent = now_;
    one.prefill_ms_left =
        static_cast<double>(options_.prompt_tokens) / kPrefillTokensPerMs;
    one.event_ms_left = kFirstTokenMs;
    one.events_left =
        1 + static_cast<int>(random_() %
                             static_cast<uint64_t>(2 * options_.events));
    one.counted = now_ >= kStart + options_.warm_up;
    tallies_[index].placed += one.counted ? 1 : 0;
    chosen.streams.push_back(one);
  }

  void Advance(size_t index) {
    engine& one = engines_[index];
    if (now_ >= one.noisy_until && options_.noise_share > 0) {
      const double share = options_.noise_share / (1 - options_.noise_share);
      if (Uniform() < share * static_cast<double>(kStep.count()) /
                          static_cast<double>(kNoiseSpan.count())) {
        one.noisy_until = now_ + kNoiseSpan;
      }
    }
    double speed = 1 / one.slowness;
    speed /= now_ < one.noisy_until ? options_.noise_factor : 1;
    const double batch = static_cast<double>(one.streams.size());
    double step_ms = static_cast<double>(kStep.count()) * speed;
    double stream_ms = step_ms / (1 + batch / kHalfSpeedBatch);
    const bool prefills =
        std::any_of(one.streams.begin(), one.streams.end(),
                    [](const stream& s) { return s.prefill_ms_left > 0; });
    stream_ms *= prefills ? kShareBesidePrefill : 1;
    tally& counts = tallies_[index];
    if (now_ >= kStart + options_.warm_up) {
      counts.running_ms += kStep.count() * static_cast<int64_t>(batch);
    }
    for (stream& s : one.streams) {
      if (s.prefill_ms_left > 0) {
        const bool cold =
            one.listed_at > kStart && now_ - one.listed_at < options_.cold;
        const double factor = cold ? options_.cold_factor : 1;
        const double done = std::min(step_ms / factor, s.prefill_ms_left);
        s.prefill_ms_left -= done;
        step_ms -= done * factor;
        continue;
      }
      s.event_ms_left -= stream_ms;
      if (s.event_ms_left <= 0) {
        Deliver(s);
      }
    }
    std::erase_if(one.streams, [&](const stream& s) {
      if (s.events_left > 0) {
        return false;
      }
      nodes_[s.node].RecordRequestEnded(s.placed.upstream.id, s.placed.work,
                                        true, upstream_outcome::kSuccess, now_);
      if (s.counted) {
        ++counts.ended;
        counts.long_pauses += s.longest_pause > options_.long_pause ? 1 : 0;
      }
      return true;
    });
  }

  void Deliver(stream& s) {
    load_balancer& node = nodes_[s.node];
    const std::string& id = s.placed.upstream.id;
    node.RecordByte(id, now_);
    if (!s.last_event.has_value()) {
      node.RecordResponseStart(id, s.placed.work, now_);
      tallies_[std::stoul(id)].late += now_ - s.sent > kLate ? 1 : 0;
      if (options_.measure) {
        node.RecordFirstEvent(
            s.placed, std::chrono::duration_cast<milliseconds>(now_ - s.sent),
            now_);
      }
    } else {
      const auto pause =
          std::chrono::duration_cast<milliseconds>(now_ - *s.last_event);
      s.longest_pause = std::max(s.longest_pause, pause);
      if (options_.measure) {
        node.RecordEvents(s.placed.upstream, now_ - *s.last_event, 1, now_);
      }
    }
    s.last_event = now_;
    s.event_ms_left += kEventMs;
    --s.events_left;
  }

  // The nodes' reports are spread over the period, encoded as in production.
  void Exchange() {
    const milliseconds elapsed =
        std::chrono::duration_cast<milliseconds>(now_ - kStart);
    for (size_t from = 0; from < nodes_.size(); ++from) {
      nodes_[from].UpdateSpeeds(now_);
      nodes_[from].UpdatePaces(now_);
      const milliseconds phase(static_cast<milliseconds::rep>(from) *
                               period_.count() /
                               static_cast<milliseconds::rep>(nodes_.size()) /
                               kStep.count() * kStep.count());
      if (elapsed % (period_ / kStep.count() * kStep.count()) != phase) {
        continue;
      }
      peer_report report;
      report.node = std::to_string(from);
      report.upstreams = nodes_[from].OwnUpstreamReports(now_);
      for (const std::string& bytes : EncodeReport(report)) {
        const std::optional<peer_report> part = DecodeReport(bytes);
        for (size_t to = 0; to < nodes_.size(); ++to) {
          if (to != from) {
            nodes_[to].SetPeerReport({part->node, part->part, part->parts},
                                     part->upstreams, now_);
          }
        }
      }
    }
  }

  simulation_options options_;
  std::mt19937_64 random_;
  milliseconds period_{100};
  std::vector<engine> engines_;
  std::vector<load_balancer> nodes_;
  std::vector<tally> tallies_;
  time_point now_ = kStart;
  double due_ = 0;
};

simulated_engines::simulated_engines(const simulation_options& options)
    : impl_(std::make_unique<impl>(options)) {}

simulated_engines::~simulated_engines() = default;

void simulated_engines::Run(milliseconds span) { impl_->Run(span); }

const std::vector<simulated_engines::tally>& simulated_engines::tallies()
    const {
  return impl_->tallies();
}

const load_balancer& simulated_engines::node(size_t index) const {
  return impl_->node(index);
}

std::string simulated_engines::Id(int engine) { return std::to_string(engine); }

}  // namespace skylarkcroft
