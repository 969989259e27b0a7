#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_URI_PATH_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_URI_PATH_H_

#include <string>

namespace skylarkcroft {

/// Percent-encodes `text` for use within the path of a URI; slashes stay.
std::string EncodeUriPath(const std::string& text);
/// The reverse of EncodeUriPath().
std::string DecodeUriPath(const std::string& text);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_URI_PATH_H_
