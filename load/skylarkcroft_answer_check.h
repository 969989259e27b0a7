#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_ANSWER_CHECK_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_ANSWER_CHECK_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace skylarkcroft::load {

/// The text of token `index`, from 1, that the upstream under test gives for
/// `prompt`; empty hook: texts are not compared.
using token_text_fn = std::function<std::string(
    const std::string& model, const std::string& prompt, int64_t index)>;

/// Faults found in one answer.
struct answer_faults {
  int64_t repeated_tokens = 0;
  int64_t missing_tokens = 0;
  /// Tokens whose text belongs to another answer.
  int64_t foreign_tokens = 0;
  /// Events that do not fit the protocol.
  int64_t malformed_events = 0;

  [[nodiscard]] bool Any() const { return *this != answer_faults{}; }
  bool operator==(const answer_faults&) const = default;
};

/// What a caller expects of one completion.
struct expected_answer {
  std::string model;
  std::string prompt;
  int64_t max_tokens = 0;
};

/// Checks that one completion arrives whole and is the caller's own, over all
/// connections that carried parts of it.
class answer_check {
 public:
  answer_check(expected_answer expected, token_text_fn token_text);

  /// One streamed token, `id` counted from 1 over the whole answer.
  void TakeToken(int64_t id, std::string_view text);
  /// The reason of the last token: `length` promises max_tokens tokens.
  void TakeFinishReason(std::string_view reason);
  /// The end marker of a stream.
  void TakeEnd() { ended_ = true; }
  void TakeMalformed() { ++faults_.malformed_events; }
  /// A whole unstreamed answer of `tokens` tokens.
  void TakeWhole(std::string_view text, int64_t tokens);

  /// Tokens received in order so far; where a resume continues.
  [[nodiscard]] int64_t tokens() const { return last_id_; }
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] bool finished() const { return finished_; }
  [[nodiscard]] const answer_faults& faults() const { return faults_; }

 private:
  [[nodiscard]] std::string Expected(int64_t index) const;

  expected_answer expected_;
  token_text_fn token_text_;
  int64_t last_id_ = 0;
  bool finished_ = false;
  bool ended_ = false;
  answer_faults faults_;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_ANSWER_CHECK_H_
