#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_RECORD_STORE_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_RECORD_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "skylarkcroft/mesh/skylarkcroft_mesh_record.h"

namespace skylarkcroft {

/// The newest record of every publisher and topic, and the queue of changes to
/// forward. A change is forwarded to a limited number of peers, at most once to
/// each; digests find the records that did not arrive that way.
class record_store {
 public:
  /// Stores `record` if it is newer than the stored one, and queues it for
  /// `sends` peers other than `from`. Returns whether it was stored.
  bool Apply(const mesh_record& record, const std::string& from, size_t sends);

  /// Returns null when there is no such record.
  [[nodiscard]] const mesh_record* Find(const std::string& publisher,
                                        const std::string& topic) const;
  /// Returns all records under `topic`, sorted by publisher.
  [[nodiscard]] std::vector<mesh_record> FindByTopic(
      const std::string& topic) const;
  /// Removes all records of `publisher` and its queued changes.
  void DropPublisher(const std::string& publisher);

  /// Returns queued changes that `peer` was not sent yet, up to `max_bytes`,
  /// and counts them as sent.
  std::vector<mesh_record> TakeChanges(const std::string& peer,
                                       size_t max_bytes);
  /// Restores the send count of records whose message got no reply, so that
  /// they are sent to another peer.
  void ReturnChanges(const std::string& peer,
                     const std::vector<mesh_record>& records);
  [[nodiscard]] bool has_changes() const { return !changes_.empty(); }

  /// Returns a fingerprint of every publisher and one of all of its records.
  [[nodiscard]] std::string Digest() const;
  /// Returns the fingerprints of the publishers whose records differ between
  /// `digest` and this store, in ascending order.
  [[nodiscard]] std::vector<uint32_t> DifferingPublishers(
      std::string_view digest) const;
  /// Returns records of the publishers with these fingerprints, up to
  /// `max_bytes`. Starts at the record number `start_index`, modulo their
  /// count, so that repeated calls with different values return all of them.
  [[nodiscard]] std::vector<mesh_record> RecordsOfPublishers(
      const std::vector<uint32_t>& fingerprints, size_t max_bytes,
      uint64_t start_index) const;

 private:
  struct publisher_records {
    uint32_t fingerprint = 0;
    int64_t incarnation = 0;
    std::map<std::string, mesh_record> by_topic;
  };
  struct change {
    std::string publisher;
    std::string topic;
    size_t sends_left = 0;
    std::vector<std::string> sent_to;
  };

  [[nodiscard]] std::map<uint32_t, uint32_t> RecordFingerprints() const;
  void Queue(const mesh_record& record, const std::string& from, size_t sends);

  std::map<std::string, publisher_records> publishers_;
  std::deque<change> changes_;
};

/// Approximate size of `record` in a message, bytes.
size_t WireSize(const mesh_record& record);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_RECORD_STORE_H_
