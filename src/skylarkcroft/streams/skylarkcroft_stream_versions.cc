#include "skylarkcroft/streams/skylarkcroft_stream_versions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace skylarkcroft {
namespace {

// About 30 s of the streams that begin at all nodes of a large deployment.
constexpr size_t kMaxStreams = 30000;
// Spread of the nodes' reads when a new version appears, per node, so that few
// of them write the same row.
constexpr milliseconds kReadSpreadPerNode{5};
constexpr milliseconds kRetryDelay{300};
constexpr milliseconds kMinSearchInterval{50};
// Pause between two writes, or two notices to the writers, per node: the size
// of a write grows with the number of nodes.
constexpr milliseconds kWritePausePerNode{3};
constexpr milliseconds kMinWritePause{200};
constexpr milliseconds kMaxWritePause{500};
constexpr int kTellings = 2;
constexpr size_t kMaxToldProcesses = 2000;
// About 24 KB, below the largest payload between nodes.
constexpr size_t kMaxStreamsInNotice = 1500;
// A version stays in the ledger for longer than any node begins streams at it:
// a node does so only while its list of upstreams is younger than
// kMaxUpstreamsAge, and kept entries of removed upstreams last some seconds.
constexpr milliseconds kAbsentVersionTime{120000};
constexpr milliseconds kRemovalInterval{10000};
// While streams are recorded, a node reads the ledgers again this often to see
// whether they still have to be.
constexpr milliseconds kLedgerPollInterval{30000};

milliseconds Scale(milliseconds time, double factor) {
  return milliseconds(static_cast<milliseconds::rep>(
      static_cast<double>(time.count()) * factor));
}

std::set<std::string> Missing(const std::set<std::string>& wanted,
                              const std::set<std::string>& present) {
  std::set<std::string> missing;
  std::set_difference(wanted.begin(), wanted.end(), present.begin(),
                      present.end(), std::inserter(missing, missing.end()));
  return missing;
}

}  // namespace

stream_versions::stream_versions(stream_versions_environment environment)
    : environment_(std::move(environment)), streams_(kMaxStreams) {}

stream_versions::~stream_versions() = default;

void stream_versions::Tick(time_point now) {
  streams_.DropExpired(now);
  std::erase_if(
      told_, [now](const auto& told) { return told.second.expires_at <= now; });
  UpdateListed();
  CloseAbsentVersions(now);
  EndSearches();
  ReadIfDue(now);
  WriteStreamsIfDue(now);
  RemoveOldIfDue(now);
}

void stream_versions::ReadIfDue(time_point now) {
  if (reading_ || opening_) {
    return;
  }
  const bool may_be_settled = read_moment_.has_value() &&
                              MustRecordStreams(now) &&
                              now - read_at_ > kLedgerPollInterval;
  if (!read_due_.has_value() && (may_be_settled || !VersionsToOpen().empty())) {
    ReadAgain(now, milliseconds(0));
  }
  const bool search_is_due = !searches_.empty() && now >= next_search_;
  const bool read_is_due = read_due_.has_value() && now >= *read_due_;
  if (search_is_due || read_is_due) {
    Read(now);
  }
}

void stream_versions::EndSearches() {
  if (!is_store_lost_) {
    return;
  }
  for (const pending_search& search : std::exchange(searches_, {})) {
    search.done({});
  }
}

void stream_versions::OnStoreRestored(time_point now) {
  // Ledgers of the new era settle only when every node has opened its versions
  // again, so that streams may go on to begin meanwhile.
  ledgers_.clear();
  own_row_version_.reset();
  has_unwritten_ = true;
  tellings_left_ = kTellings;
  // Streams have begun that no ledger of the new era lists.
  environment_.is_first_start = false;
  ReadAgain(now, milliseconds(0));
}

bool stream_versions::MayBegin(const upstream_entry& upstream,
                               time_point now) const {
  const std::optional<time_point> current =
      environment_.upstreams_current_as_of();
  const auto open = open_.find(upstream.service);
  return open != open_.end() && open->second.contains(upstream.version) &&
         current.has_value() && now - *current < kMaxUpstreamsAge;
}

