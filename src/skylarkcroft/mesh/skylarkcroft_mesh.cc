#include "skylarkcroft/mesh/skylarkcroft_mesh.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_transport.h"

namespace skylarkcroft {
namespace {

using json = nlohmann::json;

constexpr milliseconds kJoinLimit{10000};
// Every this many rounds, a node that has members also contacts one removed
// member or one seed address at which it knows no member.
constexpr uint64_t kSeekRounds = 4;
constexpr size_t kDigestEntryBytes = 8;
// Maximum number of members that this node suspects at a time.
constexpr size_t kMaxSuspects = 64;
constexpr int64_t kMsPerSecond = 1000;

std::string EncodeSuspects(
    const std::map<std::string, mesh_record>& suspected) {
  json list = json::array();
  for (const auto& [name, record] : suspected) {
    list.push_back({name, record.incarnation, record.version});
  }
  std::string payload;
  json::to_msgpack(list, payload);
  return payload;
}

// Returns the member records listed in a suspects record, without payloads.
// Returns an empty list when the record is malformed.
std::vector<mesh_record> DecodeSuspects(const std::string& payload) {
  std::vector<mesh_record> suspected;
  try {
    for (const json& fields : DecodeBoundedMessagePack(payload)) {
      mesh_record record;
      record.publisher = fields.at(0).get<std::string>();
      record.topic = kMemberTopic;
      record.incarnation = fields.at(1).get<int64_t>();
      record.version = fields.at(2).get<int64_t>();
      suspected.push_back(std::move(record));
    }
  } catch (const json::exception&) {
    suspected.clear();
  }
  return suspected;
}

}  // namespace

mesh::mesh(mesh_options options, member_details self, mesh_transport& transport,
           mesh_callbacks hooks)
    : options_(std::move(options)),
      self_(std::move(self)),
      transport_(transport),
      hooks_(std::move(hooks)),
      random_(options_.seed),
      members_(options_.timeouts),
      guard_(options_.max_message_age) {
  PublishRecord(kMemberTopic, EncodeMemberDetails(self_));
}

void mesh::SetSeeds(std::vector<endpoint> seeds) {
  options_.seeds = std::move(seeds);
}

void mesh::OnHostTerminated(const endpoint& address) {
  std::vector<std::string> terminated;
  for (const auto& [name, known] : members_.all()) {
    if (known.details.mesh == address) {
      terminated.push_back(name);
    }
  }
  for (const std::string& name : terminated) {
    members_.RecordHostTerminated(name);
  }
}

size_t mesh::ChangeFanout(const std::string& topic) const {
  const size_t sends = options_.urgent_topics.contains(topic)
                           ? options_.urgent_change_fanout
                           : options_.change_fanout;
  return std::min(sends, std::max<size_t>(1, members_.active_count()));
}

void mesh::PublishRecord(const std::string& topic, const std::string& payload) {
  mesh_record record;
  record.publisher = options_.name;
  record.topic = topic;
  record.incarnation = options_.incarnation;
  record.version = ++version_;
  record.payload = payload;
  records_.Apply(record, options_.name, ChangeFanout(topic));
  early_round_requested_ =
      early_round_requested_ || options_.urgent_topics.contains(topic);
}

void mesh::Publish(const std::string& topic, const std::string& payload) {
  const mesh_record* held = records_.Find(options_.name, topic);
  if (held == nullptr || held->payload != payload) {
    PublishRecord(topic, payload);
  }
}

void mesh::PublishDraining() {
  self_.is_draining = true;
  Publish(kMemberTopic, EncodeMemberDetails(self_));
}

bool mesh::joining(time_point now) const {
  const bool has_seeds =
      std::any_of(options_.seeds.begin(), options_.seeds.end(),
                  [this](const endpoint& seed) { return seed != self_.mesh; });
  const bool within_join_limit =
      !started_at_ || now - *started_at_ < kJoinLimit;
  return has_seeds && !joined_ && within_join_limit;
}

void mesh::Tick(const mesh_time& at) {
  started_at_ = started_at_.value_or(at.now);
  ExpireExchanges(at);
  for (const std::string& name : members_.Tick(at.now)) {
    records_.DropPublisher(name);
    guard_.Forget(name);
    consecutive_misses_.erase(name);
  }
  if (!last_round_ || at.now - *last_round_ >= options_.round_period) {
    StartRound(at);
  } else if (early_round_requested_ &&
             (!last_early_round_ ||
              at.now - *last_early_round_ >= options_.early_round_interval)) {
    StartEarlyRound(at);
  }
}

void mesh::StartRound(const mesh_time& at) {
  last_round_ = at.now;
  early_round_requested_ = false;
  ++rounds_;
  PublishSuspects();
  for (const std::string& peer : PickPeers(options_.fanout)) {
    SendExchange(peer, members_.Find(peer)->details.mesh, at);
  }
  SeekMembers(at);
}

void mesh::StartEarlyRound(const mesh_time& at) {
  last_early_round_ = at.now;
  early_round_requested_ = false;
  for (const std::string& peer : PickPeers(options_.fanout)) {
    SendUpdate(peer, at);
  }
}

void mesh::SendUpdate(const std::string& peer, const mesh_time& at) {
  mesh_message message = MessageTo(peer, mesh_message_kind::kUpdate);
  message.records = records_.TakeChanges(peer, options_.max_record_bytes);
  Transmit(members_.Find(peer)->details.mesh, std::move(message), at);
}

std::vector<std::string> mesh::PickPeers(size_t count) {
  std::vector<std::string> picked;
  size_t refills = 0;
  while (picked.size() < std::min(count, members_.active_count())) {
    if (shuffled_peers_.empty()) {
      if (++refills > 2) {
        break;
      }
      for (const auto& [name, known] : members_.all()) {
        if (known.state != member_state::kRemoved) {
          shuffled_peers_.push_back(name);
        }
      }
      std::shuffle(shuffled_peers_.begin(), shuffled_peers_.end(), random_);
    }
    const std::string next = shuffled_peers_.back();
    shuffled_peers_.pop_back();
    const member* known = members_.Find(next);
    if (known == nullptr || known->state == member_state::kRemoved ||
        std::find(picked.begin(), picked.end(), next) != picked.end()) {
      continue;
    }
    picked.push_back(next);
  }
  return picked;
}

void mesh::SeekMembers(const mesh_time& at) {
  const bool alone = members_.active_count() == 0;
  if (!alone && rounds_ % kSeekRounds != 0) {
    return;
  }
  std::vector<std::pair<std::string, endpoint>> candidates;
  for (const endpoint& address : options_.seeds) {
    if (address != self_.mesh && members_.FindAt(address) == nullptr) {
      candidates.emplace_back("", address);
    }
  }
  for (const auto& [name, known] : members_.all()) {
    if (known.state == member_state::kRemoved) {
      candidates.emplace_back(name, known.details.mesh);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), random_);
  candidates.resize(
      std::min(candidates.size(), alone ? options_.fanout : size_t{1}));
  for (const auto& [name, address] : candidates) {
    SendExchange(name, address, at);
  }
}

bool mesh::TakeDigestTurn(time_point now) {
  const size_t bytes = kDigestEntryBytes * (members_.all().size() + 1);
  const milliseconds period = std::max<milliseconds>(
      2 * options_.round_period,
      milliseconds(bytes * kMsPerSecond / options_.digest_budget));
  if (last_digest_ && now - *last_digest_ < period) {
    return false;
  }
  last_digest_ = now;
  return true;
}

mesh_message mesh::MessageTo(const std::string& peer, mesh_message_kind kind) {
  mesh_message message;
  message.kind = kind;
  message.addressee = peer;
  const member* known = members_.Find(peer);
  if (known != nullptr && known->state != member_state::kAlive) {
    message.known_incarnation = known->incarnation;
    message.suspected_version = known->version;
  }
  return message;
}

void mesh::SendExchange(const std::string& peer, const endpoint& address,
                        const mesh_time& at) {
  mesh_message message = MessageTo(peer, mesh_message_kind::kExchange);
  message.records = records_.TakeChanges(peer, options_.max_record_bytes);
  if (peer.empty() || consecutive_misses_.contains(peer)) {
    // The peer may not know this node's address to reply to, or this node may
    // drop its messages because of a lower incarnation.
    const member* known = members_.Find(peer);
    message.known_incarnation = known == nullptr ? 0 : known->incarnation;
    message.records.push_back(*records_.Find(options_.name, kMemberTopic));
  }
  if (TakeDigestTurn(at.now)) {
    message.digest = records_.Digest();
  }
  pending_exchange request;
  request.peer = peer;
  request.address = address;
  request.asked_at = at.now;
  request.records = message.records;
  Transmit(address, std::move(message), at);
  pending_exchanges_[sequence_] = std::move(request);
}

bool mesh::RequestRevision(const std::string& name, const mesh_time& at) {
  const member* known = members_.Find(name);
  if (known == nullptr) {
    return false;
  }
  SendExchange(name, known->details.mesh, at);
  return true;
}

bool mesh::SendDirect(const std::string& name, const std::string& topic,
                      const std::string& payload, const mesh_time& at) {
  const member* known = members_.Find(name);
  if (known == nullptr) {
    return false;
  }
  mesh_message message = MessageTo(name, mesh_message_kind::kDirect);
  message.topic = topic;
  message.payload = payload;
  const uint64_t refused = counts_.sends_refused;
  Transmit(known->details.mesh, std::move(message), at);
  return counts_.sends_refused == refused;
}

void mesh::Transmit(const endpoint& to, mesh_message message,
                    const mesh_time& at) {
  message.sender = options_.name;
  message.incarnation = options_.incarnation;
  message.sequence = ++sequence_;
  message.sent_at_ms = at.wall_ms;
  message.revision = hooks_.revision();
  const std::string bytes = EncodeMeshMessage(message, options_.key);
  if (!transport_.Send(to, bytes)) {
    ++counts_.sends_refused;
    return;
  }
  ++counts_.messages_sent;
  counts_.bytes_sent += bytes.size();
}

void mesh::ExpireExchanges(const mesh_time& at) {
  std::vector<pending_exchange> expired;
  std::erase_if(pending_exchanges_, [&](auto& entry) {
    if (at.now - entry.second.asked_at < options_.reply_timeout) {
      return false;
    }
    expired.push_back(std::move(entry.second));
    return true;
  });
  for (const pending_exchange& exchange : expired) {
    OnMissedReply(exchange, at);
  }
}

void mesh::OnMissedReply(const pending_exchange& expired, const mesh_time& at) {
  ++counts_.unanswered;
  ++counts_.redials;
  transport_.Redial(expired.address);
  records_.ReturnChanges(expired.peer, expired.records);
  const member* known = members_.Find(expired.peer);
  if (known == nullptr || known->state != member_state::kAlive) {
    return;
  }
  if (++consecutive_misses_[expired.peer] < options_.max_misses) {
    // Retry now: the next regular round with this peer may be far off.
    SendExchange(expired.peer, known->details.mesh, at);
    return;
  }
  const bool heard_recently =
      known->last_heard_at &&
      at.now - *known->last_heard_at < options_.reply_timeout;
  if (!heard_recently && suspected_.size() < kMaxSuspects) {
    SuspectMember(*known, at.now);
  }
}

void mesh::SuspectMember(const member& unresponsive, time_point now) {
  const mesh_record suspected{unresponsive.name, kMemberTopic,
                              unresponsive.incarnation, unresponsive.version,
                              ""};
  if (members_.Suspect(unresponsive.name, unresponsive.incarnation,
                       unresponsive.version, now)) {
    suspected_[suspected.publisher] = suspected;
    early_round_requested_ = true;
    PublishSuspects();
  }
}

void mesh::PublishSuspects() {
  std::erase_if(suspected_, [this](const auto& entry) {
    const member* known = members_.Find(entry.first);
    return known == nullptr || known->state == member_state::kAlive;
  });
  if (!suspected_.empty() ||
      records_.Find(options_.name, kSuspectsTopic) != nullptr) {
    Publish(kSuspectsTopic, EncodeSuspects(suspected_));
  }
}

void mesh::CountDrop(mesh_drop reason) {
  ++counts_.dropped[static_cast<size_t>(reason)];
}

void mesh::OnBytes(std::string_view bytes, const mesh_time& at) {
  ++counts_.messages_received;
  counts_.bytes_received += bytes.size();
  mesh_decode_result decoded = DecodeMeshMessage(bytes, options_.key);
  if (!decoded.message) {
    CountDrop(decoded.failure);
    return;
  }
  const mesh_message& message = *decoded.message;
  const bool to_other =
      !message.addressee.empty() && message.addressee != options_.name;
  if (to_other || message.sender == options_.name) {
    CountDrop(mesh_drop::kMisaddressed);
    return;
  }
  if (const auto refused = guard_.Check(message, at.wall_ms)) {
    CountDrop(*refused);
    return;
  }
  StoreRecords(message, at);
  members_.RecordMessage(message.sender, message.incarnation, message.revision,
                         at.now);
  RaiseIncarnationAbove(message.known_incarnation);
  Refute(message.known_incarnation, message.suspected_version);
  if (message.kind == mesh_message_kind::kReply) {
    OnReply(message, at);
    return;
  }
  hooks_.on_revision({message.sender, message.revision, std::nullopt}, at.now);
  if (message.kind == mesh_message_kind::kExchange) {
    Reply(message, at);
  } else if (message.kind == mesh_message_kind::kDirect) {
    hooks_.on_direct(message.sender, message.topic, message.payload, at);
  }
}

void mesh::Refute(int64_t incarnation, int64_t suspected_version) {
  const mesh_record* own = records_.Find(options_.name, kMemberTopic);
  if (incarnation == own->incarnation && suspected_version >= own->version) {
    version_ = std::max(version_, suspected_version);
    PublishRecord(kMemberTopic, EncodeMemberDetails(self_));
  }
}

void mesh::Reply(const mesh_message& request, const mesh_time& at) {
  const member* known = members_.Find(request.sender);
  if (known == nullptr) {
    return;
  }
  mesh_message reply = MessageTo(request.sender, mesh_message_kind::kReply);
  reply.reply_to = request.sequence;
  reply.records =
      records_.TakeChanges(request.sender, options_.max_record_bytes / 2);
  if (request.addressee.empty()) {
    reply.records.push_back(*records_.Find(options_.name, kMemberTopic));
  }
  if (!request.digest.empty()) {
    reply.requested_publishers = records_.DifferingPublishers(request.digest);
    for (mesh_record& record : records_.RecordsOfPublishers(
             reply.requested_publishers, options_.max_record_bytes / 2,
             random_())) {
      reply.records.push_back(std::move(record));
    }
  }
  Transmit(known->details.mesh, std::move(reply), at);
}

void mesh::OnReply(const mesh_message& reply, const mesh_time& at) {
  const auto request = pending_exchanges_.find(reply.reply_to);
  const bool matches =
      request != pending_exchanges_.end() &&
      (request->second.peer.empty() || request->second.peer == reply.sender);
  if (!matches) {
    hooks_.on_revision({reply.sender, reply.revision, std::nullopt}, at.now);
    return;
  }
  const time_point asked_at = request->second.asked_at;
  pending_exchanges_.erase(request);
  consecutive_misses_.erase(reply.sender);
  joined_ = true;
  hooks_.on_revision({reply.sender, reply.revision, asked_at}, at.now);
  const member* known = members_.Find(reply.sender);
  if (known == nullptr || reply.requested_publishers.empty()) {
    return;
  }
  mesh_message update = MessageTo(reply.sender, mesh_message_kind::kUpdate);
  update.records = records_.RecordsOfPublishers(
      reply.requested_publishers, options_.max_record_bytes, random_());
  // The peer already has the records that its reply contained.
  std::erase_if(update.records, [&](const mesh_record& record) {
    return std::find(reply.records.begin(), reply.records.end(), record) !=
           reply.records.end();
  });
  if (!update.records.empty()) {
    Transmit(known->details.mesh, std::move(update), at);
  }
}

void mesh::StoreRecords(const mesh_message& message, const mesh_time& at) {
  for (const mesh_record& record : message.records) {
    if (record.publisher == options_.name) {
      RaiseIncarnationAbove(record.incarnation);
      continue;
    }
    if (records_.Apply(record, message.sender, ChangeFanout(record.topic))) {
      OnNewRecord(record, at.now);
    }
  }
}

// Handles an earlier process of the same name whose clock was ahead: peers
// ignore this process until its incarnation is higher.
void mesh::RaiseIncarnationAbove(int64_t known) {
  if (known <= options_.incarnation) {
    return;
  }
  options_.incarnation = known + 1;
  PublishRecord(kMemberTopic, EncodeMemberDetails(self_));
}

void mesh::OnNewRecord(const mesh_record& record, time_point now) {
  early_round_requested_ =
      early_round_requested_ || options_.urgent_topics.contains(record.topic);
  if (record.topic == kMemberTopic) {
    OnMemberRecord(record, now);
  } else if (record.topic == kSuspectsTopic) {
    OnSuspectsRecord(record, now);
  } else {
    hooks_.on_record(record, now);
  }
}

void mesh::OnMemberRecord(const mesh_record& record, time_point now) {
  const std::optional<member_details> details =
      DecodeMemberDetails(record.payload);
  if (!details) {
    CountDrop(mesh_drop::kMalformed);
    return;
  }
  members_.HandleMemberRecord(record, *details, now);
}

void mesh::OnSuspectsRecord(const mesh_record& record, time_point now) {
  for (const mesh_record& suspected : DecodeSuspects(record.payload)) {
    if (suspected.publisher != options_.name) {
      members_.Suspect(suspected.publisher, suspected.incarnation,
                       suspected.version, now);
    } else {
      Refute(suspected.incarnation, suspected.version);
    }
  }
}

}  // namespace skylarkcroft
