#include "tests/streams/stream_fleet.h"

#include "skylarkcroft/control/skylarkcroft_rendezvous.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kStep{20};
constexpr milliseconds kTick{100};
constexpr milliseconds kCallLimit{700};
constexpr milliseconds kTakeUpDelay{2500};
constexpr milliseconds kTakeUpSpread{3000};
constexpr const char* kService = "pool";
constexpr size_t kWriters = 2;

std::string NodeName(size_t index) { return "node" + std::to_string(index); }

milliseconds Clock(time_point now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

}  // namespace

store_response fleet_store::Apply(const row_transaction* transaction,
                                  time_point now) {
  store_response response;
  response.outcome = store_outcome::kDone;
  response.responded_at = Clock(now);
  response.era = era_;
  if (transaction == nullptr) {
    ++reads;
    for (const auto& [key, row] : rows_) {
      response.rows.push_back(row);
    }
    response.version = version_;
    return response;
  }
  ++writes;
  for (const row_condition& condition : transaction->conditions) {
    const auto row = rows_.find(condition.key);
    const int64_t version = row == rows_.end() ? 0 : row->second.version;
    if (version != condition.version) {
      response.outcome = store_outcome::kConflict;
    }
    if (row != rows_.end()) {
      response.rows.push_back(row->second);
    }
  }
  response.version = version_;
  if (response.outcome == store_outcome::kConflict) {
    return response;
  }
  response.rows.clear();
  response.version = ++version_;
  for (const row_change& change : transaction->changes) {
    if (!change.value.has_value()) {
      rows_.erase(change.key);
      continue;
    }
    rows_[change.key] = {change.table, change.key, *change.value, version_,
                         false};
    written_bytes += change.value->size();
    largest_row = std::max(largest_row, change.value->size());
  }
  return response;
}

/// One process: it reaches the store through calls that the fleet carries.
class stream_fleet::node final : public row_store {
 public:
  node(stream_fleet& fleet, size_t index)
      : fleet_(fleet), versions(Environment(index)) {
    versions.Start();
  }

  void Read(const std::string& /*table*/, store_done_fn done) override {
    Call(nullptr, std::move(done));
  }
  void Watch(const std::string& /*table*/, int64_t /*version*/,
             milliseconds /*wait*/, store_done_fn /*done*/) override {}
  void Commit(const row_transaction& transaction, store_done_fn done) override {
    Call(std::make_shared<row_transaction>(transaction), std::move(done));
  }

 private:
  // The call takes effect even if this process ends meanwhile.
  void Call(const std::shared_ptr<row_transaction>& transaction,
            store_done_fn done) {
    fleet_.calls_.emplace(
        fleet_.now_ + fleet_.store.delay,
        [&fleet = fleet_, transaction, done = std::move(done),
         alive = std::weak_ptr<bool>(alive_)] {
          const store_response response = fleet.Answer(transaction.get());
          const milliseconds way = response.outcome == store_outcome::kUnknown
                                       ? kCallLimit
                                       : fleet.store.delay;
          fleet.calls_.emplace(fleet.now_ + way, [done, response, alive] {
            if (!alive.expired()) {
              done(response);
            }
          });
        });
  }
  stream_versions_environment Environment(size_t index) {
    return {*this,
            NodeName(index),
            fleet_.next_incarnation_++,
            fleet_.is_first_start_,
            [this] { return fleet_.now_; },
            [this] { return fleet_.upstreams_; },
            [this] { return std::optional<time_point>(fleet_.now_); },
            [this] {
              return fleet_.knows_services ? std::set<std::string>{kService}
                                           : std::set<std::string>{};
            },
            [this](time_point) { return fleet_.parameters_.nodes; },
            [this, index](time_point) { return fleet_.Writers(index); },
            [this](const std::string& name, const std::string& datagram) {
              fleet_.Deliver(name, datagram);
            },
            [this] {
              return std::uniform_real_distribution<double>(0,
                                                            1)(fleet_.random_);
            },
            [](std::string_view, store_outcome) {}};
  }

  stream_fleet& fleet_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

 public:
  stream_versions versions;
};

stream_fleet::stream_fleet(const parameters& fleet)
    : parameters_(fleet), random_(fleet.seed) {
  nodes_.resize(parameters_.nodes);
}

stream_fleet::~stream_fleet() = default;

std::vector<std::string> stream_fleet::Writers(size_t seen_by) const {
  std::vector<std::string> nodes;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i] != nullptr || i == seen_by) {
      nodes.push_back(NodeName(i));
    }
  }
  return FirstByRendezvous(kStreamsTable, nodes, kWriters);
}

void stream_fleet::Deliver(const std::string& name,
                           const std::string& datagram) {
  // One in fifty is lost.
  constexpr size_t kDeliveredOfOneLost = 50;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (NodeName(i) != name || Draw(kDeliveredOfOneLost) == 0) {
      continue;
    }
    calls_.emplace(now_ + milliseconds(1), [this, i, datagram] {
      if (nodes_[i] != nullptr) {
        nodes_[i]->versions.OnDatagram(datagram, now_);
      }
    });
  }
}

store_response stream_fleet::Answer(const row_transaction* transaction) {
  if (store.is_away) {
    return {};
  }
  const store_response response = store.Apply(transaction, now_);
  const bool is_lost = std::uniform_real_distribution<double>(0, 1)(random_) <
                       store.lost_answers;
  return is_lost ? store_response{} : response;
}

