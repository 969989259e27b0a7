#ifndef SKYLARKCROFT_CLI_SKYLARKCROFT_READ_FILE_H_
#define SKYLARKCROFT_CLI_SKYLARKCROFT_READ_FILE_H_

#include <string>

namespace skylarkcroft {

/// Whole content of the file at `path`. Throws file_error.
std::string ReadFile(const std::string& path);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLI_SKYLARKCROFT_READ_FILE_H_