void stream_versions::OnBegun(const std::string& id,
                              const stream_origin& origin,
                              time_point expires_at, time_point now) {
  streams_.RecordOwn(MakeStreamKey(id), origin, expires_at);
  has_unwritten_ = true;
  tellings_left_ = kTellings;
  WriteStreamsIfDue(now);
}

bool stream_versions::OnDatagram(std::string_view bytes, time_point now) {
  std::optional<stream_notice> notice = DecodeStreamNotice(bytes);
  if (!notice.has_value()) {
    return false;
  }
  const auto known = told_.find(notice->sender);
  const bool is_old =
      known != told_.end() && notice->sequence <= known->second.sequence;
  if (is_old || (known == told_.end() && told_.size() >= kMaxToldProcesses)) {
    return true;
  }
  RecordOthers(notice->list, now);
  told_[notice->sender] = {notice->sequence, std::move(notice->list.streams),
                           now + notice->list.life};
  has_unwritten_ = true;
  WriteStreamsIfDue(now);
  return true;
}

void stream_versions::RecordOthers(const stream_list& list, time_point now) {
  for (const auto& [origin, keys] : list.streams) {
    for (const stream_key key : keys) {
      if (!streams_.Find(key, now).has_value()) {
        streams_.RecordOther(key, origin, now + list.life);
      }
    }
  }
}

void stream_versions::OnWhole(const std::string& id) {
  streams_.RecordWhole(MakeStreamKey(id));
}

std::optional<stream_origin> stream_versions::Find(const std::string& id,
                                                   time_point now) const {
  return id.empty() ? std::nullopt : streams_.Find(MakeStreamKey(id), now);
}

void stream_versions::Search(const std::string& id, const std::string& service,
                             search_fn done) {
  searches_.push_back({id, service, std::move(done)});
  const time_point now = environment_.clock();
  if (!is_store_lost_ && !reading_ && !opening_ && now >= next_search_) {
    Read(now);
  }
}

void stream_versions::UpdateListed() {
  listed_.clear();
  for (const upstream_entry& upstream : environment_.upstreams()) {
    listed_[upstream.service].insert(upstream.version);
  }
}

stream_versions::version_sets stream_versions::VersionsToOpen() const {
  version_sets to_open;
  const std::set<std::string> services = environment_.services();
  for (const auto& [service, versions] : listed_) {
    if (!services.contains(service)) {
      continue;
    }
    const auto open = open_.find(service);
    const auto stored = ledgers_.find(service);
    std::set<std::string> missing = versions;
    if (open != open_.end() && stored != ledgers_.end()) {
      missing = Missing(versions, open->second);
      missing.merge(Missing(versions, stored->second.ledger.versions()));
    }
    if (!missing.empty()) {
      to_open[service] = missing;
    }
  }
  return to_open;
}

void stream_versions::CloseAbsentVersions(time_point now) {
  if (!environment_.upstreams_current_as_of().has_value()) {
    return;
  }
  const auto is_listed = [this](const std::string& service,
                                const std::string& version) {
    const auto versions = listed_.find(service);
    return versions != listed_.end() && versions->second.contains(version);
  };
  for (auto& [service, versions] : open_) {
    std::erase_if(versions, [&, name = service](const std::string& version) {
      return !is_listed(name, version);
    });
  }
  for (const auto& [service, stored] : ledgers_) {
    for (const std::string& version : stored.ledger.versions()) {
      if (!is_listed(service, version)) {
        absent_since_.try_emplace({service, version}, now);
      }
    }
  }
  std::erase_if(absent_since_, [&](const auto& absent) {
    return is_listed(absent.first.service, absent.first.version);
  });
}

void stream_versions::ReadAgain(time_point now, milliseconds least_delay) {
  const auto nodes = static_cast<double>(environment_.node_count(now));
  read_due_ = now + least_delay +
              Scale(kReadSpreadPerNode, nodes * environment_.uniform_random());
}

