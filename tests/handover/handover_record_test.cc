#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/handover/skylarkcroft_handover_record.h"
#include "skylarkcroft/handover/skylarkcroft_peer_signature.h"
#include "skylarkcroft/handover/skylarkcroft_successors.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kNow = 1700000000000;

TEST_CASE("a decoded handover equals the encoded one", "[handover]") {
  handover_record record;
  record.id = "n1.ab.7";
  record.caller_name = "dispatch";
  record.route_name = "ask";
  record.original.method = "POST";
  record.original.target = "/v1/completions";
  record.original.body = R"({"prompt":"a"})";
  record.tokens = {"one", "two"};
  record.usage = "{}";
  record.deadline_left_ms = 900;
  const auto read = DecodeHandover(EncodeHandover({record, record}));
  REQUIRE(read.has_value());
  CHECK(*read == std::vector<handover_record>{record, record});
  CHECK_FALSE(DecodeHandover("{}").has_value());
  CHECK_FALSE(DecodeHandover("[{}]").has_value());
}

// Guards against a request that was not adopted and is taken for adopted.
TEST_CASE("a reply tells which of the offered requests were adopted",
          "[handover]") {
  const std::vector<std::string> offered{"n1.a.1", "n1.a.2"};
  const std::vector<std::string> none;
  CHECK(DecodeAdopted(EncodeAdopted({"n1.a.2", "n1.a.9"}), offered) ==
        std::vector<std::string>{"n1.a.2"});
  CHECK(DecodeAdopted(EncodeAdopted({}), offered) == none);
  // Replies of earlier versions have a count and no ids.
  CHECK(DecodeAdopted(R"({"taken":2})", offered) == offered);
  CHECK(DecodeAdopted(R"({"taken":1})", offered) == none);
  CHECK(DecodeAdopted(R"({"taken":2,"ids":7})", offered) == none);
  CHECK(DecodeAdopted(R"({"taken":2,"ids":[7,{}]})", offered) == none);
  CHECK(DecodeAdopted("not JSON", offered) == none);
}

TEST_CASE("only a recent signature with the shared key is accepted",
          "[handover][hostile]") {
  const std::string signature = SignForPeer("key", "body", kNow);
  CHECK(VerifyPeer("key", "body", signature, kNow));
  CHECK_FALSE(VerifyPeer("other", "body", signature, kNow));
  CHECK_FALSE(VerifyPeer("key", "bodY", signature, kNow));
  CHECK_FALSE(VerifyPeer("key", "body", signature, kNow + 31000));
  CHECK_FALSE(VerifyPeer("key", "body", "", kNow));
}

TEST_CASE("the owner of a request is its id without the trailing number",
          "[handover]") {
  CHECK(OwnerOf("n1.ab.7") == "n1.ab");
  CHECK(OwnerOf("n1.7").empty());
  CHECK(OwnerOf("x").empty());
  CHECK(NodeNameOf("n1.ab") == "n1");
}

TEST_CASE("requests handed over repeatedly are found at the last successor",
          "[handover]") {
  successor_table known;
  known.Record({{"n1.a"}, "n2"});
  known.Record({{"n2.b", "n1.a"}, "n3"});
  CHECK(known.HolderOf("n1.a") == "n3");
  CHECK(known.HolderOf("n2.b") == "n3");
  CHECK(known.HolderOf("n3.c").empty());
  const auto read = DecodeDrain(EncodeDrain({{"n1.a"}, "n2"}));
  REQUIRE(read.has_value());
  CHECK(read->successor == "n2");
  CHECK_FALSE(DecodeDrain("7").has_value());
}

}  // namespace
}  // namespace skylarkcroft
