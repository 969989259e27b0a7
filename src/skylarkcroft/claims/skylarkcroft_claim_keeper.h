#ifndef SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_KEEPER_H_
#define SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_KEEPER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/claims/skylarkcroft_claim_record.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_group_commit.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// A claim as its holder knows it; `version` is what the next write compares.
struct held_claim {
  row_key key;
  int64_t version = 0;
  claim_record record;

  bool operator==(const held_claim&) const = default;
};

/// A request that asks for the claim of its key.
struct claim_query {
  std::string caller_name;
  std::string idempotency_key;
  std::string fingerprint;
  std::string request_id;
  /// When the request gives up waiting.
  time_point deadline{};

  bool operator==(const claim_query&) const = default;
};

enum class claim_outcome {
  kHeld,              ///< The request holds the claim and may go on.
  kReplay,            ///< It ran before; `response` is its answer.
  kRanWithoutAnswer,  ///< It ran before; its answer was too large to keep.
  kKeyReused,
  kUnknown,           ///< It was sent before and its outcome is not known.
  kStoreUnavailable,  ///< The store did not answer; nothing was sent.
  kBusy,              ///< Another request still holds it at the deadline.
};

struct claim_answer {
  claim_outcome outcome = claim_outcome::kStoreUnavailable;
  std::optional<held_claim> held{};
  std::optional<http_response> response{};
  /// For kUnknown, the upstream that the request was sent to.
  std::string upstream{};
};
using claim_done_fn = std::function<void(const claim_answer&)>;

/// Whether the holder may send.
enum class mark_outcome {
  kMaySend,
  kLost,              ///< Another request took the claim over.
  kStoreUnavailable,  ///< Not marked, or not known to be; must not be sent.
};
using mark_done_fn = std::function<void(mark_outcome, const held_claim&)>;

/// Claims of idempotency keys in the table service. A request is sent only
/// after its claim has been marked as sent by compare-and-set, and a claim so
/// marked is never taken over, so each key's request runs at most once. Rests
/// on conditional writes that are atomic and on consistent reads; a write whose
/// answer was lost may take effect later. models/claim.pml states the same.
class claim_keeper {
 public:
  claim_keeper(event_loop& loop, table_service& store, group_commit& commits,
               clock_fn clock, wall_clock_fn wall_clock);
  ~claim_keeper();
  claim_keeper(const claim_keeper&) = delete;
  claim_keeper& operator=(const claim_keeper&) = delete;

  /// Takes the claim, waits for the request that has it, or tells what became
  /// of it.
  void Claim(const claim_query& query, claim_done_fn done);
  /// Marks the claim as sent to `upstream`; must precede the first byte.
  void MarkSent(const held_claim& held, const std::string& upstream,
                mark_done_fn done);
  /// Stores the response. `done` runs when it is stored, or after
  /// kRecordWait; storing goes on behind it.
  void RecordDone(const held_claim& held, const http_response& response,
                  std::function<void()> done);
  /// Gives the key free again; only for a request that certainly did not run
  /// and will not be sent any more. Also undoes a mark whose answer was lost.
  void Release(const held_claim& held, std::function<void()> done);
  void RecordUnknown(const held_claim& held, std::function<void()> done);

  /// Longest time an answer waits for its outcome to be stored.
  static constexpr milliseconds kRecordWait{1000};

 private:
  struct search;
  using search_ptr = std::shared_ptr<search>;

  void TryCreate(const search_ptr& current);
  void ReadStored(const search_ptr& current);
  void OnStored(const search_ptr& current, const read_result& result);
  void TakeOver(const search_ptr& current, const table_row& stored,
                const claim_record& record);
  void WaitAndRead(const search_ptr& current);
  void End(const search_ptr& current, const claim_answer& answer);
  void ReadBackMark(const held_claim& marked, const mark_done_fn& done);
  void Store(const held_claim& held, const claim_record& record,
             std::function<void()> done);
  struct storing;
  void StoreUntilSettled(const std::shared_ptr<storing>& current);
  void StoreOverOwnMark(const std::shared_ptr<storing>& current);
  void StoreAgainLater(const std::shared_ptr<storing>& current);
  [[nodiscard]] std::function<bool()> Alive() const;

  event_loop& loop_;
  table_service& store_;
  group_commit& commits_;
  clock_fn clock_;
  wall_clock_fn wall_clock_;
  std::vector<search_ptr> waiting_;
  // Outcomes that wait for the store to come back.
  std::vector<std::shared_ptr<storing>> pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_KEEPER_H_
