#ifndef SKYLARKCROFT_TESTS_RELAY_ANSWER_ENDS_H_
#define SKYLARKCROFT_TESTS_RELAY_ANSWER_ENDS_H_

#include <catch2/catch.hpp>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {

/// How an upstream delimits its answer.
enum class framing { kLength, kChunked, kConnection };
/// Where an upstream stops to write.
enum class stop { kInHead, kAfterHead, kInEvent, kBetweenEvents, kAtEnd };
/// How an upstream closes its connection then.
enum class closing { kOrderly, kReset };
/// How a client asks, which decides how its answer can be delimited.
enum class client_kind {
  kKeepsOpen,  ///< HTTP/1.1.
  kCloses,     ///< HTTP/1.1 with `Connection: close`.
  kHttp10,     ///< HTTP/1.0, which knows no chunks.
};

/// An answer of three events, ids `first` to 3, as far as it is written.
inline std::string AnswerUntil(
    const scripted_upstream::received_request& request, framing delimited_by,
    stop at, int first = 1) {
  std::string whole;
  std::string before_last;
  std::string half;
  const bool chunked = delimited_by == framing::kChunked;
  for (int id = first; id <= 3; ++id) {
    const std::string event =
        chunked ? relay_fixture::EventChunk(id) : relay_fixture::Event(id);
    half = whole + event.substr(0, event.size() / 2);
    before_last = whole;
    whole += event;
  }
  std::string head =
      "HTTP/1.1 200 OK\r\nX-Id: " + request.head.headers.Get("X-Id") +
      "\r\nX-Sig: s\r\nContent-Type: text/event-stream\r\n";
  if (chunked) {
    head += "Transfer-Encoding: chunked\r\n";
    whole += "0\r\n\r\n";
  } else if (delimited_by == framing::kLength) {
    head += "Content-Length: " + std::to_string(whole.size()) + "\r\n";
  }
  switch (at) {
    case stop::kInHead:
      return head;
    case stop::kAfterHead:
      return head + "\r\n";
    case stop::kInEvent:
      return head + "\r\n" + half;
    case stop::kBetweenEvents:
      return head + "\r\n" + before_last;
    case stop::kAtEnd:
      return head + "\r\n" + whole;
  }
  return head;
}

/// A request of a client of `kind`.
inline std::string RequestOf(client_kind kind, const std::string& path) {
  std::string request = relay_fixture::Request(
      path, "r1", kind == client_kind::kCloses ? "Connection: close\r\n" : "");
  if (kind == client_kind::kHttp10) {
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  }
  return request;
}

/// What a client can tell of the answer that it got.
enum class client_view { kWhole, kBroken, kError };

inline client_view ViewOf(client_kind kind, const raw_client& client) {
  const std::string& received = client.received;
  const bool success = received.starts_with("HTTP/1.1 200") ||
                       received.starts_with("HTTP/1.0 200");
  if (!received.empty() && !success) {
    return client_view::kError;
  }
  const bool chunked = received.find("chunked") != std::string::npos;
  const bool has_length = received.find("Content-Length") != std::string::npos;
  if (kind == client_kind::kHttp10) {
    // Such a client takes all bytes up to the end of the connection.
    return !chunked && client.closed && client.closed_cleanly
               ? client_view::kWhole
               : client_view::kBroken;
  }
  const bool whole = chunked ? received.ends_with("0\r\n\r\n") : has_length;
  return whole ? client_view::kWhole : client_view::kBroken;
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_RELAY_ANSWER_ENDS_H_
