#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include "fuzz/fuzz_input.h"

// Runs a fuzz target over the files of the folders given, without libFuzzer.
int main(int argc, const char** argv) {
  size_t files = 0;
  for (int index = 1; index < argc; ++index) {
    for (const auto& entry : std::filesystem::directory_iterator(argv[index])) {
      std::ifstream in(entry.path(), std::ios::binary);
      const std::string text{std::istreambuf_iterator<char>(in), {}};
      try {
        LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(text.data()),
                               text.size());
      } catch (const std::exception& failure) {
        std::cerr << entry.path() << ": " << failure.what() << "\n";
        return 1;
      }
      ++files;
    }
  }
  std::cout << files << " inputs\n";
  return files == 0 ? 1 : 0;
}
