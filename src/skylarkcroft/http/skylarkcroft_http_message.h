#ifndef SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_MESSAGE_H_
#define SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace skylarkcroft {

/// One header field; names compare without regard to case.
struct http_header {
  std::string name;
  std::string value;

  bool operator==(const http_header&) const = default;
};

/// Ordered header fields.
class http_headers {
 public:
  http_headers() = default;
  http_headers(std::initializer_list<http_header> fields) : fields_(fields) {}

  void Add(std::string name, std::string value);
  /// Value of the first field called `name`, or an empty string.
  [[nodiscard]] std::string Get(std::string_view name) const;
  [[nodiscard]] bool Has(std::string_view name) const;
  [[nodiscard]] const std::vector<http_header>& fields() const {
    return fields_;
  }

  bool operator==(const http_headers&) const = default;

 private:
  std::vector<http_header> fields_;
};

/// A whole request, as received or to be sent. `target` is the path with its
/// query; `path` is without.
struct http_request {
  std::string method = "GET";
  std::string target = "/";
  http_headers headers;
  std::string body;

  [[nodiscard]] std::string path() const;
  /// Decoded value of query parameter `name`, or an empty string.
  [[nodiscard]] std::string QueryParameter(std::string_view name) const;

  bool operator==(const http_request&) const = default;
};

/// A whole response.
struct http_response {
  int status = 0;
  http_headers headers;
  std::string body;

  bool operator==(const http_response&) const = default;
};

/// True when both are equal without regard to ASCII case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_MESSAGE_H_
