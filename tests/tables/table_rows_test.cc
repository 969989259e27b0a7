#include <catch2/catch.hpp>
#include <string>

#include "skylarkcroft/tables/skylarkcroft_table_rows.h"

namespace skylarkcroft {
namespace {

TEST_CASE("a stored table whose document is not a string is read as empty",
          "[tables][rows]") {
  const std::string document =
      GENERATE(std::string(R"({"revision":1,"document":5})"),
               std::string(R"({"revision":1,"document":null})"),
               std::string(R"({"revision":1})"));
  const std::optional<table_documents> documents =
      DecodeTables({{RevisionKey(), 1, R"({"revision":1})"},
                    {TableKey(table_kind::kRoutes), 1, document},
                    {TableKey(table_kind::kPools), 1, document}});
  REQUIRE(documents.has_value());
  CHECK(documents->routes == "{}");
  CHECK(documents->pools == "{}");
}

}  // namespace
}  // namespace skylarkcroft
