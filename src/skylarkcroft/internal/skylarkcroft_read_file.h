#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_READ_FILE_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_READ_FILE_H_

#include <string>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {

/// A file could not be read.
class file_error : public error {
 public:
  using error::error;
};

/// Whole content of the file at `path`. Throws file_error.
std::string ReadFile(const std::string& path);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_READ_FILE_H_
