#include "skylarkcroft/platform/skylarkcroft_uri_path.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>

namespace skylarkcroft {
namespace {

constexpr int kSpaceAsPercent = 0;

struct free_deleter {
  void operator()(char* text) const { std::free(text); }
};
using c_string = std::unique_ptr<char, free_deleter>;

}  // namespace

std::string EncodeUriPath(const std::string& text) {
  std::string encoded;
  size_t start = 0;
  while (true) {
    const size_t slash = text.find('/', start);
    const std::string segment = text.substr(start, slash - start);
    const c_string part(evhttp_uriencode(
        segment.data(), static_cast<ev_ssize_t>(segment.size()),
        kSpaceAsPercent));
    encoded += part.get();
    if (slash == std::string::npos) {
      return encoded;
    }
    encoded += '/';
    start = slash + 1;
  }
}

std::string DecodeUriPath(const std::string& text) {
  size_t size = 0;
  const c_string decoded(
      evhttp_uridecode(text.c_str(), kSpaceAsPercent, &size));
  return {decoded.get(), size};
}

}  // namespace skylarkcroft
