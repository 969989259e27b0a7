#ifndef SKYLARKCROFT_STANDINS_ENGINE_COMPLETION_WRITER_H_
#define SKYLARKCROFT_STANDINS_ENGINE_COMPLETION_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkcroft::standin {

struct completion_request;

/// Why an answer ended with a token.
enum class finish_reason { kNone, kStop, kLength };

/// Tokens that an answer is accounted for.
struct completion_usage {
  int64_t prompt_tokens = 0;
  /// Of the whole answer, also after a resume.
  int64_t completion_tokens = 0;
  int64_t cached_tokens = 0;

  bool operator==(const completion_usage&) const = default;
};

/// Writes one answer, as server-sent events or whole.
class completion_writer {
 public:
  /// `created_s` is in seconds since the Unix epoch.
  completion_writer(const completion_request& request, int64_t created_s);

  /// Event of token `index`, from 1. `text` must need no JSON escapes.
  [[nodiscard]] std::string TokenEvent(int64_t index, std::string_view text,
                                       finish_reason reason) const;
  /// The event with the usage, then `[DONE]`.
  [[nodiscard]] std::string ClosingEvents(const completion_usage& usage) const;
  /// The answer that is not streamed.
  [[nodiscard]] std::string Whole(const std::string& text, finish_reason reason,
                                  const completion_usage& usage) const;

 private:
  [[nodiscard]] std::string Head(std::string_view object) const;

  bool chat_;
  std::string id_json_;
  std::string model_json_;
  int64_t created_s_;
  /// An event's data up to its text.
  std::string event_head_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_COMPLETION_WRITER_H_
