#include <catch2/catch.hpp>

#include "skylarkcroft/mesh/skylarkcroft_member_list.h"
#include "skylarkcroft/tables/skylarkcroft_edit_spread.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kBound{3000};
constexpr milliseconds kSuspicion{1000};
const time_point kStart{};
using names = std::vector<std::string>;

struct three_members {
  three_members() : list({kSuspicion, milliseconds(3600 * 1000)}) {
    for (const char* name : {"a", "b", "c"}) {
      list.HandleMemberRecord(RecordOf(name, 1), {}, kStart);
      list.RecordMessage(name, 1, 4, kStart);
    }
  }
  static mesh_record RecordOf(const std::string& name, int64_t version) {
    return {name, "member", 1, version, ""};
  }
  edit_spread At(milliseconds after) const {
    return AssessSpread(list, {5, kStart + milliseconds(1)}, kBound,
                        kStart + milliseconds(1) + after);
  }

  member_list list;
};

TEST_CASE("an edit is pending on members that have not told of it",
          "[tables][spread]") {
  three_members members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  const edit_spread spread = members.At(milliseconds(20));
  CHECK(spread.in_force_on == names{"a"});
  CHECK(spread.pending == names{"b", "c"});
  CHECK(spread.stopped.empty());
  CHECK(Awaited(spread, members.list) == names{"b", "c"});
}

TEST_CASE("a member that is silent alone counts as stopped after the bound",
          "[tables][spread]") {
  three_members members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  members.list.RecordMessage("b", 1, 6, kStart + milliseconds(10));
  CHECK(members.At(kBound).pending == names{"c"});
  const edit_spread spread = members.At(kBound + milliseconds(1));
  CHECK(spread.stopped == names{"c"});
  CHECK(spread.pending.empty());
}

TEST_CASE("two silent members may confirm each other and stay pending",
          "[tables][spread]") {
  three_members members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  CHECK(members.At(10 * kBound).pending == names{"b", "c"});
}

TEST_CASE("a member that talks but lacks the edit stays pending",
          "[tables][spread]") {
  three_members members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  members.list.RecordMessage("b", 1, 5, kStart + milliseconds(10));
  members.list.RecordMessage("c", 1, 4, kStart + milliseconds(10));
  CHECK(members.At(10 * kBound).pending == names{"c"});
}

TEST_CASE("a removed member is not waited for, one that left is not listed",
          "[tables][spread]") {
  three_members members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  members.list.RecordMessage("b", 1, 5, kStart + milliseconds(10));
  member_details details;
  details.is_draining = GENERATE(false, true);
  members.list.HandleMemberRecord(three_members::RecordOf("c", 2), details,
                                  kStart);
  members.list.Suspect("c", 1, 2, kStart);
  members.list.Tick(kStart + kSuspicion);
  const edit_spread spread = members.At(milliseconds(20));
  CHECK(spread.pending == (details.is_draining ? names{} : names{"c"}));
  CHECK(Awaited(spread, members.list).empty());
}

}  // namespace
}  // namespace skylarkcroft