void stream_versions::Read(time_point now) {
  reading_ = true;
  read_due_.reset();
  next_search_ = now + kMinSearchInterval;
  // A search that comes while the call is under way needs a later read.
  auto searches = std::make_shared<std::vector<pending_search>>(
      std::exchange(searches_, {}));
  environment_.store.Read(
      kStreamsTable, [this, now, searches, alive = std::weak_ptr<bool>(alive_)](
                         const store_response& response) {
        if (alive.expired()) {
          return;
        }
        OnRead(now, response);
        const time_point read_at = environment_.clock();
        for (const pending_search& search : *searches) {
          search.done(response.outcome == store_outcome::kDone
                          ? SearchLocally(search, *read_moment_, read_at)
                          : origin_search{});
        }
      });
}

void stream_versions::OnRead(time_point sent_at,
                             const store_response& response) {
  reading_ = false;
  environment_.on_call("read", response.outcome);
  const time_point now = environment_.clock();
  is_store_lost_ = response.outcome != store_outcome::kDone;
  if (is_store_lost_) {
    ReadAgain(now, kRetryDelay);
    return;
  }
  read_at_ = sent_at;
  ApplyRows(response, now);
  OpenVersions();
}

void stream_versions::ApplyRows(const store_response& response,
                                time_point now) {
  const bool is_first_read = !read_moment_.has_value();
  if (!is_first_read && read_moment_->era != response.era) {
    environment_.is_first_start = false;
  }
  read_moment_ = {response.responded_at.value_or(milliseconds(0)),
                  response.era};
  ledgers_.clear();
  other_rows_.clear();
  const std::string own_key = StreamRowKey(environment_.node);
  if (!writing_) {
    own_row_version_ = 0;
  }
  for (const stored_row& row : response.rows) {
    const std::optional<std::string> service =
        ServiceOfLedgerKey(row.key, response.era);
    const std::optional<version_ledger> ledger =
        service.has_value() ? DecodeLedger(row.value) : std::nullopt;
    if (ledger.has_value()) {
      ledgers_[*service] = {*ledger, row.version};
      continue;
    }
    const bool is_own = row.key == own_key;
    if (is_own && !writing_) {
      own_row_version_ = row.version;
    }
    if (!is_own) {
      other_rows_[row.key] = row;
    }
    if (IsStreamRowKey(row.key) && (!is_own || is_first_read)) {
      ApplyStreamRow(row, now);
    }
  }
  if (is_first_read && !response.rows.empty()) {
    environment_.is_first_start = false;
  }
  for (const auto& [service, stored] : ledgers_) {
    open_[service] = stored.ledger.versions();
  }
  UpdateListed();
  CloseAbsentVersions(now);
}

void stream_versions::ApplyStreamRow(const stored_row& row, time_point now) {
  const std::optional<stream_row> decoded = DecodeStreamRow(row.value);
  if (!decoded.has_value()) {
    return;
  }
  RecordOthers(decoded->list, now);
  // The next write replaces the own row, which has what was written before this
  // process started.
  if (row.key == StreamRowKey(environment_.node)) {
    told_[row.key] = {0, decoded->list.streams, now + decoded->list.life};
  }
}

origin_search stream_versions::SearchLocally(const pending_search& search,
                                             const store_moment& at,
                                             time_point now) const {
  origin_search found{Find(search.id, now), true};
  const auto stored = ledgers_.find(search.service);
  if (found.origin.has_value() || stored == ledgers_.end()) {
    return found;
  }
  const std::optional<std::string> only = stored->second.ledger.OnlyVersion(at);
  if (only.has_value()) {
    found.origin = stream_origin{search.service, *only};
  }
  return found;
}

void stream_versions::OpenVersions() {
  row_transaction change;
  std::map<std::string, version_ledger> opened;
  for (const auto& [service, versions] : VersionsToOpen()) {
    const auto stored = ledgers_.find(service);
    const bool exists = stored != ledgers_.end();
    const version_ledger before =
        exists ? stored->second.ledger
               : version_ledger(*read_moment_, environment_.is_first_start);
    const std::string key = LedgerKey(service, read_moment_->era);
    opened[service] = before.With(versions, *read_moment_);
    change.conditions.push_back(
        {kStreamsTable, key, exists ? stored->second.row_version : 0});
    change.changes.push_back(
        {kStreamsTable, key, EncodeLedger(opened[service])});
  }
  if (change.changes.empty()) {
    return;
  }
  opening_ = true;
  environment_.store.Commit(change, [this, opened, era = read_moment_->era,
                                     alive = std::weak_ptr<bool>(alive_)](
                                        const store_response& response) {
    if (alive.expired()) {
      return;
    }
    opening_ = false;
    environment_.on_call("open", response.outcome);
    const bool is_done =
        response.outcome == store_outcome::kDone && response.era == era;
    if (!is_done) {
      ReadAgain(environment_.clock(), milliseconds(0));
      return;
    }
    for (const auto& [service, ledger] : opened) {
      ledgers_[service] = {ledger, response.version};
      open_[service] = ledger.versions();
    }
    // Streams that began while there was one version are not written yet.
    has_unwritten_ = true;
  });
}

