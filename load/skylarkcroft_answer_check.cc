#include "load/skylarkcroft_answer_check.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft::load {

answer_check::answer_check(expected_answer expected, token_text_fn token_text)
    : expected_(std::move(expected)), token_text_(std::move(token_text)) {}

std::string answer_check::Expected(int64_t index) const {
  return token_text_(expected_.model, expected_.prompt, index);
}

void answer_check::TakeToken(int64_t id, std::string_view text) {
  if (id <= last_id_) {
    ++faults_.repeated_tokens;
    return;
  }
  faults_.missing_tokens += id - last_id_ - 1;
  last_id_ = id;
  if (token_text_ && text != Expected(id)) {
    ++faults_.foreign_tokens;
  }
}

void answer_check::TakeFinishReason(std::string_view reason) {
  finished_ = true;
  if (reason == "length") {
    faults_.missing_tokens +=
        std::max<int64_t>(0, expected_.max_tokens - last_id_);
  }
}

void answer_check::TakeWhole(std::string_view text, int64_t tokens) {
  last_id_ = tokens;
  ended_ = true;
  if (!token_text_) {
    return;
  }
  std::string whole;
  for (int64_t index = 1; index <= tokens; ++index) {
    whole += Expected(index);
  }
  if (text != whole) {
    ++faults_.foreign_tokens;
  }
}

}  // namespace skylarkcroft::load
