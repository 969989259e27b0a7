#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_TABLE_SERVICE_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_TABLE_SERVICE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;
class http_client;

/// Primary key of a row: a partition and a sort key within it.
struct row_key {
  std::string partition;
  std::string sort;

  auto operator<=>(const row_key&) const = default;
};

/// A stored row. `version` rises with every write of the row and is what
/// conditions compare; `document` is JSON text.
struct table_row {
  row_key key;
  int64_t version = 0;
  std::string document;

  bool operator==(const table_row&) const = default;
};

/// One element of a transaction.
struct row_write {
  enum class kind { kPut, kDelete, kCheck };

  kind what = kind::kPut;
  table_row row;
  /// Version the stored row must have; 0 means the row must not exist; empty
  /// means any.
  std::optional<int64_t> expected_version;

  bool operator==(const row_write&) const = default;
};

enum class write_outcome {
  kCommitted,  ///< The transaction took effect.
  kConflict,   ///< A condition failed; nothing took effect.
  kRejected,   ///< The service refused before writing (throttled); nothing took
               ///< effect.
  kUnknown,    ///< No answer; the transaction may have taken effect.
};

/// Answer to a transaction. `conflicts` holds the indices of the writes whose
/// condition failed.
struct write_result {
  write_outcome outcome = write_outcome::kUnknown;
  std::vector<size_t> conflicts;

  bool operator==(const write_result&) const = default;
};

enum class read_outcome { kFound, kMissing, kUnavailable };

struct read_result {
  read_outcome outcome = read_outcome::kUnavailable;
  table_row row;

  bool operator==(const read_result&) const = default;
};

struct query_result {
  bool available = false;
  std::vector<table_row> rows;

  bool operator==(const query_result&) const = default;
};

/// Rows of one partition in ascending order of sort key.
struct row_query {
  std::string partition;
  std::string sort_prefix;
  /// Exclusive lower bound; empty for none.
  std::string after;
  size_t limit = 1000;

  bool operator==(const row_query&) const = default;
};

using write_done_fn = std::function<void(const write_result&)>;
using read_done_fn = std::function<void(const read_result&)>;
using query_done_fn = std::function<void(const query_result&)>;

/// The platform's transactional table service. All reads are consistent. Calls
/// never answer from inside themselves.
class table_service {
 public:
  virtual ~table_service() = default;

  virtual void Get(const row_key& key, read_done_fn done) = 0;
  virtual void Query(const row_query& query, query_done_fn done) = 0;
  /// Commits all of `writes` (at most kMaxTransactionWrites) or none. A repeat
  /// with the same `token` within ten minutes is answered as the first was.
  virtual void Write(const std::vector<row_write>& writes,
                     const std::string& token, write_done_fn done) = 0;
};

/// Most writes in one transaction.
inline constexpr size_t kMaxTransactionWrites = 100;

/// table_service over the wire protocol of docs/platform-protocol.md.
std::unique_ptr<table_service> MakeTableServiceClient(http_client& client,
                                                      const endpoint& address,
                                                      milliseconds timeout);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_TABLE_SERVICE_H_
