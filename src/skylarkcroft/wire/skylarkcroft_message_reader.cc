#include "skylarkcroft/wire/skylarkcroft_message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// A peer sends one or two interim responses, if any.
constexpr int kMaxInterimResponses = 16;
// "a:" and its line break.
constexpr size_t kShortestLineBytes = 4;
// Lines and bytes that a head may have beside those that its limit allows, so
// that a small limit leaves room for the request line and usual separators.
constexpr size_t kSpareLines = 64;
constexpr size_t kSpareBytes = 1024;

bool IsTokenChar(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || kMarks.find(c) != std::string_view::npos;
}

bool IsControl(char c) {
  constexpr unsigned char kFirstPrintable = 0x20;
  return static_cast<unsigned char>(c) < kFirstPrintable && c != '\t';
}

bool IsValidField(const header_view& field) {
  return !field.name.empty() &&
         std::all_of(field.name.begin(), field.name.end(), IsTokenChar) &&
         std::none_of(field.value.begin(), field.value.end(), IsControl);
}

// Accepts at most one framing field: either Content-Length with digits only, or
// Transfer-Encoding with the value "chunked".
bool IsValidFraming(const message_head& head) {
  int framing_fields = 0;
  for (const header_view field : head.headers.fields()) {
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
    interim_responses_ = 0;
  }

  read_progress Feed(std::string_view bytes) {
    started_ = started_ || !bytes.empty();
    const size_t consumed =
        http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
    // Where the head ends in these bytes, its lines and fields bound it.
    raw_head_bytes_ += in_head_ ? consumed : 0;
    if (ended_) {
      return {consumed, read_state::kEnded};
    }
    const bool failed = HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
    if (IsHeadTooLarge()) {
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

  void SetMaxHeadBytes(size_t max_head_bytes) {
    max_head_bytes_ = max_head_bytes;
  }
  [[nodiscard]] bool started() const { return started_; }
  [[nodiscard]] size_t held_bytes() const {
    return head_.headers.storage_bytes() + head_.target.capacity() +
           name_.capacity() + value_.capacity();
  }

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
    name_ = {};
    value_ = {};
    in_value_ = false;
    head_bytes_ = 0;
    raw_head_bytes_ = 0;
    lines_ = 0;
  }

  [[nodiscard]] bool IsHeadTooLarge() const {
    return head_bytes_ > max_head_bytes_ ||
           lines_ > max_head_bytes_ / kShortestLineBytes + kSpareLines ||
           raw_head_bytes_ > 2 * max_head_bytes_ + kSpareBytes;
  }

  int CountHeadBytes(size_t size) {
    head_bytes_ += in_head_ ? size : 0;
    return IsHeadTooLarge() ? -1 : 0;
  }

  // Adds the current field to the head. http_parser passes names and values in
  // fragments, so a field is complete only when the next name or the end of the
  // head is reached.
  void CompleteField() {
    if (!in_value_) {
      return;
    }
    if (in_head_) {
      ++lines_;
      malformed_ = malformed_ || !IsValidField({name_, value_});
      head_.headers.Add(name_, value_);
    }
    name_.clear();
    value_.clear();
    in_value_ = false;
  }

  int OnHead() {
    CompleteField();
    in_head_ = false;
    name_ = {};
    value_ = {};
    head_.status = parser_.status_code;
    if (kind_ == message_kind::kResponse && !IsValidStatus()) {
      malformed_ = true;
      return -1;
    }
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
    events_.on_head(std::move(head_));
    return head_only_ ? 1 : 0;
  }

  // Counts interim responses: without a bound, they could go on for ever.
  bool IsValidStatus() {
    interim_responses_ += head_.status < kFirstFinalStatus ? 1 : 0;
    return head_.status >= kFirstStatus && head_.status <= kLastStatus &&
           interim_responses_ <= kMaxInterimResponses;
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
  size_t head_bytes_ = 0;      ///< Of the target, names and values.
  size_t raw_head_bytes_ = 0;  ///< All bytes read before the head's last.
  size_t lines_ = 0;
  int interim_responses_ = 0;
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

void message_reader::SetMaxHeadBytes(size_t max_head_bytes) {
  impl_->SetMaxHeadBytes(max_head_bytes);
}

size_t message_reader::held_bytes() const { return impl_->held_bytes(); }

bool message_reader::started() const { return impl_->started(); }

}  // namespace skylarkcroft
