#include "skylarkcroft/relay/skylarkcroft_request_forwarding.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <vector>

namespace skylarkcroft {
namespace {

// Hop-by-hop headers (RFC 9110, section 7.6.1) and framing headers.
constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
    "Proxy-Authenticate",
    "Proxy-Authorization"};

bool ContainsName(std::string_view name,
                  const std::vector<std::string>& names) {
  return std::any_of(names.begin(), names.end(), [&](const std::string& other) {
    return EqualsIgnoringCase(name, other);
  });
}

std::string_view WithoutOuterWhitespace(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t";
  const size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

// Header names listed in the Connection headers; they are hop-by-hop, too.
std::vector<std::string> ConnectionOptions(const http_headers& headers) {
  std::vector<std::string> options;
  for (const header_view field : headers.fields()) {
    if (!EqualsIgnoringCase(field.name, "Connection")) {
      continue;
    }
    std::string_view remaining = field.value;
    while (!remaining.empty()) {
      const size_t comma = std::min(remaining.find(','), remaining.size());
      std::string_view item = remaining.substr(0, comma);
      remaining.remove_prefix(std::min(comma + 1, remaining.size()));
      options.emplace_back(WithoutOuterWhitespace(item));
    }
  }
  return options;
}

bool IsHopByHop(std::string_view name,
                const std::vector<std::string>& options) {
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [&](std::string_view known) {
                       return EqualsIgnoringCase(name, known);
                     }) ||
         ContainsName(name, options);
}

void AddField(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

bool IsReplacedByRelay(std::string_view name, const forwarding_fields& fields,
                       const header_names& names) {
  const bool sets_last_event_id = fields.last_event_id.has_value() &&
                                  EqualsIgnoringCase(name, names.last_event_id);
  return sets_last_event_id || EqualsIgnoringCase(name, names.remaining_ms) ||
         EqualsIgnoringCase(name, names.key) ||
         EqualsIgnoringCase(name, names.workspace) ||
         EqualsIgnoringCase(name, names.expected_upstream) ||
         EqualsIgnoringCase(name, names.urgency) ||
         ContainsName(name, names.reserved);
}

}  // namespace

std::string FormatUpstreamHead(const message_head& head, size_t body_bytes,
                               const forwarding_fields& fields,
                               const header_names& names) {
  constexpr size_t kTypicalHeadBytes = 512;
  std::string out;
  out.reserve(kTypicalHeadBytes);
  out.append(head.method).append(" ").append(head.target);
  out.append(" HTTP/1.1\r\n");
  const std::vector<std::string> options = ConnectionOptions(head.headers);
  for (const header_view field : head.headers.fields()) {
    if (IsHopByHop(field.name, options) ||
        IsReplacedByRelay(field.name, fields, names)) {
      continue;
    }
    AddField(out, field.name, field.value);
  }
  AddField(out, names.remaining_ms, std::to_string(fields.remaining.count()));
  AddField(out, names.expected_upstream, fields.upstream_id);
  if (!fields.workspace.empty()) {
    AddField(out, names.workspace, fields.workspace);
  }
  if (fields.urgency.has_value()) {
    AddField(out, names.urgency, std::to_string(*fields.urgency));
  }
  if (fields.last_event_id.has_value()) {
    AddField(out, names.last_event_id, std::to_string(*fields.last_event_id));
  }
  const bool framed = head.chunked || head.content_length.has_value();
  if (framed || body_bytes > 0) {
    AddField(out, "Content-Length", std::to_string(body_bytes));
  }
  out.append("\r\n");
  return out;
}

std::string FormatSeconds(milliseconds duration) {
  constexpr double kMillisPerSecond = 1000;
  constexpr size_t kMaxTextBytes = 32;
  std::array<char, kMaxTextBytes> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                static_cast<double>(duration.count()) / kMillisPerSecond);
  return text.data();
}

http_headers ClientResponseHeaders(const message_head& head) {
  const std::vector<std::string> options = ConnectionOptions(head.headers);
  http_headers forwarded;
  for (const header_view field : head.headers.fields()) {
    if (!IsHopByHop(field.name, options)) {
      forwarded.Add(field.name, field.value);
    }
  }
  return forwarded;
}

}  // namespace skylarkcroft
