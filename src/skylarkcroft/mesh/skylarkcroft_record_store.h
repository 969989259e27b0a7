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

/// The newest record of every publisher and topic, with the changes that are
/// still to be passed on. A change goes to a bounded number of peers, to each
/// at most once; digests find what did not arrive that way.
class record_store {
 public:
  /// Takes `record` when it replaces what is held, and queues it for `sends`
  /// peers other than `from`. Returns whether it was taken.
  bool Apply(const mesh_record& record, const std::string& from, size_t sends);

  /// The record, or null.
  [[nodiscard]] const mesh_record* Find(const std::string& publisher,
                                        const std::string& topic) const;
  /// Every record under `topic`, in order of publisher.
  [[nodiscard]] std::vector<mesh_record> UnderTopic(
      const std::string& topic) const;
  void DropPublisher(const std::string& publisher);

  /// Queued changes that `peer` was not sent, up to `max_bytes`; counts them
  /// as sent.
  std::vector<mesh_record> TakeChanges(const std::string& peer,
                                       size_t max_bytes);
  /// Undoes TakeChanges() for records whose message got no answer.
  void ReturnChanges(const std::string& peer,
                     const std::vector<mesh_record>& records);
  [[nodiscard]] bool has_changes() const { return !changes_.empty(); }

  /// Fingerprints of every publisher and of the state of its records.
  [[nodiscard]] std::string Digest() const;
  /// Fingerprints of publishers that `digest` shows otherwise than this store,
  /// in ascending order.
  [[nodiscard]] std::vector<uint32_t> Differing(std::string_view digest) const;
  /// Records of the publishers with these fingerprints, up to `max_bytes`,
  /// from the place `turn` on so that repeated calls reach all.
  [[nodiscard]] std::vector<mesh_record> OfPublishers(
      const std::vector<uint32_t>& fingerprints, size_t max_bytes,
      uint64_t turn) const;

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
    std::vector<std::string> known_by;
  };

  [[nodiscard]] std::map<uint32_t, uint32_t> States() const;
  void Queue(const mesh_record& record, const std::string& from, size_t sends);

  std::map<std::string, publisher_records> publishers_;
  std::deque<change> changes_;
};

/// Bytes that `record` takes in a message, about.
size_t WireSize(const mesh_record& record);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_RECORD_STORE_H_
