#include "load/skylarkcroft_prompt_source.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

namespace skylarkcroft::load {
namespace {

constexpr std::array<std::string_view, 16> kWords = {
    "route",    "stop",   "olive",  "citrus", "delivery", "diary",
    "activity", "slot",   "answer", "hour",   "street",   "driver",
    "order",    "survey", "wave",   "note"};

void AppendWords(std::string& text, int count, std::mt19937_64& random) {
  std::uniform_int_distribution<size_t> pick(0, kWords.size() - 1);
  for (int word = 0; word < count; ++word) {
    text += ' ';
    text += kWords.at(pick(random));
  }
}

}  // namespace

prompt_source::prompt_source(const prompt_shape& shape,
                             const std::string& label, uint64_t seed)
    : shape_(shape),
      shared_words_(std::min(
          shape.words - 1,
          static_cast<int>(std::lround(shape.words * shape.shared_part)))),
      random_(seed) {
  for (int group = 0; group < shape.shared_groups; ++group) {
    if (shared_words_ == 0) {
      shared_.emplace_back();
      continue;
    }
    std::string text = label + "-" + std::to_string(group);
    AppendWords(text, shared_words_ - 1, random_);
    shared_.push_back(text + ' ');
  }
}

std::string prompt_source::Next() {
  std::uniform_int_distribution<size_t> pick(0, shared_.size() - 1);
  std::string text = shared_[pick(random_)];
  ++number_;
  text += "request-" + std::to_string(number_) + "-" +
          std::to_string(random_() % 1'000'000);
  AppendWords(text, shape_.words - shared_words_ - 1, random_);
  return text;
}

}  // namespace skylarkcroft::load
