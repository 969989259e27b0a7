#ifndef SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_MESSAGE_H_
#define SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_MESSAGE_H_

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <string>
#include <string_view>

namespace skylarkcroft {

/// One header field of an http_headers; valid until that changes or ends.
struct header_view {
  std::string_view name;
  std::string_view value;

  bool operator==(const header_view&) const = default;
};

/// One header field; names compare without regard to case.
struct http_header {
  std::string name;
  std::string value;

  bool operator==(const http_header&) const = default;
};

inline bool operator==(const header_view& left, const http_header& right) {
  return left.name == right.name && left.value == right.value;
}

/// The fields of an http_headers, in their order.
class header_range {
 public:
  class iterator {
   public:
    using iterator_category = std::input_iterator_tag;
    using value_type = header_view;
    using difference_type = std::ptrdiff_t;
    using pointer = const header_view*;
    using reference = header_view;

    explicit iterator(std::string_view rest) : rest_(rest) { Decode(); }
    header_view operator*() const { return field_; }
    const header_view* operator->() const { return &field_; }
    iterator& operator++() {
      Decode();
      return *this;
    }
    bool operator==(const iterator& other) const {
      return field_.name.data() == other.field_.name.data();
    }

   private:
    /// Takes the next field off `rest_`; leaves an empty one at the end.
    void Decode();

    std::string_view rest_;
    header_view field_;
  };

  explicit header_range(std::string_view encoded) : encoded_(encoded) {}
  [[nodiscard]] iterator begin() const { return iterator(encoded_); }
  [[nodiscard]] static iterator end() { return iterator({}); }
  /// Must not be called where there are no fields.
  [[nodiscard]] header_view front() const { return *begin(); }

 private:
  std::string_view encoded_;
};

/// Ordered header fields, kept in one buffer: a field costs its bytes and two
/// to ten for their lengths, so that many short fields cost about as much
/// memory as they have bytes.
class http_headers {
 public:
  http_headers() = default;
  http_headers(std::initializer_list<http_header> fields);

  void Add(std::string_view name, std::string_view value);
  /// Value of the first field called `name`, or an empty string.
  [[nodiscard]] std::string Get(std::string_view name) const;
  [[nodiscard]] bool Has(std::string_view name) const;
  [[nodiscard]] header_range fields() const { return header_range(encoded_); }
  /// Memory that the fields take, in bytes.
  [[nodiscard]] size_t storage_bytes() const { return encoded_.capacity(); }

  bool operator==(const http_headers&) const = default;

 private:
  /// For each field the lengths of its name and value, seven bits a byte, then
  /// the name and the value.
  std::string encoded_;
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
