#include "fuzz/fuzz_input.h"
#include "skylarkcroft/tables/skylarkcroft_table_rows.h"

namespace skylarkcroft {

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode([&] {
    const std::string document(text);
    const table_row revision{RevisionKey(), 1, document};
    static_cast<void>(DecodeRevision(revision));
    static_cast<void>(DecodeEdit({EditKey(1), 1, document}));
    const std::optional<table_documents> documents =
        DecodeTables({revision,
                      {TableKey(table_kind::kRoutes), 1, document},
                      {TableKey(table_kind::kPools), 1, document}});
    if (documents) {
      static_cast<void>(MakeTableSet(*documents));
    }
  });
}

}  // namespace skylarkcroft
