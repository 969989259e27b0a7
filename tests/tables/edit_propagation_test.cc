#include <catch2/catch.hpp>

#include "skylarkcroft/mesh/skylarkcroft_member_list.h"
#include "skylarkcroft/tables/skylarkcroft_edit_propagation.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kStalenessBound{3000};
constexpr milliseconds kSuspicionTimeout{1000};
const time_point kStart{};
using names = std::vector<std::string>;

struct three_member_list {
  three_member_list() : list({kSuspicionTimeout, milliseconds(3600 * 1000)}) {
    for (const char* name : {"a", "b", "c"}) {
      list.HandleMemberRecord(RecordOf(name, 1), {}, kStart);
      list.RecordMessage(name, 1, 4, kStart);
    }
  }
  static mesh_record RecordOf(const std::string& name, int64_t version) {
    return {name, "member", 1, version, ""};
  }
  edit_propagation PropagationAfter(milliseconds after) const {
    return AssessPropagation(list, {5, kStart + milliseconds(1)},
                             kStalenessBound, kStart + milliseconds(1) + after);
  }

  member_list list;
};

TEST_CASE("an edit is pending on members that have not reported it",
          "[tables][spread]") {
  three_member_list members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  const edit_propagation propagation =
      members.PropagationAfter(milliseconds(20));
  CHECK(propagation.active_on == names{"a"});
  CHECK(propagation.pending == names{"b", "c"});
  CHECK(propagation.stopped.empty());
  CHECK(MembersToAwait(propagation, members.list) == names{"b", "c"});
}

TEST_CASE("the only silent member counts as stopped after the staleness bound",
          "[tables][spread]") {
  three_member_list members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  members.list.RecordMessage("b", 1, 6, kStart + milliseconds(10));
  CHECK(members.PropagationAfter(kStalenessBound).pending == names{"c"});
  const edit_propagation propagation =
      members.PropagationAfter(kStalenessBound + milliseconds(1));
  CHECK(propagation.stopped == names{"c"});
  CHECK(propagation.pending.empty());
}

TEST_CASE("two silent members stay pending, as they may confirm each other",
          "[tables][spread]") {
  three_member_list members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  CHECK(members.PropagationAfter(10 * kStalenessBound).pending ==
        names{"b", "c"});
}

TEST_CASE("a member that reports an older revision stays pending",
          "[tables][spread]") {
  three_member_list members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  members.list.RecordMessage("b", 1, 5, kStart + milliseconds(10));
  members.list.RecordMessage("c", 1, 4, kStart + milliseconds(10));
  CHECK(members.PropagationAfter(10 * kStalenessBound).pending == names{"c"});
}

TEST_CASE("removed members are not awaited, and are not pending if they left",
          "[tables][spread]") {
  three_member_list members;
  members.list.RecordMessage("a", 1, 5, kStart + milliseconds(10));
  members.list.RecordMessage("b", 1, 5, kStart + milliseconds(10));
  member_details details;
  details.is_draining = GENERATE(false, true);
  members.list.HandleMemberRecord(three_member_list::RecordOf("c", 2), details,
                                  kStart);
  members.list.Suspect("c", 1, 2, kStart);
  members.list.Tick(kStart + kSuspicionTimeout);
  const edit_propagation propagation =
      members.PropagationAfter(milliseconds(20));
  CHECK(propagation.pending == (details.is_draining ? names{} : names{"c"}));
  CHECK(MembersToAwait(propagation, members.list).empty());
}

}  // namespace
}  // namespace skylarkcroft
