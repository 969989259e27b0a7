#ifndef SKYLARKCROFT_STREAMS_SKYLARKCROFT_VERSION_LEDGER_H_
#define SKYLARKCROFT_STREAMS_SKYLARKCROFT_VERSION_LEDGER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// Longest time after its beginning for which a client may take a stream up.
inline constexpr milliseconds kMaxStreamLife{65000};

/// Longest time for which a node begins streams at a version without news of
/// the upstreams, and so of the store's era.
inline constexpr milliseconds kMaxUpstreamsAge{60000};

/// Table of the versions and the begun streams.
inline constexpr char kStreamsTable[] = "streams";

/// A time of the store's clock, in one of its eras.
struct store_moment {
  milliseconds clock{0};
  int64_t era = 0;

  bool operator==(const store_moment&) const = default;
};

/// The software versions of one service at which nodes begin streams, as the
/// store keeps them. A node begins no stream at a version before it knows that
/// the ledger lists it, so that a stream of which nothing else is known began
/// at one of these versions. Holds in one era of the store only.
class version_ledger {
 public:
  version_ledger() = default;
  /// An empty ledger. With `is_first_start` no stream has begun before; else
  /// nodes may go on to begin streams at versions of an earlier ledger until
  /// they learn of this one.
  version_ledger(const store_moment& created, bool is_first_start);

  [[nodiscard]] const std::set<std::string>& versions() const {
    return versions_;
  }
  /// The version at which every stream began that can still be taken up; empty
  /// if there may be several.
  [[nodiscard]] std::optional<std::string> OnlyVersion(
      const store_moment& now) const;
  /// The ledger with further versions.
  [[nodiscard]] version_ledger With(const std::set<std::string>& added,
                                    const store_moment& now) const;
  /// The ledger without versions at which no node begins streams any more.
  [[nodiscard]] version_ledger Without(const std::set<std::string>& removed,
                                       const store_moment& now) const;

  bool operator==(const version_ledger&) const = default;

 private:
  friend std::optional<version_ledger> DecodeLedger(const std::string&);
  friend std::string EncodeLedger(const version_ledger&);

  std::set<std::string> versions_;
  int64_t era_ = 0;
  /// From this time of the store's clock on, no stream can be taken up that
  /// began at a version that is not listed.
  milliseconds settled_at_{0};
};

/// The value of a ledger's row: JSON of the versions, the era and the time in
/// milliseconds from which it is settled.
std::string EncodeLedger(const version_ledger& ledger);
/// Returns nothing for a value that is no ledger.
std::optional<version_ledger> DecodeLedger(const std::string& value);

/// Key of the row of a service's ledger in one era: a condition on a row of an
/// earlier era could hold for another state of it.
std::string LedgerKey(const std::string& service, int64_t era);
/// The service of such a key; empty for keys of other rows and eras.
std::optional<std::string> ServiceOfLedgerKey(const std::string& key,
                                              int64_t era);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STREAMS_SKYLARKCROFT_VERSION_LEDGER_H_
