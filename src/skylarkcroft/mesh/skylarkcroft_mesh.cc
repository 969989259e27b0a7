#include "skylarkcroft/mesh/skylarkcroft_mesh.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/mesh/skylarkcroft_mesh_transport.h"

namespace skylarkcroft {
namespace {

using json = nlohmann::json;

constexpr milliseconds kJoinLimit{10000};
constexpr uint64_t kSeekRounds = 4;
constexpr size_t kDigestEntryBytes = 8;
constexpr size_t kMaxSuspects = 64;
constexpr int64_t kMsPerSecond = 1000;

std::string EncodeSuspects(const std::map<std::string, mesh_record>& accused) {
  json list = json::array();
  for (const auto& [name, record] : accused) {
    list.push_back({name, record.incarnation, record.version});
  }
  std::string payload;
  json::to_msgpack(list, payload);
  return payload;
}

// The member records that a suspects record names, without payloads; empty
// when it is malformed.
std::vector<mesh_record> DecodeSuspects(const std::string& payload) {
  std::vector<mesh_record> accused;
  try {
    for (const json& fields : json::from_msgpack(payload)) {
      mesh_record record;
      record.publisher = fields.at(0).get<std::string>();
      record.topic = kMemberTopic;
      record.incarnation = fields.at(1).get<int64_t>();
      record.version = fields.at(2).get<int64_t>();
      accused.push_back(std::move(record));
    }
  } catch (const json::exception&) {
    accused.clear();
  }
  return accused;
}

}  // namespace

mesh::mesh(mesh_options options, member_details self, mesh_transport& transport,
           mesh_hooks hooks)
    : options_(std::move(options)),
      self_(std::move(self)),
      transport_(transport),
      hooks_(std::move(hooks)),
      random_(options_.seed),
      members_(options_.timeouts),
      guard_(options_.freshness) {
  Store(kMemberTopic, EncodeMemberDetails(self_));
}

void mesh::SetSeeds(std::vector<endpoint> seeds) {
  options_.seeds = std::move(seeds);
}

void mesh::NoteHostEnded(const endpoint& address) {
  std::vector<std::string> ended;
  for (const auto& [name, known] : members_.all()) {
    if (known.details.mesh == address) {
      ended.push_back(name);
    }
  }
  for (const std::string& name : ended) {
    members_.NoteEnded(name);
  }
}

size_t mesh::SendsOfChange(const std::string& topic) const {
  const size_t sends = options_.urgent_topics.contains(topic)
                           ? options_.urgent_change_sends
                           : options_.change_sends;
  return std::min(sends, std::max<size_t>(1, members_.counted()));
}

void mesh::Store(const std::string& topic, const std::string& payload) {
  mesh_record record;
  record.publisher = options_.name;
  record.topic = topic;
  record.incarnation = options_.incarnation;
  record.version = ++version_;
  record.payload = payload;
  records_.Apply(record, options_.name, SendsOfChange(topic));
  hurried_ = hurried_ || options_.urgent_topics.contains(topic);
}

void mesh::Publish(const std::string& topic, const std::string& payload) {
  const mesh_record* held = records_.Find(options_.name, topic);
  if (held == nullptr || held->payload != payload) {
    Store(topic, payload);
  }
}

void mesh::PublishLeaving() {
  self_.leaving = true;
  Publish(kMemberTopic, EncodeMemberDetails(self_));
}

bool mesh::joining(time_point now) const {
  const bool seeks =
      std::any_of(options_.seeds.begin(), options_.seeds.end(),
                  [this](const endpoint& seed) { return seed != self_.mesh; });
  const bool early = !started_at_ || now - *started_at_ < kJoinLimit;
  return seeks && !joined_ && early;
}

void mesh::Tick(const mesh_time& at) {
  started_at_ = started_at_.value_or(at.now);
  ExpireExchanges(at);
  for (const std::string& name : members_.Tick(at.now)) {
    records_.DropPublisher(name);
    guard_.Forget(name);
    misses_.erase(name);
  }
  if (!last_round_ || at.now - *last_round_ >= options_.round_period) {
    Round(at);
  } else if (hurried_ &&
             (!last_news_ || at.now - *last_news_ >= options_.news_period)) {
    NewsRound(at);
  }
}

void mesh::Round(const mesh_time& at) {
  last_round_ = at.now;
  hurried_ = false;
  ++rounds_;
  PublishSuspects();
  for (const std::string& peer : PickPeers(options_.fanout)) {
    SendExchange(peer, members_.Find(peer)->details.mesh, at);
  }
  SeekMembers(at);
}

void mesh::NewsRound(const mesh_time& at) {
  last_news_ = at.now;
  hurried_ = false;
  for (const std::string& peer : PickPeers(options_.fanout)) {
    SendNews(peer, at);
  }
}

void mesh::SendNews(const std::string& peer, const mesh_time& at) {
  mesh_message message = MessageTo(peer, mesh_message_kind::kUpdate);
  message.records = records_.TakeChanges(peer, options_.max_record_bytes);
  Transmit(members_.Find(peer)->details.mesh, std::move(message), at);
}

std::vector<std::string> mesh::PickPeers(size_t count) {
  std::vector<std::string> picked;
  size_t refills = 0;
  while (picked.size() < std::min(count, members_.counted())) {
    if (ring_.empty()) {
      if (++refills > 2) {
        break;
      }
      for (const auto& [name, known] : members_.all()) {
        if (known.state != member_state::kRemoved) {
          ring_.push_back(name);
        }
      }
      std::shuffle(ring_.begin(), ring_.end(), random_);
    }
    const std::string next = ring_.back();
    ring_.pop_back();
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
  const bool alone = members_.counted() == 0;
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
  if (peer.empty() || misses_.contains(peer)) {
    // It may not know where to send its reply, or be refused as too old.
    const member* known = members_.Find(peer);
    message.known_incarnation = known == nullptr ? 0 : known->incarnation;
    message.records.push_back(*records_.Find(options_.name, kMemberTopic));
  }
  if (TakeDigestTurn(at.now)) {
    message.digest = records_.Digest();
  }
  outstanding asked;
  asked.peer = peer;
  asked.address = address;
  asked.asked_at = at.now;
  asked.records = message.records;
  Transmit(address, std::move(message), at);
  outstanding_[sequence_] = std::move(asked);
}

bool mesh::Ask(const std::string& name, const mesh_time& at) {
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
  std::vector<outstanding> lost;
  std::erase_if(outstanding_, [&](auto& entry) {
    if (at.now - entry.second.asked_at < options_.reply_timeout) {
      return false;
    }
    lost.push_back(std::move(entry.second));
    return true;
  });
  for (const outstanding& one : lost) {
    OnMiss(one, at);
  }
}

void mesh::OnMiss(const outstanding& lost, const mesh_time& at) {
  ++counts_.unanswered;
  ++counts_.redials;
  transport_.Redial(lost.address);
  records_.ReturnChanges(lost.peer, lost.records);
  const member* known = members_.Find(lost.peer);
  if (known == nullptr || known->state != member_state::kAlive) {
    return;
  }
  if (++misses_[lost.peer] < options_.misses_to_suspect) {
    // Its turn in the rounds may be far off.
    SendExchange(lost.peer, known->details.mesh, at);
    return;
  }
  const bool heard_lately =
      known->heard_at && at.now - *known->heard_at < options_.reply_timeout;
  if (!heard_lately && accused_.size() < kMaxSuspects) {
    Accuse(*known, at.now);
  }
}

void mesh::Accuse(const member& silent, time_point now) {
  const mesh_record accused{silent.name, kMemberTopic, silent.incarnation,
                            silent.version, ""};
  if (members_.Suspect(silent.name, silent.incarnation, silent.version, now)) {
    accused_[accused.publisher] = accused;
    hurried_ = true;
    PublishSuspects();
  }
}

void mesh::PublishSuspects() {
  std::erase_if(accused_, [this](const auto& entry) {
    const member* known = members_.Find(entry.first);
    return known == nullptr || known->state == member_state::kAlive;
  });
  if (!accused_.empty() ||
      records_.Find(options_.name, kSuspectsTopic) != nullptr) {
    Publish(kSuspectsTopic, EncodeSuspects(accused_));
  }
}

void mesh::Drop(mesh_drop reason) {
  ++counts_.dropped[static_cast<size_t>(reason)];
}

void mesh::OnBytes(std::string_view bytes, const mesh_time& at) {
  ++counts_.messages_received;
  counts_.bytes_received += bytes.size();
  mesh_decoding decoded = DecodeMeshMessage(bytes, options_.key);
  if (!decoded.message) {
    Drop(decoded.failure);
    return;
  }
  const mesh_message& message = *decoded.message;
  const bool to_other =
      !message.addressee.empty() && message.addressee != options_.name;
  if (to_other || message.sender == options_.name) {
    Drop(mesh_drop::kMisaddressed);
    return;
  }
  if (const auto refused = guard_.Check(message, at.wall_ms)) {
    Drop(*refused);
    return;
  }
  TakeRecords(message, at);
  members_.NoteHeard(message.sender, message.incarnation, message.revision,
                     at.now);
  OutdoIncarnation(message.known_incarnation);
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
    Store(kMemberTopic, EncodeMemberDetails(self_));
  }
}

void mesh::Reply(const mesh_message& asked, const mesh_time& at) {
  const member* known = members_.Find(asked.sender);
  if (known == nullptr) {
    return;
  }
  mesh_message reply = MessageTo(asked.sender, mesh_message_kind::kReply);
  reply.answers = asked.sequence;
  reply.records =
      records_.TakeChanges(asked.sender, options_.max_record_bytes / 2);
  if (asked.addressee.empty()) {
    reply.records.push_back(*records_.Find(options_.name, kMemberTopic));
  }
  if (!asked.digest.empty()) {
    reply.wanted = records_.Differing(asked.digest);
    for (mesh_record& record : records_.OfPublishers(
             reply.wanted, options_.max_record_bytes / 2, random_())) {
      reply.records.push_back(std::move(record));
    }
  }
  Transmit(known->details.mesh, std::move(reply), at);
}

void mesh::OnReply(const mesh_message& reply, const mesh_time& at) {
  const auto asked = outstanding_.find(reply.answers);
  const bool matches =
      asked != outstanding_.end() &&
      (asked->second.peer.empty() || asked->second.peer == reply.sender);
  if (!matches) {
    hooks_.on_revision({reply.sender, reply.revision, std::nullopt}, at.now);
    return;
  }
  const time_point asked_at = asked->second.asked_at;
  outstanding_.erase(asked);
  misses_.erase(reply.sender);
  joined_ = true;
  hooks_.on_revision({reply.sender, reply.revision, asked_at}, at.now);
  const member* known = members_.Find(reply.sender);
  if (known == nullptr || reply.wanted.empty()) {
    return;
  }
  mesh_message update = MessageTo(reply.sender, mesh_message_kind::kUpdate);
  update.records =
      records_.OfPublishers(reply.wanted, options_.max_record_bytes, random_());
  // What the reply brought differs no more.
  std::erase_if(update.records, [&](const mesh_record& record) {
    return std::find(reply.records.begin(), reply.records.end(), record) !=
           reply.records.end();
  });
  if (!update.records.empty()) {
    Transmit(known->details.mesh, std::move(update), at);
  }
}

void mesh::TakeRecords(const mesh_message& message, const mesh_time& at) {
  for (const mesh_record& record : message.records) {
    if (record.publisher == options_.name) {
      OutdoIncarnation(record.incarnation);
      continue;
    }
    if (records_.Apply(record, message.sender, SendsOfChange(record.topic))) {
      OnTaken(record, at.now);
    }
  }
}

// Another process of this name, whose clock was ahead, ran before this one.
void mesh::OutdoIncarnation(int64_t known) {
  if (known <= options_.incarnation) {
    return;
  }
  options_.incarnation = known + 1;
  Store(kMemberTopic, EncodeMemberDetails(self_));
}

void mesh::OnTaken(const mesh_record& record, time_point now) {
  hurried_ = hurried_ || options_.urgent_topics.contains(record.topic);
  if (record.topic == kMemberTopic) {
    OnMember(record, now);
  } else if (record.topic == kSuspectsTopic) {
    OnSuspects(record, now);
  } else {
    hooks_.on_record(record, now);
  }
}

void mesh::OnMember(const mesh_record& record, time_point now) {
  const std::optional<member_details> details =
      DecodeMemberDetails(record.payload);
  if (!details) {
    Drop(mesh_drop::kMalformed);
    return;
  }
  members_.Note(record, *details, now);
}

void mesh::OnSuspects(const mesh_record& record, time_point now) {
  for (const mesh_record& accused : DecodeSuspects(record.payload)) {
    if (accused.publisher != options_.name) {
      members_.Suspect(accused.publisher, accused.incarnation, accused.version,
                       now);
    } else {
      Refute(accused.incarnation, accused.version);
    }
  }
}

}  // namespace skylarkcroft
