#include "skylarkcroft/relay/skylarkcroft_forwarded_head.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

namespace skylarkcroft {
namespace {

// Headers of one connection (RFC 9110, section 7.6.1), and framing.
constexpr std::array<std::string_view, 10> kConnectionHeaders = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",
    "Expect",     "Proxy-Authenticate"};

bool IsOneOf(std::string_view name, const std::vector<std::string>& names) {
  return std::any_of(names.begin(), names.end(), [&](const std::string& one) {
    return EqualsIgnoringCase(name, one);
  });
}

// The names listed in the Connection headers.
std::vector<std::string> ConnectionOptions(const http_headers& headers) {
  std::vector<std::string> options;
  for (const http_header& field : headers.fields()) {
    if (!EqualsIgnoringCase(field.name, "Connection")) {
      continue;
    }
    std::string_view left = field.value;
    while (!left.empty()) {
      const size_t comma = std::min(left.find(','), left.size());
      std::string_view item = left.substr(0, comma);
      left.remove_prefix(std::min(comma + 1, left.size()));
      while (!item.empty() && item.front() == ' ') {
        item.remove_prefix(1);
      }
      while (!item.empty() && item.back() == ' ') {
        item.remove_suffix(1);
      }
      options.emplace_back(item);
    }
  }
  return options;
}

bool IsOfConnection(std::string_view name,
                    const std::vector<std::string>& options) {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [&](std::string_view known) {
                       return EqualsIgnoringCase(name, known);
                     }) ||
         IsOneOf(name, options);
}

void AddField(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

bool IsSetByRelay(std::string_view name, const forwarded_request& set,
                  const header_names& names) {
  const bool resumed = set.last_event_id.has_value() &&
                       EqualsIgnoringCase(name, names.last_event_id);
  return resumed || EqualsIgnoringCase(name, names.remaining_ms) ||
         EqualsIgnoringCase(name, names.key) ||
         EqualsIgnoringCase(name, names.workspace) ||
         EqualsIgnoringCase(name, names.expected_upstream) ||
         EqualsIgnoringCase(name, names.urgency) ||
         IsOneOf(name, names.reserved);
}

}  // namespace

std::string FormatForwarded(const message_head& head, const std::string& body,
                            const forwarded_request& set,
                            const header_names& names) {
  constexpr size_t kUsualHeadBytes = 512;
  std::string out;
  out.reserve(kUsualHeadBytes + body.size());
  out.append(head.method).append(" ").append(head.target);
  out.append(" HTTP/1.1\r\n");
  const std::vector<std::string> options = ConnectionOptions(head.headers);
  for (const http_header& field : head.headers.fields()) {
    if (IsOfConnection(field.name, options) ||
        IsSetByRelay(field.name, set, names)) {
      continue;
    }
    AddField(out, field.name, field.value);
  }
  AddField(out, names.remaining_ms, std::to_string(set.remaining.count()));
  AddField(out, names.expected_upstream, set.upstream_id);
  if (!set.workspace.empty()) {
    AddField(out, names.workspace, set.workspace);
  }
  if (set.urgency.has_value()) {
    AddField(out, names.urgency, std::to_string(*set.urgency));
  }
  if (set.last_event_id.has_value()) {
    AddField(out, names.last_event_id, std::to_string(*set.last_event_id));
  }
  const bool framed = head.chunked || head.content_length.has_value();
  if (framed || !body.empty()) {
    AddField(out, "Content-Length", std::to_string(body.size()));
  }
  out.append("\r\n").append(body);
  return out;
}

http_headers ForwardedAnswerHeaders(const message_head& head) {
  const std::vector<std::string> options = ConnectionOptions(head.headers);
  http_headers kept;
  for (const http_header& field : head.headers.fields()) {
    if (!IsOfConnection(field.name, options)) {
      kept.Add(field.name, field.value);
    }
  }
  return kept;
}

}  // namespace skylarkcroft
