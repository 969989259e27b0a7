#include "skylarkcroft/mesh/skylarkcroft_record_store.h"

#include <algorithm>
#include <cstring>

namespace skylarkcroft {
namespace {

// Approximate size of a record in a message without its strings, bytes.
constexpr size_t kRecordOverhead = 24;
constexpr size_t kEntryBytes = 2 * sizeof(uint32_t);

// FNV-1a hash. Unlike std::hash it gives the same value on every node.
uint64_t UpdateHash(uint64_t state, const void* bytes, size_t count) {
  constexpr uint64_t kFnvPrime = 1099511628211ULL;
  const auto* next = static_cast<const unsigned char*>(bytes);
  for (size_t index = 0; index < count; ++index) {
    state = (state ^ next[index]) * kFnvPrime;
  }
  return state;
}

constexpr uint64_t kFnvOffsetBasis = 14695981039346656037ULL;

uint32_t FoldTo32Bits(uint64_t state) {
  constexpr unsigned kHalf = 32;
  return static_cast<uint32_t>(state ^ (state >> kHalf));
}

uint32_t Fingerprint(const std::string& text) {
  return FoldTo32Bits(UpdateHash(kFnvOffsetBasis, text.data(), text.size()));
}

uint32_t Fingerprint(const mesh_record& record) {
  uint64_t state =
      UpdateHash(kFnvOffsetBasis, record.topic.data(), record.topic.size());
  state = UpdateHash(state, &record.incarnation, sizeof(record.incarnation));
  state = UpdateHash(state, &record.version, sizeof(record.version));
  return FoldTo32Bits(state);
}

void AppendUint32(std::string& bytes, uint32_t value) {
  constexpr unsigned kByteBits = 8;
  for (unsigned index = 0; index < sizeof(value); ++index) {
    bytes += static_cast<char>((value >> (index * kByteBits)) & 0xff);
  }
}

uint32_t ReadUint32(std::string_view bytes, size_t offset) {
  constexpr unsigned kByteBits = 8;
  uint32_t value = 0;
  for (unsigned index = 0; index < sizeof(value); ++index) {
    const auto byte = static_cast<unsigned char>(bytes[offset + index]);
    value |= static_cast<uint32_t>(byte) << (index * kByteBits);
  }
  return value;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

size_t WireSize(const mesh_record& record) {
  return record.publisher.size() + record.topic.size() + record.payload.size() +
         kRecordOverhead;
}

bool record_store::Apply(const mesh_record& record, const std::string& from,
                         size_t sends) {
  publisher_records& known = publishers_[record.publisher];
  if (known.by_topic.empty()) {
    known.fingerprint = Fingerprint(record.publisher);
  }
  if (record.incarnation < known.incarnation) {
    return false;
  }
  if (record.incarnation > known.incarnation) {
    known.by_topic.clear();
    known.incarnation = record.incarnation;
  }
  const auto [stored, added] = known.by_topic.try_emplace(record.topic, record);
  if (!added) {
    if (!Newer(record, stored->second)) {
      return false;
    }
    stored->second = record;
  }
  Queue(record, from, sends);
  return true;
}

void record_store::Queue(const mesh_record& record, const std::string& from,
                         size_t sends) {
  std::erase_if(changes_, [&](const change& queued) {
    return queued.publisher == record.publisher && queued.topic == record.topic;
  });
  if (sends == 0) {
    return;
  }
  changes_.push_back({record.publisher, record.topic, sends, {from}});
}

const mesh_record* record_store::Find(const std::string& publisher,
                                      const std::string& topic) const {
  const auto known = publishers_.find(publisher);
  if (known == publishers_.end()) {
    return nullptr;
  }
  const auto found = known->second.by_topic.find(topic);
  return found == known->second.by_topic.end() ? nullptr : &found->second;
}

std::vector<mesh_record> record_store::FindByTopic(
    const std::string& topic) const {
  std::vector<mesh_record> found;
  for (const auto& [publisher, known] : publishers_) {
    const auto record = known.by_topic.find(topic);
    if (record != known.by_topic.end()) {
      found.push_back(record->second);
    }
  }
  return found;
}

void record_store::DropPublisher(const std::string& publisher) {
  publishers_.erase(publisher);
  std::erase_if(changes_, [&](const change& queued) {
    return queued.publisher == publisher;
  });
}

std::vector<mesh_record> record_store::TakeChanges(const std::string& peer,
                                                   size_t max_bytes) {
  std::vector<mesh_record> taken;
  size_t bytes = 0;
  // Newest first, so that a backlog does not delay recent changes.
  for (auto next = changes_.rbegin(); next != changes_.rend(); ++next) {
    if (next->publisher == peer || Contains(next->sent_to, peer)) {
      continue;
    }
    const mesh_record* record = Find(next->publisher, next->topic);
    if (record == nullptr || bytes + WireSize(*record) > max_bytes) {
      continue;
    }
    bytes += WireSize(*record);
    taken.push_back(*record);
    next->sent_to.push_back(peer);
    --next->sends_left;
  }
  std::erase_if(changes_,
                [](const change& queued) { return queued.sends_left == 0; });
  return taken;
}

void record_store::ReturnChanges(const std::string& peer,
                                 const std::vector<mesh_record>& records) {
  for (const mesh_record& record : records) {
    const mesh_record* held = Find(record.publisher, record.topic);
    if (held == nullptr || Newer(*held, record)) {
      continue;
    }
    const auto queued =
        std::find_if(changes_.begin(), changes_.end(), [&](const change& one) {
          return one.publisher == record.publisher && one.topic == record.topic;
        });
    if (queued == changes_.end()) {
      changes_.push_back({record.publisher, record.topic, 1, {peer}});
      continue;
    }
    ++queued->sends_left;
  }
}

std::map<uint32_t, uint32_t> record_store::RecordFingerprints() const {
  std::map<uint32_t, uint32_t> states;
  for (const auto& [publisher, known] : publishers_) {
    for (const auto& [topic, record] : known.by_topic) {
      states[known.fingerprint] ^= Fingerprint(record);
    }
  }
  return states;
}

std::string record_store::Digest() const {
  std::string digest;
  for (const auto& [publisher, state] : RecordFingerprints()) {
    AppendUint32(digest, publisher);
    AppendUint32(digest, state);
  }
  return digest;
}

std::vector<uint32_t> record_store::DifferingPublishers(
    std::string_view digest) const {
  std::map<uint32_t, uint32_t> ours = RecordFingerprints();
  std::vector<uint32_t> differing;
  for (size_t offset = 0; offset + kEntryBytes <= digest.size();
       offset += kEntryBytes) {
    const uint32_t publisher = ReadUint32(digest, offset);
    const auto held = ours.find(publisher);
    if (held == ours.end()) {
      differing.push_back(publisher);
      continue;
    }
    if (held->second != ReadUint32(digest, offset + sizeof(uint32_t))) {
      differing.push_back(publisher);
    }
    ours.erase(held);
  }
  for (const auto& [publisher, state] : ours) {
    differing.push_back(publisher);
  }
  std::sort(differing.begin(), differing.end());
  return differing;
}

std::vector<mesh_record> record_store::RecordsOfPublishers(
    const std::vector<uint32_t>& fingerprints, size_t max_bytes,
    uint64_t start_index) const {
  const std::unordered_set<uint32_t> requested_publishers(fingerprints.begin(),
                                                          fingerprints.end());
  std::vector<const mesh_record*> found;
  for (const auto& [publisher, known] : publishers_) {
    if (!requested_publishers.contains(known.fingerprint)) {
      continue;
    }
    for (const auto& [topic, record] : known.by_topic) {
      found.push_back(&record);
    }
  }
  std::vector<mesh_record> records;
  size_t bytes = 0;
  for (size_t index = 0; index < found.size(); ++index) {
    const mesh_record& record = *found[(start_index + index) % found.size()];
    bytes += WireSize(record);
    if (bytes > max_bytes) {
      break;
    }
    records.push_back(record);
  }
  return records;
}

}  // namespace skylarkcroft
