#include "skylarkcroft/attempt/skylarkcroft_buffered_response.h"

#include <utility>

namespace skylarkcroft {

void buffered_response::BeginStreaming() {
  if (state_ != state::kWaiting) {
    return;
  }
  state_ = state::kStreaming;
  Notify();
}

void buffered_response::AppendToken(std::string data) {
  if (ended()) {
    return;
  }
  tokens_.push_back(std::move(data));
  Notify();
}

void buffered_response::SetUsage(std::string data) {
  if (!ended()) {
    usage_ = std::move(data);
  }
}

void buffered_response::RestoreTokens(std::vector<std::string> tokens) {
  tokens_ = std::move(tokens);
  Notify();
}

void buffered_response::Complete() {
  if (ended()) {
    return;
  }
  state_ = state::kComplete;
  Notify();
}

void buffered_response::CompleteWith(http_response response) {
  if (ended()) {
    return;
  }
  response_ = std::move(response);
  Complete();
}

void buffered_response::Fail(problem cause) {
  if (ended()) {
    return;
  }
  failure_ = std::move(cause);
  state_ = state::kFailed;
  Notify();
}

buffered_response::reader_id buffered_response::AddReader(
    std::function<void()> on_change) {
  readers_.emplace(next_reader_, std::move(on_change));
  return next_reader_++;
}

void buffered_response::RemoveReader(reader_id reader) {
  readers_.erase(reader);
}

void buffered_response::Notify() {
  // A callback may remove its own reader or other readers.
  std::vector<reader_id> to_notify;
  for (const auto& [reader, call] : readers_) {
    to_notify.push_back(reader);
  }
  for (const reader_id reader : to_notify) {
    const auto found = readers_.find(reader);
    if (found == readers_.end()) {
      continue;
    }
    const std::function<void()> call = found->second;
    call();
  }
}

}  // namespace skylarkcroft