store_moment stream_versions::StoreNow(time_point now) const {
  return {read_moment_->clock +
              std::chrono::duration_cast<milliseconds>(now - read_at_),
          read_moment_->era};
}

bool stream_versions::MustRecordStreams(time_point now) const {
  const store_moment store_now = StoreNow(now);
  for (const std::string& service : environment_.services()) {
    const auto stored = ledgers_.find(service);
    const bool is_only =
        stored != ledgers_.end() &&
        stored->second.ledger.OnlyVersion(store_now).has_value();
    if (!is_only) {
      return true;
    }
  }
  return false;
}

void stream_versions::WriteStreamsIfDue(time_point now) {
  if (!read_moment_.has_value() || now < next_write_) {
    return;
  }
  const bool must_record = MustRecordStreams(now);
  const bool has_news = must_record && (has_unwritten_ || tellings_left_ > 0);
  const bool may_write = !writing_ && own_row_version_.has_value();
  // Before the services are known, the row may be needed.
  const bool has_needless_row = !must_record && may_write &&
                                *own_row_version_ > 0 &&
                                !environment_.services().empty();
  if (!has_news && !has_needless_row) {
    return;
  }
  next_write_ =
      now + std::clamp(kWritePausePerNode * static_cast<milliseconds::rep>(
                                                environment_.node_count(now)),
                       kMinWritePause, kMaxWritePause);
  const std::vector<std::string> writers = environment_.writers(now);
  if (writers.empty()) {
    return;
  }
  const bool is_writer = std::find(writers.begin(), writers.end(),
                                   environment_.node) != writers.end();
  if (must_record && !is_writer) {
    TellWriters(writers, now);
  } else if (may_write) {
    WriteStreams(now);
  }
}

void stream_versions::TellWriters(const std::vector<std::string>& writers,
                                  time_point now) {
  has_unwritten_ = false;
  if (tellings_left_ == 0) {
    return;
  }
  --tellings_left_;
  const std::string datagram = EncodeStreamNotice(
      {environment_.node + "/" + std::to_string(environment_.incarnation),
       ++notice_sequence_, streams_.Unfinished(kMaxStreamsInNotice, now)});
  for (const std::string& writer : writers) {
    environment_.send(writer, datagram);
  }
}

stream_list stream_versions::StreamsToWrite(time_point now) const {
  stream_list all = streams_.Unfinished(kMaxStreamsInRow, now);
  size_t room = kMaxStreamsInRow;
  for (const auto& [origin, keys] : all.streams) {
    room -= keys.size();
  }
  // Where there is not room for all, the streams that began last count.
  std::vector<const told_streams*> latest_first;
  for (const auto& [sender, told] : told_) {
    latest_first.push_back(&told);
  }
  std::sort(latest_first.begin(), latest_first.end(),
            [](const told_streams* one, const told_streams* other) {
              return one->expires_at > other->expires_at;
            });
  for (const told_streams* told : latest_first) {
    all.life = std::max(
        all.life, std::chrono::ceil<milliseconds>(told->expires_at - now));
    for (const auto& [origin, keys] : told->streams) {
      const size_t taken = std::min(keys.size(), room);
      if (taken == 0) {
        continue;
      }
      std::vector<stream_key>& written = all.streams[origin];
      written.insert(written.end(), keys.begin(),
                     keys.begin() + static_cast<std::ptrdiff_t>(taken));
      room -= taken;
    }
  }
  return all;
}

