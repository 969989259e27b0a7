#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_DOCUMENT_CHECK_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_DOCUMENT_CHECK_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkcroft {

/// A file to be validated.
struct document_file {
  std::string name;
  std::string text;

  bool operator==(const document_file&) const = default;
};

enum class document_kind { kSettings, kRoutes, kPools };

std::string_view ToString(document_kind kind);

/// The first fault of a document.
struct document_fault {
  std::string path;
  std::string reason;
  std::string remedy;

  bool operator==(const document_fault&) const = default;
};

/// Result for one file. `kind` is empty when the file is not JSON.
struct document_report {
  std::string file;
  std::optional<document_kind> kind;
  std::optional<document_fault> fault;

  bool operator==(const document_report&) const = default;
};

using document_check_fn = std::function<std::vector<document_report>(
    const std::vector<document_file>&)>;

/// Validates settings and tables without a node. A document with the key
/// `routes` is a routes table, one with `pools` a pools table, and any other
/// one settings. Each routes table is also checked against each pools table of
/// the same directory. One report a file, in order.
std::vector<document_report> CheckDocuments(
    const std::vector<document_file>& files);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_DOCUMENT_CHECK_H_
