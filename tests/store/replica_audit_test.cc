#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "skylarkcroft/store/skylarkcroft_replica_audit.h"
#include "skylarkcroft/store/skylarkcroft_replica_digest.h"

namespace skylarkcroft {
namespace {

constexpr time_point kNow{std::chrono::seconds(100)};
constexpr milliseconds kInterval{2000};

stored_row Row(const std::string& key, int64_t version) {
  return {"t", key, "value", version, false};
}

table_position At(int64_t version, std::optional<uint64_t> digest) {
  return {{1, version}, milliseconds(7), digest};
}

}  // namespace

TEST_CASE("A digest tells which rows a replica has, not how it got them",
          "[store][audit]") {
  replica_digest read;
  read.Reset({Row("a", 1), Row("b", 5)});
  replica_digest followed;
  followed.Apply(Row("b", 2));
  followed.Apply(Row("c", 3));
  followed.Apply(Row("a", 1));
  followed.Apply({"t", "c", "", 4, true});
  CHECK(followed.value() != read.value());
  followed.Apply(Row("b", 5));
  CHECK(followed.value() == read.value());
  CHECK(followed.VersionOf("b") == 5);
  CHECK(followed.VersionOf("c") == 0);
}

TEST_CASE("A replica is read again if most peers have other rows",
          "[store][audit]") {
  replica_audit audit(kInterval);
  CHECK_FALSE(audit.OnPeerReport(At(5, 1), At(5, 1), kNow));
  CHECK_FALSE(audit.OnPeerReport(At(5, 2), At(5, 1), kNow));
  CHECK(audit.OnPeerReport(At(5, 2), At(5, 1), kNow));
}

TEST_CASE("Replicas at other changes and peers without a digest tell nothing",
          "[store][audit]") {
  replica_audit audit(kInterval);
  CHECK_FALSE(audit.OnPeerReport(At(6, 2), At(5, 1), kNow));
  CHECK_FALSE(audit.OnPeerReport(At(5, std::nullopt), At(5, 1), kNow));
  CHECK_FALSE(audit.OnPeerReport(At(5, 2), At(5, std::nullopt), kNow));
}

TEST_CASE("A replica that keeps differing is read again after a pause",
          "[store][audit]") {
  replica_audit audit(kInterval);
  CHECK(audit.OnPeerReport(At(5, 2), At(5, 1), kNow));
  CHECK_FALSE(audit.OnPeerReport(At(6, 2), At(6, 1),
                                 kNow + kInterval - milliseconds(1)));
  CHECK(audit.OnPeerReport(At(6, 2), At(6, 1), kNow + kInterval));
}

// Guards against a fleet that reads its table because one replica is wrong.
TEST_CASE("One replica that differs does not make the others read",
          "[store][audit][scale]") {
  constexpr int kPeers = 346;
  replica_audit audit(kInterval);
  int reads = 0;
  for (int peer = 0; peer < kPeers; ++peer) {
    const uint64_t digest = peer == kPeers / 2 ? 2 : 1;
    reads += audit.OnPeerReport(At(5, digest), At(5, 1), kNow) ? 1 : 0;
  }
  CHECK(reads == 0);
}

}  // namespace skylarkcroft