void stream_versions::WriteStreams(time_point now) {
  const std::string key = StreamRowKey(environment_.node);
  stream_row row{StoreNow(now).clock, {}};
  if (MustRecordStreams(now)) {
    row.list = StreamsToWrite(now);
  }
  has_unwritten_ = false;
  tellings_left_ = 0;
  if (row.list.streams.empty() && *own_row_version_ == 0) {
    return;
  }
  std::optional<std::string> value;
  if (!row.list.streams.empty()) {
    value = EncodeStreamRow(row);
  }
  writing_ = true;
  // The condition keeps a call without a response from taking effect after a
  // later one.
  environment_.store.Commit(
      {{{kStreamsTable, key, *own_row_version_}},
       {{kStreamsTable, key, value}}},
      [this, removed = !value.has_value(),
       alive = std::weak_ptr<bool>(alive_)](const store_response& response) {
        if (alive.expired()) {
          return;
        }
        writing_ = false;
        environment_.on_call("write", response.outcome);
        if (response.outcome == store_outcome::kDone && removed) {
          own_row_version_ = 0;
          return;
        }
        OnStreamsWritten(response);
      });
}

void stream_versions::OnStreamsWritten(const store_response& response) {
  if (response.outcome == store_outcome::kDone) {
    own_row_version_ = response.version;
    return;
  }
  has_unwritten_ = true;
  if (response.outcome == store_outcome::kConflict) {
    own_row_version_ =
        response.rows.empty() ? 0 : response.rows.front().version;
  } else if (response.outcome == store_outcome::kUnknown) {
    own_row_version_.reset();
    ReadAgain(environment_.clock(), kRetryDelay);
  }
}

void stream_versions::RemoveOldIfDue(time_point now) {
  const std::optional<time_point> current =
      environment_.upstreams_current_as_of();
  const bool is_due = now >= next_removal_ && !removing_ && !reading_ &&
                      !opening_ && read_moment_.has_value() &&
                      current.has_value() && now - *current < kMaxUpstreamsAge;
  if (!is_due) {
    return;
  }
  next_removal_ = now + kRemovalInterval;
  const std::vector<std::string> writers = environment_.writers(now);
  if (!writers.empty() && writers.front() == environment_.node) {
    RemoveOld(now);
  }
}

void stream_versions::RemoveOld(time_point now) {
  const store_moment store_now = StoreNow(now);
  constexpr size_t kMaxChanges = 100;
  row_transaction change;
  for (const auto& [service, stored] : ledgers_) {
    std::set<std::string> absent;
    for (const std::string& version : stored.ledger.versions()) {
      const auto since = absent_since_.find({service, version});
      if (since != absent_since_.end() &&
          now - since->second >= kAbsentVersionTime) {
        absent.insert(version);
      }
    }
    const std::string key = LedgerKey(service, store_now.era);
    if (!absent.empty()) {
      change.conditions.push_back({kStreamsTable, key, stored.row_version});
      change.changes.push_back(
          {kStreamsTable, key,
           EncodeLedger(stored.ledger.Without(absent, store_now))});
    }
  }
  for (const auto& [key, row] : other_rows_) {
    const std::optional<stream_row> streams =
        IsStreamRowKey(key) ? DecodeStreamRow(row.value) : std::nullopt;
    const bool is_needed =
        streams.has_value() &&
        store_now.clock - streams->written_at < kAbsentVersionTime;
    if (!is_needed && change.changes.size() < kMaxChanges) {
      change.conditions.push_back({kStreamsTable, key, row.version});
      change.changes.push_back({kStreamsTable, key, std::nullopt});
    }
  }
  if (change.changes.empty()) {
    return;
  }
  removing_ = true;
  environment_.store.Commit(change, [this, alive = std::weak_ptr<bool>(alive_)](
                                        const store_response& response) {
    if (alive.expired()) {
      return;
    }
    removing_ = false;
    environment_.on_call("remove", response.outcome);
    // What is stored now is learned from the next read in any case.
    ReadAgain(environment_.clock(), milliseconds(0));
  });
}

bool MayServeStream(const std::optional<stream_origin>& origin,
                    const upstream_entry& upstream,
                    const stream_versions* versions, time_point now) {
  if (origin.has_value()) {
    return upstream.service == origin->service &&
           upstream.version == origin->version;
  }
  return versions == nullptr || versions->MayBegin(upstream, now);
}

}  // namespace skylarkcroft
