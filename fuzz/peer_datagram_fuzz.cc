#include "fuzz/fuzz_input.h"
#include "skylarkcroft/peers/skylarkcroft_peer_report.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_notice.h"
#include "skylarkcroft/store/skylarkcroft_table_changes.h"
#include "skylarkcroft/streams/skylarkcroft_stream_row.h"
#include "skylarkcroft/streams/skylarkcroft_version_ledger.h"

namespace skylarkcroft {

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode([&] {
    static_cast<void>(DecodeReport(text));
    static_cast<void>(DecodeChanges(text));
    static_cast<void>(DecodeNotice(text));
    static_cast<void>(DecodeRequestNotice(text));
    static_cast<void>(DecodeStreamNotice(text));
    static_cast<void>(DecodeStreamRow(std::string(text)));
    static_cast<void>(DecodeLedger(std::string(text)));
  });
}

}  // namespace skylarkcroft
