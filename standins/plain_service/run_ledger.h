#ifndef SKYLARKCROFT_STANDINS_PLAIN_SERVICE_RUN_LEDGER_H_
#define SKYLARKCROFT_STANDINS_PLAIN_SERVICE_RUN_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace skylarkcroft::standin {

/// What a run answered.
struct run_outcome {
  int status = 0;
  std::string body;

  bool operator==(const run_outcome&) const = default;
};

/// Counts the runs under each key and keeps the last outcome.
class run_ledger {
 public:
  /// Records that a run has begun; returns how many have, this one included.
  int64_t Begin(const std::string& key);
  void Finish(const std::string& key, const run_outcome& outcome);

  /// Runs begun under `key`.
  [[nodiscard]] int64_t Runs(const std::string& key) const;
  /// The last outcome; nothing while the first run has not ended.
  [[nodiscard]] std::optional<run_outcome> Outcome(
      const std::string& key) const;
  /// Runs begun, by key.
  [[nodiscard]] std::map<std::string, int64_t> AllRuns() const;

 private:
  struct entry {
    int64_t runs = 0;
    std::optional<run_outcome> last;
  };
  std::map<std::string, entry> entries_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_PLAIN_SERVICE_RUN_LEDGER_H_
