#include "skylarkcroft/log/skylarkcroft_logger.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>

#include <array>
#include <ctime>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/log/skylarkcroft_log_queue.h"

namespace skylarkcroft {
namespace {

constexpr const char* kLoggerName = "skylarkcroft";
constexpr milliseconds kRetryPeriod{20};

log4cxx::LevelPtr ToLog4cxx(log_level level) {
  switch (level) {
    case log_level::kTrace:
      return log4cxx::Level::getTrace();
    case log_level::kDebug:
      return log4cxx::Level::getDebug();
    case log_level::kInfo:
      return log4cxx::Level::getInfo();
    case log_level::kWarn:
      return log4cxx::Level::getWarn();
    case log_level::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

std::string LowerCaseName(const log4cxx::LevelPtr& level) {
  std::string name = level->toString();
  for (char& c : name) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return name;
}

// RFC 3339 in UTC with milliseconds.
std::string FormatTime(int64_t micros) {
  constexpr int64_t kMicrosPerSecond = 1000000;
  constexpr int64_t kMicrosPerMilli = 1000;
  const auto seconds = static_cast<time_t>(micros / kMicrosPerSecond);
  tm parts{};
  gmtime_r(&seconds, &parts);
  constexpr size_t kLongestStamp = 32;
  std::array<char, kLongestStamp> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string millis =
      std::to_string(micros % kMicrosPerSecond / kMicrosPerMilli);
  millis.insert(0, 3 - millis.size(), '0');
  return std::string(text.data()) + "." + millis + "Z";
}

// Queues each event as one JSON object a line; the properties of the event are
// its members.
class json_appender final : public log4cxx::AppenderSkeleton {
 public:
  explicit json_appender(log_queue& queue) : queue_(queue) {}

  void close() override {}
  bool requiresLayout() const override { return false; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) override {
    nlohmann::ordered_json line = {{"time", FormatTime(event->getTimeStamp())},
                                   {"level", LowerCaseName(event->getLevel())},
                                   {"message", event->getMessage()}};
    for (const log4cxx::LogString& key : event->getPropertyKeySet()) {
      log4cxx::LogString value;
      event->getProperty(key, value);
      line.emplace(key, value);
    }
    queue_.Push(line.dump(-1, ' ', false,
                          nlohmann::ordered_json::error_handler_t::replace) +
                "\n");
  }

 private:
  log_queue& queue_;
};

log4cxx::spi::LoggingEventPtr ToEvent(const log_entry& entry) {
  auto event = std::make_shared<log4cxx::spi::LoggingEvent>(
      kLoggerName, ToLog4cxx(entry.level), entry.message,
      log4cxx::spi::LocationInfo::getLocationUnavailable());
  const auto set = [&](const std::string& key, const std::string& value) {
    if (!value.empty()) {
      event->setProperty(key, value);
    }
  };
  for (const log_field& field : entry.fields) {
    set(field.key, field.value);
  }
  set("request_id", entry.request_id);
  set("caller", entry.caller);
  set("rank", entry.rank);
  set("upstream", entry.upstream);
  return event;
}

}  // namespace

class logger::impl {
 public:
  impl(event_loop& loop, const log_options& options)
      : loop_(loop),
        queue_(options.fd, options.max_queued_bytes),
        hierarchy_(log4cxx::Hierarchy::create()),
        logger_(hierarchy_->getLogger(kLoggerName)) {
    logger_->addAppender(std::make_shared<json_appender>(queue_));
    SetLevel(options.level);
  }
  ~impl() {
    logger_->removeAllAppenders();
    queue_.Drain();
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void Log(const log_entry& entry) {
    if (!IsEnabled(entry.level)) {
      return;
    }
    log4cxx::helpers::Pool pool;
    logger_->callAppenders(ToEvent(entry), pool);
    if (drain_timer_ == nullptr) {
      DrainAfter(milliseconds(0));
    }
  }

  [[nodiscard]] bool IsEnabled(log_level level) const {
    return level >= level_;
  }

  void SetLevel(log_level level) {
    level_ = level;
    logger_->setLevel(ToLog4cxx(level));
  }

  void Drain() {
    if (queue_.Drain()) {
      ReportDrops();
    }
  }

  [[nodiscard]] log_level level() const { return level_; }
  [[nodiscard]] const log_queue& queue() const { return queue_; }

 private:
  // The call moves its timer out first, so that it can start the next one.
  void DrainAfter(milliseconds delay) {
    drain_timer_ = loop_.After(delay, [this] {
      const event_loop::handle_ptr ended = std::move(drain_timer_);
      Drain();
      if (!queue_.empty()) {
        DrainAfter(kRetryPeriod);
      }
    });
  }

  // Queued straight after room was made, so that the drops stand in the log
  // about where they happened.
  void ReportDrops() {
    const uint64_t fresh = queue_.dropped_lines() - reported_drops_;
    if (fresh == 0 || !queue_.empty()) {
      return;
    }
    reported_drops_ = queue_.dropped_lines();
    log4cxx::helpers::Pool pool;
    const log_entry report = {.level = log_level::kWarn,
                              .message = "log lines were dropped",
                              .fields = {{"dropped", std::to_string(fresh)}}};
    logger_->callAppenders(ToEvent(report), pool);
  }

  event_loop& loop_;
  log_queue queue_;
  log4cxx::HierarchyPtr hierarchy_;
  log4cxx::LoggerPtr logger_;
  log_level level_ = log_level::kInfo;
  uint64_t reported_drops_ = 0;
  event_loop::handle_ptr drain_timer_;
};

logger::logger(event_loop& loop, const log_options& options)
    : impl_(std::make_unique<impl>(loop, options)) {}

logger::~logger() = default;

void logger::Log(const log_entry& entry) { impl_->Log(entry); }

bool logger::IsEnabled(log_level level) const {
  return impl_->IsEnabled(level);
}

void logger::SetLevel(log_level level) { impl_->SetLevel(level); }

log_level logger::level() const { return impl_->level(); }

void logger::Flush() { impl_->Drain(); }

uint64_t logger::dropped_lines() const {
  return impl_->queue().dropped_lines();
}

size_t logger::queued_bytes() const { return impl_->queue().queued_bytes(); }

}  // namespace skylarkcroft
