#include "skylarkcroft/wire/skylarkcroft_message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr int kFirstFinalStatus = 200;

bool IsTokenChar(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || kMarks.find(c) != std::string_view::npos;
}

bool IsControl(char c) {
  constexpr unsigned char kFirstPrintable = 0x20;
  return static_cast<unsigned char>(c) < kFirstPrintable && c != '\t';
}

bool IsValidField(const http_header& field) {
  return !field.name.empty() &&
         std::all_of(field.name.begin(), field.name.end(), IsTokenChar) &&
         std::none_of(field.value.begin(), field.value.end(), IsControl);
}

// Accepts at most one framing field: either Content-Length with digits only, or
// Transfer-Encoding with the value "chunked".
bool IsValidFraming(const message_head& head) {
  int framing_fields = 0;
  for (const http_header& field : head.headers.fields()) {
    const bool length = EqualsIgnoringCase(field.name, "Content-Length");
    const bool coding = EqualsIgnoringCase(field.name, "Transfer-Encoding");
    if (!length && !coding) {
      continue;
    }
    ++framing_fields;
    const bool digits =
        std::all_of(field.value.begin(), field.value.end(),
                    [](char c) { return c >= '0' && c <= '9'; });
    if (length && (field.value.empty() || !digits)) {
      return false;
    }
    if (coding && !EqualsIgnoringCase(field.value, "chunked")) {
      return false;
    }
  }
  return framing_fields <= 1;
}

}  // namespace

class message_reader::impl {
 public:
  impl(message_kind kind, size_t max_head_bytes, message_events events)
      : kind_(kind),
        max_head_bytes_(max_head_bytes),
        events_(std::move(events)) {
    Reset(false);
  }

  void Reset(bool head_only) {
    http_parser_init(&parser_, kind_ == message_kind::kRequest ? HTTP_REQUEST
                                                               : HTTP_RESPONSE);
    parser_.data = this;
    head_only_ = head_only;
    ClearHead();
    in_head_ = true;
    ended_ = false;
    malformed_ = false;
    started_ = false;
  }

  read_progress Feed(std::string_view bytes) {
    started_ = started_ || !bytes.empty();
    const size_t consumed =
        http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
    if (ended_) {
      return {consumed, read_state::kEnded};
    }
    const bool failed = HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
    if (head_bytes_ > max_head_bytes_) {
      return {consumed, read_state::kTooLarge};
    }
    if (failed || malformed_ || parser_.upgrade != 0) {
      return {consumed, read_state::kMalformed};
    }
    return {consumed, read_state::kMore};
  }

  read_state FeedEof() {
    http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
    return ended_ ? read_state::kEnded : read_state::kMalformed;
  }

  [[nodiscard]] bool started() const { return started_; }

 private:
  static impl& Of(http_parser* parser) {
    return *static_cast<impl*>(parser->data);
  }

  static const http_parser_settings& Callbacks() {
    static const http_parser_settings kCallbacks = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_url = [](http_parser* parser, const char* at, size_t size) {
        impl& self = Of(parser);
        self.head_.target.append(at, size);
        return self.CountHeadBytes(size);
      };
      callbacks.on_header_field = [](http_parser* parser, const char* at,
                                     size_t size) {
        impl& self = Of(parser);
        self.CompleteField();
        self.name_.append(at, size);
        return self.CountHeadBytes(size);
      };
      callbacks.on_header_value = [](http_parser* parser, const char* at,
                                     size_t size) {
        impl& self = Of(parser);
        self.in_value_ = true;
        self.value_.append(at, size);
        return self.CountHeadBytes(size);
      };
      callbacks.on_headers_complete = [](http_parser* parser) {
        return Of(parser).OnHead();
      };
      callbacks.on_body = [](http_parser* parser, const char* at, size_t size) {
        Of(parser).events_.on_body({at, size});
        return 0;
      };
      callbacks.on_message_complete = [](http_parser* parser) {
        return Of(parser).OnEnd();
      };
      return callbacks;
    }();
    return kCallbacks;
  }

  void ClearHead() {
    head_ = message_head{};
    name_.clear();
    value_.clear();
    in_value_ = false;
    head_bytes_ = 0;
  }

  int CountHeadBytes(size_t size) {
    head_bytes_ += in_head_ ? size : 0;
    return head_bytes_ > max_head_bytes_ ? -1 : 0;
  }

  // Adds the current field to the head. http_parser passes names and values in
  // fragments, so a field is complete only when the next name or the end of the
  // head is reached.
  void CompleteField() {
    if (!in_value_) {
      return;
    }
    if (in_head_) {
      const http_header field{std::exchange(name_, {}),
                              std::exchange(value_, {})};
      malformed_ = malformed_ || !IsValidField(field);
      head_.headers.Add(field.name, field.value);
    }
    name_.clear();
    value_.clear();
    in_value_ = false;
  }

  int OnHead() {
    CompleteField();
    in_head_ = false;
    head_.status = parser_.status_code;
    if (kind_ == message_kind::kRequest) {
      head_.method = http_method_str(static_cast<http_method>(parser_.method));
    } else if (head_.status < kFirstFinalStatus) {
      return 0;
    }
    head_.is_http_1_0 = parser_.http_major == 1 && parser_.http_minor == 0;
    head_.keep_alive = http_should_keep_alive(&parser_) != 0;
    head_.chunked = (parser_.flags & F_CHUNKED) != 0;
    if ((parser_.flags & F_CONTENTLENGTH) != 0) {
      head_.content_length = parser_.content_length;
    }
    if (malformed_ || !IsValidFraming(head_)) {
      malformed_ = true;
      return -1;
    }
    events_.on_head(head_);
    return head_only_ ? 1 : 0;
  }

  int OnEnd() {
    if (kind_ == message_kind::kResponse && head_.status < kFirstFinalStatus) {
      // An interim response; the final one follows.
      ClearHead();
      in_head_ = true;
      return 0;
    }
    ended_ = true;
    http_parser_pause(&parser_, 1);
    return 0;
  }

  message_kind kind_;
  size_t max_head_bytes_;
  message_events events_;
  http_parser parser_{};
  message_head head_;
  std::string name_;
  std::string value_;
  size_t head_bytes_ = 0;
  bool in_value_ = false;
  bool in_head_ = true;
  bool head_only_ = false;
  bool ended_ = false;
  bool malformed_ = false;
  bool started_ = false;
};

message_reader::message_reader(message_kind kind, size_t max_head_bytes,
                               message_events events)
    : impl_(std::make_unique<impl>(kind, max_head_bytes, std::move(events))) {}

message_reader::~message_reader() = default;

read_progress message_reader::Feed(std::string_view bytes) {
  return impl_->Feed(bytes);
}

read_state message_reader::FeedEof() { return impl_->FeedEof(); }

void message_reader::Reset(bool head_only) { impl_->Reset(head_only); }

bool message_reader::started() const { return impl_->started(); }

}  // namespace skylarkcroft
