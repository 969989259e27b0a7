#include "skylarkcroft/internal/skylarkcroft_read_file.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace skylarkcroft {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file || std::filesystem::is_directory(path)) {
    throw file_error("cannot read " + path,
                     "check the path and its permissions");
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace skylarkcroft
