#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "skylarkcroft/quarantine/skylarkcroft_request_key.h"

namespace skylarkcroft {

TEST_CASE("A request and its repeat have the same key", "[quarantine][key]") {
  const std::string body = "{\"prompt\":1}";
  const std::string same_body = "{\"prompt\":1}";
  CHECK(MakeRequestKey({"s", "POST", "/p?q=1", "w", body}) ==
        MakeRequestKey({"s", "POST", "/p?q=1", "w", same_body}));
}

TEST_CASE("Requests that differ in one field have different keys",
          "[quarantine][key]") {
  const std::set<request_key> keys{
      MakeRequestKey({"s", "POST", "/p", "w", "b"}),
      MakeRequestKey({"t", "POST", "/p", "w", "b"}),
      MakeRequestKey({"s", "PUT", "/p", "w", "b"}),
      MakeRequestKey({"s", "POST", "/p?q", "w", "b"}),
      MakeRequestKey({"s", "POST", "/p", "x", "b"}),
      MakeRequestKey({"s", "POST", "/p", "w", "c"})};
  CHECK(keys.size() == 6);
}

TEST_CASE("Bytes that move from one field to the next change the key",
          "[quarantine][key]") {
  const std::set<request_key> keys{MakeRequestKey({"ab", "", "", "", ""}),
                                   MakeRequestKey({"a", "b", "", "", ""}),
                                   MakeRequestKey({"", "ab", "", "", ""}),
                                   MakeRequestKey({"", "", "", "a", "b"}),
                                   MakeRequestKey({"", "", "", "", "ab"})};
  CHECK(keys.size() == 5);
}

TEST_CASE("A request without any field has a key", "[quarantine][key]") {
  CHECK(MakeRequestKey({}) != 0);
}

}  // namespace skylarkcroft
