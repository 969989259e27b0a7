#ifndef SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_STORE_H_
#define SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_STORE_H_

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

/// A claim as its holder last wrote or read it. The holder's next write expects
/// the row to have `version`.
struct held_claim {
  row_key key;
  int64_t version = 0;
  claim_record record;

  bool operator==(const held_claim&) const = default;
};

/// A request that needs the claim on its idempotency key.
struct claim_request {
  std::string caller_name;
  std::string idempotency_key;
  std::string fingerprint;
  std::string request_id;
  /// Until when to wait for another holder; then the outcome is kBusy.
  time_point deadline{};

  bool operator==(const claim_request&) const = default;
};

enum class claim_outcome {
  kHeld,                ///< The request holds the claim and may be executed.
  kReplay,              ///< It was executed before; `response` is the result.
  kRanWithoutResponse,  ///< Executed before; the response was too large to
                        ///< store.
  kKeyReused,           ///< The key was used for a different request.
  kUnknown,             ///< It was sent before and its outcome is unknown.
  kStoreUnavailable,    ///< The store did not respond; nothing was sent.
  kBusy,  ///< Another request still holds the claim at the deadline.
};

struct claim_result {
  claim_outcome outcome = claim_outcome::kStoreUnavailable;
  std::optional<held_claim> held{};
  std::optional<http_response> response{};
  /// For kUnknown, the upstream that the request was sent to.
  std::string upstream{};
};
using claim_done_fn = std::function<void(const claim_result&)>;

/// Whether the holder may send its request to an upstream.
enum class mark_outcome {
  kMaySend,
  kLost,              ///< The holder no longer has the claim.
  kStoreUnavailable,  ///< The mark failed or is unconfirmed; must not send.
};
using mark_done_fn = std::function<void(mark_outcome, const held_claim&)>;

/// Claims on idempotency keys, stored in the table service. A request is sent
/// only after its claim has been marked as sent by compare-and-set, and a
/// marked claim is never taken over, so the request of a key runs at most once.
/// Relies on atomic conditional writes and consistent reads; allows for writes
/// whose response was lost and which take effect later. models/claim.pml is a
/// model of this protocol.
class claim_store {
 public:
  claim_store(event_loop& loop, table_service& store, group_commit& commits,
              clock_fn clock, wall_clock_fn wall_clock);
  ~claim_store();
  claim_store(const claim_store&) = delete;
  claim_store& operator=(const claim_store&) = delete;

  /// Acquires the claim, or waits while another request holds it. `done` gets
  /// the claim or the outcome of the request that had it.
  void Claim(const claim_request& query, claim_done_fn done);
  /// Marks the claim as sent to `upstream`. Must succeed before the first byte
  /// of the request is sent.
  void MarkSent(const held_claim& held, const std::string& upstream,
                mark_done_fn done);
  /// Stores the response. `done` runs when it is stored, or after
  /// kMaxRecordWait at the latest; writing is then retried in the background
  /// for up to 10 minutes. The same holds for Release and RecordUnknown.
  void RecordDone(const held_claim& held, const http_response& response,
                  std::function<void()> done);
  /// Releases the key. Only for a request that certainly did not run and will
  /// not be sent any more. Also undoes a mark whose write got no response.
  void Release(const held_claim& held, std::function<void()> done);
  /// Records that the request was sent and its outcome could not be found.
  void RecordUnknown(const held_claim& held, std::function<void()> done);

  /// Longest time for which a response is held back until its outcome is
  /// stored.
  static constexpr milliseconds kMaxRecordWait{1000};

 private:
  struct pending_claim;
  using pending_claim_ptr = std::shared_ptr<pending_claim>;

  void TryCreate(const pending_claim_ptr& current);
  void ReadStored(const pending_claim_ptr& current);
  void OnClaimRead(const pending_claim_ptr& current, const read_result& result);
  void TakeOver(const pending_claim_ptr& current, const table_row& stored,
                const claim_record& record);
  void PollLater(const pending_claim_ptr& current);
  void Finish(const pending_claim_ptr& current, const claim_result& answer);
  void ReadBackMark(const held_claim& marked, const mark_done_fn& done);
  void Store(const held_claim& held, const claim_record& record,
             std::function<void()> done);
  struct pending_write;
  void StoreUntilSettled(const std::shared_ptr<pending_write>& current);
  void ReplaceOwnMark(const std::shared_ptr<pending_write>& current);
  void RetryStoreLater(const std::shared_ptr<pending_write>& current);
  [[nodiscard]] std::function<bool()> Alive() const;

  event_loop& loop_;
  table_service& store_;
  group_commit& commits_;
  clock_fn clock_;
  wall_clock_fn wall_clock_;
  std::vector<pending_claim_ptr> waiting_claims_;
  // Writes of outcomes that wait for their next retry.
  std::vector<std::shared_ptr<pending_write>> pending_writes_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_STORE_H_
