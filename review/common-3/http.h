// HTTP/1.1 messages, as far as the stand-ins need them.
#ifndef REVIEW_COMMON_3_HTTP_H_
#define REVIEW_COMMON_3_HTTP_H_

#include <strings.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

struct message {
  std::string first;  // The request line or the status line.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  [[nodiscard]] bool Has(std::string_view name) const {
    return Find(name) != nullptr;
  }
  [[nodiscard]] std::string Get(std::string_view name) const {
    const std::string* value = Find(name);
    return value == nullptr ? "" : *value;
  }
  [[nodiscard]] int Status() const {
    return first.size() > 9 ? std::atoi(first.c_str() + 9) : 0;
  }
  [[nodiscard]] std::string Target() const {
    const size_t from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
  [[nodiscard]] std::string Path() const {
    const std::string target = Target();
    return target.substr(0, target.find('?'));
  }
  // A query parameter; its value is not decoded.
  [[nodiscard]] std::string Query(const std::string& name) const {
    const std::string target = Target();
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t end = target.find('&', at + 1);
      const std::string item =
          target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (item.rfind(name + "=", 0) == 0) {
        return item.substr(name.size() + 1);
      }
      at = end;
    }
    return "";
  }

 private:
  [[nodiscard]] const std::string* Find(std::string_view name) const {
    for (const auto& [known, value] : fields) {
      if (known.size() == name.size() &&
          strncasecmp(known.data(), name.data(), name.size()) == 0) {
        return &value;
      }
    }
    return nullptr;
  }
};

enum class parse_state { kMore, kWhole, kBroken };

// Reads a head; returns its length, 0 while it is not whole.
inline size_t ParseHead(const std::string& in, message& out) {
  const size_t end = in.find("\r\n\r\n");
  if (end == std::string::npos) {
    return 0;
  }
  out = message{};
  size_t at = in.find("\r\n");
  out.first = in.substr(0, at);
  while (at < end) {
    const size_t from = at + 2;
    at = in.find("\r\n", from);
    const size_t colon = in.find(':', from);
    size_t value = colon + 1;
    while (value < at && in[value] == ' ') {
      ++value;
    }
    out.fields.emplace_back(in.substr(from, colon - from),
                            in.substr(value, at - value));
  }
  return end + 4;
}

// Reads chunks from `at`; `used` is the end of what is whole.
inline parse_state ParseChunks(const std::string& in, size_t at,
                               std::string& body, size_t& used) {
  while (true) {
    const size_t line = in.find("\r\n", at);
    if (line == std::string::npos) {
      return parse_state::kMore;
    }
    char* stop = nullptr;
    const size_t size = std::strtoul(in.c_str() + at, &stop, 16);
    if (stop == in.c_str() + at) {
      return parse_state::kBroken;
    }
    if (in.size() < line + 4 + size) {
      return parse_state::kMore;
    }
    body.append(in, line + 2, size);
    at = line + 4 + size;
    if (size == 0) {
      used = at;
      return parse_state::kWhole;
    }
  }
}

// Takes one message with a length or chunks off `in`. `body` has what has come
// so far also where the message is not whole.
inline parse_state TakeMessage(std::string& in, message& out) {
  const size_t head = ParseHead(in, out);
  if (head == 0) {
    return parse_state::kMore;
  }
  size_t used = head;
  parse_state state = parse_state::kWhole;
  if (out.Has("Transfer-Encoding")) {
    state = ParseChunks(in, head, out.body, used);
  } else {
    const size_t length =
        std::strtoul(out.Get("Content-Length").c_str(), nullptr, 10);
    out.body = in.substr(head, length);
    state =
        out.body.size() == length ? parse_state::kWhole : parse_state::kMore;
    used = head + length;
  }
  if (state == parse_state::kWhole) {
    in.erase(0, used);
  }
  return state;
}

}  // namespace review

#endif  // REVIEW_COMMON_3_HTTP_H_
