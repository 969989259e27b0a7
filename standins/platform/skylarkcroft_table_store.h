#ifndef STANDINS_PLATFORM_SKYLARKCROFT_TABLE_STORE_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_TABLE_STORE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft::standin {

/// Rows of one partition by sort key; empty bounds do not bound.
struct row_range {
  std::string partition;
  std::string prefix;
  /// Exclusive lower bound.
  std::string after;
  /// Inclusive bounds.
  std::string first;
  std::string last;
  size_t limit = 0;

  bool operator==(const row_range&) const = default;
};

/// One page of rows in ascending order; `more` when the range goes on after
/// the last of them.
struct row_page {
  std::vector<table_row> rows;
  bool more = false;

  bool operator==(const row_page&) const = default;
};

/// The rows of the one table, with conditional transactions over several rows.
class table_store {
 public:
  [[nodiscard]] std::optional<table_row> Get(const row_key& key) const;
  /// A page ends at the range's limit or at 1 MiB of documents.
  [[nodiscard]] row_page Query(const row_range& range) const;

  /// Applies all of `writes` or none. A repeat of a `token` within ten minutes
  /// is answered as the first was, without effect; an empty token is never
  /// remembered. Throws config_error on two writes of one row, on too many or
  /// no writes, on a check without a condition and on a token that was used
  /// for other writes.
  write_result Transact(const std::vector<row_write>& writes,
                        const std::string& token, time_point now);

 private:
  struct remembered {
    std::vector<row_write> writes;
    write_result result;
  };
  struct expiry {
    time_point at;
    std::string token;
  };

  [[nodiscard]] bool Holds(const row_write& write) const;
  void ForgetExpired(time_point now);
  write_result Apply(const std::vector<row_write>& writes);

  std::map<row_key, table_row> rows_;
  std::unordered_map<std::string, remembered> tokens_;
  /// Of each remembered token, the earliest first.
  std::deque<expiry> expiries_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_TABLE_STORE_H_
