#include "skylarkcroft/http/skylarkcroft_http_message.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>
#include <utility>

namespace skylarkcroft {

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

void http_headers::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

std::string http_headers::Get(std::string_view name) const {
  for (const http_header& field : fields_) {
    if (EqualsIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

bool http_headers::Has(std::string_view name) const {
  return std::any_of(fields_.begin(), fields_.end(),
                     [&](const http_header& field) {
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
