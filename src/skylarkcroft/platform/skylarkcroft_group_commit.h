#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_GROUP_COMMIT_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_GROUP_COMMIT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// How a row written through a group commit fared.
enum class row_outcome {
  kCommitted,
  /// The condition failed. After a lost answer the row that is there may be the
  /// writer's own; read it before concluding.
  kConflict,
  kRejected,  ///< Certainly not written.
  kUnknown,   ///< May have been written.
};
using row_done_fn = std::function<void(row_outcome)>;

/// Bounds of a group commit.
struct group_commit_options {
  /// Longest wait for further rows before a transaction is sent.
  milliseconds window{4};
  size_t max_rows = 50;
  size_t max_transactions_in_flight = 4;
  /// Time for which a transaction without an answer is repeated.
  milliseconds resolve_limit{3000};
  milliseconds resolve_delay{100};

  bool operator==(const group_commit_options&) const = default;
};

/// Gathers independent conditional row writes into transactions, so that many
/// requests share the few writes a second that the table service takes. A row
/// whose condition fails does not hold up the others.
class group_commit {
 public:
  group_commit(event_loop& loop, table_service& store, std::string token_prefix,
               const group_commit_options& options, clock_fn clock);
  ~group_commit();
  group_commit(const group_commit&) = delete;
  group_commit& operator=(const group_commit&) = delete;

  /// Rows of one key may be written in any order; their conditions decide.
  void Write(row_write row, row_done_fn done);

  /// Transactions sent so far, repeats included.
  [[nodiscard]] uint64_t transactions() const { return transactions_; }

 private:
  struct pending_row {
    row_write row;
    row_done_fn done;
  };
  struct batch {
    std::vector<pending_row> rows;
    std::string token;
    time_point resolve_until{};
    bool answer_lost = false;
    event_loop::handle_ptr timer;
  };
  using batch_ptr = std::shared_ptr<batch>;

  std::vector<pending_row> TakeRows();
  void Flush();
  void Send(const batch_ptr& sending);
  void OnResult(const batch_ptr& sent, const write_result& result);
  void OnConflict(const batch_ptr& sent, const std::vector<size_t>& conflicts);
  void Repeat(const batch_ptr& sent);
  void EndAll(const batch_ptr& ended, row_outcome outcome);
  std::string NextToken();

  event_loop& loop_;
  table_service& store_;
  std::string token_prefix_;
  group_commit_options options_;
  clock_fn clock_;
  std::vector<pending_row> waiting_;
  event_loop::handle_ptr window_timer_;
  // Transactions without an answer that wait to be sent again.
  std::vector<batch_ptr> repeating_;
  size_t in_flight_ = 0;
  uint64_t transactions_ = 0;
  uint64_t next_token_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_GROUP_COMMIT_H_
