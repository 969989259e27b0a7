#ifndef REVIEW_COMMON_PLATFORM_H_
#define REVIEW_COMMON_PLATFORM_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "review/common/net.h"
#include "review/common/record.h"

namespace review {

/// A call that only the holder of a duty makes, as it arrived.
struct duty_call {
  int64_t at_ms = 0;
  std::string path;
  std::string holder;
  int64_t fence = 0;
  std::string body;
};

/// A sound store and cloud of the platform, as PROTOCOL.md describes them.
class platform {
 public:
  explicit platform(record& log);

  [[nodiscard]] uint16_t store_port() const { return store_.port(); }
  /// Opens one more port of the store, for one machine.
  struct store_path;
  store_path& OpenPath();
  [[nodiscard]] uint16_t cloud_port() const { return cloud_.port(); }

  /// Writes a row as the operator or an engine does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// Empty where there is no such row.
  std::string Get(const std::string& table, const std::string& key);
  /// From now on writes the entries of the engines that are ready once more
  /// every 1.2 s, as these do themselves.
  void KeepEnginesBeating();
  std::vector<duty_call> DutyCalls();
  /// From now on none of the reclaimable engines that are ordered can be had:
  /// such orders get 409.
  void RefuseReclaimable();

 private:
  struct row {
    std::string value;
    int64_t version = 0;
    bool removed = false;
  };
  using row_id = std::pair<std::string, std::string>;

  void Beat();
  void ServeStore(int fd, store_path* path);
  void ServeCloud(int fd);
  std::string Answer(const message& request);
  std::string ReadRows(const message& request);
  std::string Feed(const message& request);
  std::string Commit(const message& request);
  bool MeetsConditions(const nlohmann::json& call);
  nlohmann::json Describe(const row_id& id, const row& known) const;
  nlohmann::json Stamped(const nlohmann::json& rows) const;

  record& log_;
  std::mutex lock_;
  std::condition_variable changed_;
  std::map<row_id, row> rows_;
  int64_t version_ = 1;
  std::vector<duty_call> calls_;
  bool refuses_reclaimable_ = false;
  server store_;
  server cloud_;
};

/// A machine's way to the store.
struct platform::store_path {
  std::unique_ptr<server> entry;
  /// How long answers take on it, besides what the store takes.
  std::atomic<int64_t> delay_ms{0};
  /// Calls that waited for changes of the table of engines.
  std::atomic<int> watches{0};
};

}  // namespace review

#endif  // REVIEW_COMMON_PLATFORM_H_
