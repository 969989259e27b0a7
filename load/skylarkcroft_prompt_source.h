#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_PROMPT_SOURCE_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_PROMPT_SOURCE_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "load/skylarkcroft_experiment_definition.h"

namespace skylarkcroft::load {

/// Prompts of one caller group, from a seed. Every prompt differs from all
/// others after its shared words.
class prompt_source {
 public:
  /// `label` starts the shared words, so that groups do not share prefixes.
  prompt_source(const prompt_shape& shape, const std::string& label,
                uint64_t seed);

  std::string Next();

 private:
  prompt_shape shape_;
  std::vector<std::string> shared_;
  int shared_words_;
  uint64_t number_ = 0;
  std::mt19937_64 random_;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_PROMPT_SOURCE_H_