void stream_fleet::List(const std::map<std::string, int>& versions) {
  upstreams_.clear();
  for (const auto& [version, count] : versions) {
    for (int i = 0; i < count; ++i) {
      upstream_entry entry;
      entry.id = version + "-" + std::to_string(i);
      entry.service = kService;
      entry.version = version;
      upstreams_.push_back(entry);
    }
  }
  for (size_t i = 0; i < nodes_.size() && nodes_[i] == nullptr; ++i) {
    nodes_[i] = std::make_unique<node>(*this, i);
  }
}

void stream_fleet::Run(milliseconds time) {
  const time_point end = now_ + time;
  while (now_ < end) {
    Step();
  }
}

void stream_fleet::Step() {
  now_ += kStep;
  while (!calls_.empty() && calls_.begin()->first <= now_) {
    const std::function<void()> call = calls_.begin()->second;
    calls_.erase(calls_.begin());
    call();
  }
  const auto step = now_.time_since_epoch() / kStep;
  const auto steps_a_tick = kTick / kStep;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const bool is_due = (step + static_cast<int64_t>(i)) % steps_a_tick == 0;
    if (nodes_[i] != nullptr && is_due) {
      nodes_[i]->versions.Tick(now_);
    }
  }
  std::erase_if(running_, [this](const modelled_stream& stream) {
    const bool ends = stream.ends_at <= now_;
    if (ends && nodes_[stream.node] != nullptr) {
      nodes_[stream.node]->versions.OnWhole(stream.id);
    }
    return ends;
  });
  if (has_clients) {
    BeginStreams();
  }
  TakeUpStreams();
}

void stream_fleet::BeginStreams() {
  owed_streams_ += parameters_.streams_per_second *
                   std::chrono::duration<double>(kStep).count();
  for (; owed_streams_ >= 1; --owed_streams_) {
    modelled_stream stream;
    stream.id = "r" + std::to_string(next_id_++);
    stream.node = Draw(nodes_.size());
    if (nodes_[stream.node] != nullptr) {
      Begin(stream);
    }
  }
}

void stream_fleet::Begin(modelled_stream stream) {
  stream_versions& versions = nodes_[stream.node]->versions;
  std::vector<upstream_entry> usable = upstreams_;
  std::erase_if(usable, [&](const upstream_entry& upstream) {
    return !MayServeStream(std::nullopt, upstream, &versions, now_);
  });
  if (usable.empty()) {
    ++counts.not_begun;
    return;
  }
  const upstream_entry& upstream = usable[Draw(usable.size())];
  stream.origin = {upstream.service, upstream.version};
  stream.ends_at =
      now_ + parameters_.stream_time / 2 +
      milliseconds(Draw(static_cast<size_t>(parameters_.stream_time.count())));
  versions.OnBegun(stream.id, stream.origin, now_ + milliseconds(20000), now_);
  running_.push_back(stream);
  ++counts.begun;
}

void stream_fleet::TakeUpStreams() {
  for (const modelled_stream& stream : std::exchange(broken_, {})) {
    if (*stream.taken_up_at <= now_) {
      TakeUp(stream);
    } else {
      broken_.push_back(stream);
    }
  }
}

void stream_fleet::TakeUp(const modelled_stream& stream) {
  modelled_stream again = stream;
  again.node = Draw(nodes_.size());
  if (nodes_[again.node] == nullptr) {
    return;
  }
  stream_versions& versions = nodes_[again.node]->versions;
  const std::optional<stream_origin> known = versions.Find(stream.id, now_);
  if (known.has_value()) {
    OnSearched(again, {known, true});
    return;
  }
  versions.Search(stream.id, kService,
                  [this, again](const origin_search& search) {
                    OnSearched(again, search);
                  });
}

void stream_fleet::OnSearched(const modelled_stream& stream,
                              const origin_search& search) {
  const auto serves = [&](const upstream_entry& upstream) {
    return search.origin.has_value() &&
           MayServeStream(search.origin, upstream,
                          &nodes_[stream.node]->versions, now_);
  };
  const auto chosen =
      std::find_if(upstreams_.begin(), upstreams_.end(), serves);
  const auto left = std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const upstream_entry& other) {
        return other.version == stream.origin.version;
      });
  constexpr int kCountedUpstreams = 2;
  if (chosen == upstreams_.end()) {
    counts.rejected += left >= kCountedUpstreams ? 1 : 0;
    return;
  }
  const bool is_other = chosen->version != stream.origin.version;
  counts.other_version += is_other ? 1 : 0;
  counts.gone_on += left >= kCountedUpstreams ? 1 : 0;
  modelled_stream again = stream;
  again.taken_up_at.reset();
  again.ends_at = now_ + parameters_.stream_time / 2;
  nodes_[again.node]->versions.OnBegun(again.id, *search.origin,
                                       now_ + milliseconds(20000), now_);
  running_.push_back(again);
}

void stream_fleet::Break(size_t node) {
  nodes_[node].reset();
  std::erase_if(running_, [&](modelled_stream& stream) {
    if (stream.node != node) {
      return false;
    }
    stream.taken_up_at =
        now_ + kTakeUpDelay +
        milliseconds(Draw(static_cast<size_t>(kTakeUpSpread.count())));
    broken_.push_back(stream);
    return true;
  });
}

void stream_fleet::LosePower(milliseconds time) {
  is_first_start_ = false;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Break(i);
  }
  Run(time);
  for (size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i] = std::make_unique<node>(*this, i);
  }
}

void stream_fleet::Restart(size_t which) {
  is_first_start_ = false;
  Break(which);
  nodes_[which] = std::make_unique<node>(*this, which);
}

void stream_fleet::Restore() {
  store.Restore();
  for (const auto& one : nodes_) {
    if (one != nullptr) {
      one->versions.OnStoreRestored(now_);
    }
  }
}

}  // namespace skylarkcroft
