#include <catch2/catch.hpp>

#include "skylarkcroft/platform/skylarkcroft_object_store.h"
#include "tests/platform/platform_fixture.h"

namespace skylarkcroft::standin {
namespace {

struct object_fixture : platform_fixture {
  explicit object_fixture(const platform_options& options = {},
                          milliseconds timeout = kTestLimit)
      : platform_fixture(options),
        objects(MakeObjectStoreClient(client, platform.address(), timeout)) {}

  object_write_result Put(const std::string& key, const std::string& body,
                          put_condition condition = put_condition::kNone) {
    return Await<object_write_result>(
        [&](auto done) { objects->Put(key, body, condition, done); });
  }
  object_read_result Get(const std::string& key) {
    return Await<object_read_result>(
        [&](auto done) { objects->Get(key, done); });
  }
  object_write_result Delete(const std::string& key) {
    return Await<object_write_result>(
        [&](auto done) { objects->Delete(key, done); });
  }

  std::unique_ptr<object_store> objects;
};

TEST_CASE("an object is stored, read and deleted under any key", "[objects]") {
  object_fixture fixture;
  const std::string key = "night/route sheet?1%#\xc3\xa9";
  const std::string body("a\0b", 3);
  CHECK(fixture.Get(key).outcome == read_outcome::kMissing);
  const object_write_result put = fixture.Put(key, body);
  CHECK(put.outcome == object_write_outcome::kDone);
  CHECK_FALSE(put.etag.empty());
  CHECK(fixture.Get(key) ==
        object_read_result{read_outcome::kFound, body, put.etag});
  CHECK(fixture.Put(key, body).etag != put.etag);
  CHECK(fixture.Delete(key).outcome == object_write_outcome::kDone);
  CHECK(fixture.Delete(key).outcome == object_write_outcome::kDone);
  CHECK(fixture.Get(key).outcome == read_outcome::kMissing);
}

TEST_CASE("a put if absent never replaces an object", "[objects]") {
  object_fixture fixture;
  CHECK(fixture.Put("k", "1", put_condition::kIfAbsent).outcome ==
        object_write_outcome::kDone);
  CHECK(fixture.Put("k", "2", put_condition::kIfAbsent).outcome ==
        object_write_outcome::kExists);
  CHECK(fixture.Get("k").body == "1");
}

TEST_CASE("a HEAD has the entity tag and no body", "[objects]") {
  object_fixture fixture;
  const object_write_result put = fixture.Put("k", "1");
  const http_result head = fixture.Call({"HEAD", "/objects/k", {}, ""});
  CHECK(head.Ok());
  CHECK(head.response.headers.Get("ETag") == put.etag);
  CHECK(head.response.body.empty());
}

TEST_CASE("faults of the object store give each its outcome",
          "[objects][fault]") {
  object_fixture fixture({}, milliseconds(100));
  SECTION("a lost answer is resolved by reading back") {
    fixture.Admin("fault",
                  R"({"service":"objects","mode":"lose_answer","count":1})");
    CHECK(fixture.Put("k", "1", put_condition::kIfAbsent).outcome ==
          object_write_outcome::kUnknown);
    CHECK(fixture.Get("k").body == "1");
  }
  SECTION("an outage") {
    fixture.Admin("fault",
                  R"({"service":"objects","mode":"outage","count":2})");
    CHECK(fixture.Put("k", "1").outcome == object_write_outcome::kUnknown);
    CHECK(fixture.Get("k").outcome == read_outcome::kUnavailable);
    CHECK(fixture.Get("k").outcome == read_outcome::kMissing);
  }
  SECTION("a hang") {
    fixture.Admin("fault", R"({"service":"objects","mode":"hang","count":1})");
    CHECK(fixture.Delete("k").outcome == object_write_outcome::kUnknown);
  }
  SECTION("a throttled call") {
    fixture.Admin("fault",
                  R"({"service":"objects","mode":"throttle","count":2})");
    CHECK(fixture.Put("k", "1").outcome == object_write_outcome::kRejected);
    CHECK(fixture.Get("k").outcome == read_outcome::kUnavailable);
  }
}

TEST_CASE("the object store's rates are its own", "[objects][rate]") {
  platform_options options;
  options.writes_per_s = 1;
  options.reads_per_s = 1;
  object_fixture fixture(options);
  CHECK(fixture.Put("k", "1").outcome == object_write_outcome::kDone);
  CHECK(fixture.Put("k", "2").outcome == object_write_outcome::kRejected);
  CHECK(fixture.Get("k").body == "1");
  CHECK(fixture.Get("k").outcome == read_outcome::kUnavailable);
  fixture.now += std::chrono::seconds(1);
  CHECK(fixture.Put("k", "2").outcome == object_write_outcome::kDone);
}

}  // namespace
}  // namespace skylarkcroft::standin
