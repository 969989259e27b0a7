#ifndef SKYLARKCROFT_TESTS_STANDINS_ENGINE_HARNESS_H_
#define SKYLARKCROFT_TESTS_STANDINS_ENGINE_HARNESS_H_

#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "standins/engine/engine_standin.h"
#include "tests/standins/standin_harness.h"

namespace skylarkcroft::standin {

constexpr const char* kModel = "model";

/// An engine that takes a few milliseconds a request.
inline engine_options FastOptions() {
  engine_options options;
  options.speeds.slots = 4;
  options.speeds.first_token = milliseconds(1);
  options.speeds.token = milliseconds(1);
  options.speeds.prefill_tokens_per_s = 1e6;
  options.load_lag = milliseconds(0);
  options.event_lag = milliseconds(0);
  options.model_load_time = milliseconds(0);
  return options;
}

/// A streamed request under `id`; `delivered` above 0 resumes it.
inline http_request StreamRequest(const std::string& id,
                                  const std::string& prompt, int max_tokens,
                                  int delivered = 0) {
  const nlohmann::json body = {{"model", kModel},
                               {"prompt", prompt},
                               {"max_tokens", max_tokens},
                               {"stream", true}};
  http_request request{
      "POST", "/v1/completions", {{"X-Request-Id", id}}, body.dump()};
  if (delivered > 0) {
    request.headers.Add("Last-Event-ID", std::to_string(delivered));
  }
  return request;
}

/// The text of all token events in `events`.
inline std::string StreamText(const std::string& events) {
  using nlohmann::literals::operator""_json_pointer;
  std::istringstream lines(events);
  std::string line;
  std::string text;
  while (std::getline(lines, line)) {
    if (!line.starts_with("data: {")) {
      continue;
    }
    const auto data = nlohmann::json::parse(line.substr(6));
    for (const nlohmann::json& choice : data.at("choices")) {
      text += choice.value("text", std::string());
      text += choice.value("/delta/content"_json_pointer, std::string());
    }
  }
  return text;
}

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_TESTS_STANDINS_ENGINE_HARNESS_H_
