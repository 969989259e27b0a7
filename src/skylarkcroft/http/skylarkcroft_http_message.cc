#include "skylarkcroft/http/skylarkcroft_http_message.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr unsigned kLengthBits = 7;
constexpr unsigned kMoreLength = 1U << kLengthBits;

void AppendLength(std::string& out, size_t length) {
  while (length >= kMoreLength) {
    out.push_back(static_cast<char>(kMoreLength | (length % kMoreLength)));
    length >>= kLengthBits;
  }
  out.push_back(static_cast<char>(length));
}

size_t TakeLength(std::string_view& rest) {
  size_t length = 0;
  for (unsigned shift = 0; !rest.empty(); shift += kLengthBits) {
    const auto next = static_cast<unsigned char>(rest.front());
    rest.remove_prefix(1);
    length |= static_cast<size_t>(next % kMoreLength) << shift;
    if (next < kMoreLength) {
      break;
    }
  }
  return length;
}

std::string_view TakeBytes(std::string_view& rest, size_t size) {
  const std::string_view bytes = rest.substr(0, size);
  rest.remove_prefix(bytes.size());
  return bytes;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

void header_range::iterator::Decode() {
  field_ = {};
  if (rest_.empty()) {
    return;
  }
  const size_t name_size = TakeLength(rest_);
  const size_t value_size = TakeLength(rest_);
  field_.name = TakeBytes(rest_, name_size);
  field_.value = TakeBytes(rest_, value_size);
}

http_headers::http_headers(std::initializer_list<http_header> fields) {
  for (const http_header& field : fields) {
    Add(field.name, field.value);
  }
}

void http_headers::Add(std::string_view name, std::string_view value) {
  AppendLength(encoded_, name.size());
  AppendLength(encoded_, value.size());
  encoded_.append(name).append(value);
}

std::string http_headers::Get(std::string_view name) const {
  for (const header_view field : fields()) {
    if (EqualsIgnoringCase(field.name, name)) {
      return std::string(field.value);
    }
  }
  return {};
}

bool http_headers::Has(std::string_view name) const {
  const header_range all = fields();
  return std::any_of(all.begin(), header_range::end(),
                     [&](const header_view& field) {
                       return EqualsIgnoringCase(field.name, name);
                     });
}

std::string http_request::path() const {
  return target.substr(0, target.find('?'));
}

std::string http_request::QueryParameter(std::string_view name) const {
  const size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  evkeyvalq parameters{};
  if (evhttp_parse_query_str(target.c_str() + mark + 1, &parameters) != 0) {
    return {};
  }
  const char* value =
      evhttp_find_header(&parameters, std::string(name).c_str());
  std::string found = value == nullptr ? "" : value;
  evhttp_clear_headers(&parameters);
  return found;
}

}  // namespace skylarkcroft
