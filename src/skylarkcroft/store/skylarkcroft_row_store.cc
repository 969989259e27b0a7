#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

std::string_view ToString(store_outcome outcome) {
  switch (outcome) {
    case store_outcome::kDone:
      return "done";
    case store_outcome::kConflict:
      return "conflict";
    case store_outcome::kHistoryGone:
      return "history_gone";
    case store_outcome::kRefused:
      return "refused";
    case store_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace skylarkcroft
