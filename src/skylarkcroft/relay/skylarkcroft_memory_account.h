#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_MEMORY_ACCOUNT_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// How close a node is to the bound of the memory that it holds for others.
enum class memory_pressure {
  kNone,
  kPause,   ///< Nothing more is read for those that hold much.
  kRefuse,  ///< New requests are refused as well.
  kClose,   ///< Nothing is read, and connections are given up.
};

/// The name of `pressure` in logs and metrics.
std::string_view ToString(memory_pressure pressure);

/// Bounds of the memory that a node holds for others.
struct memory_bounds {
  size_t limit_bytes = 0;  ///< 0 means no bound.
  /// Shares of the limit from which a pressure begins.
  double pause_share = 0.7;
  double refuse_share = 0.8;
  double close_share = 0.9;
  /// Connections are given up until this share is held.
  double relieved_share = 0.6;
  /// Of a connection that holds less, reading goes on at kPause, so that small
  /// requests are served while others wait.
  size_t small_bytes = 65536;
  /// A pressure may last for this long before connections are given up that
  /// have not moved a byte for as long.
  milliseconds max_pressure{1000};

  bool operator==(const memory_bounds&) const = default;
};

/// The bounds of a node whose host has `memory_mb` MB; 0 means no bound.
memory_bounds BoundsOfHost(int64_t memory_mb);

/// Counts the memory that a node holds for others: heads, bodies, answers and
/// buffers of sockets. Each holder has a memory_share of it.
class memory_account {
 public:
  explicit memory_account(const memory_bounds& bounds = {}) : bounds_(bounds) {}
  memory_account(const memory_account&) = delete;
  memory_account& operator=(const memory_account&) = delete;

  [[nodiscard]] memory_pressure pressure() const;
  [[nodiscard]] size_t held() const { return held_; }
  [[nodiscard]] const memory_bounds& bounds() const { return bounds_; }
  [[nodiscard]] bool is_bounded() const { return bounds_.limit_bytes > 0; }
  /// Bytes beyond those that are held after a relief.
  [[nodiscard]] size_t Excess() const;

 private:
  friend class memory_share;

  memory_bounds bounds_;
  size_t held_ = 0;
};

/// What one holder takes of an account, given back with this object. The
/// account must outlive it.
class memory_share {
 public:
  explicit memory_share(memory_account& account) : account_(account) {}
  ~memory_share() { Set(0); }
  memory_share(const memory_share&) = delete;
  memory_share& operator=(const memory_share&) = delete;

  void Set(size_t bytes) {
    account_.held_ += bytes - bytes_;
    bytes_ = bytes;
  }
  [[nodiscard]] size_t bytes() const { return bytes_; }

 private:
  memory_account& account_;
  size_t bytes_ = 0;
};

/// Connections that a node gives up because its memory is short.
struct memory_relief {
  memory_pressure pressure = memory_pressure::kNone;
  size_t held = 0;   ///< Bytes before the relief.
  size_t limit = 0;  ///< In bytes.
  size_t given_up = 0;

  bool operator==(const memory_relief&) const = default;
};

/// A connection that could be given up.
struct memory_holder {
  uint64_t number = 0;
  size_t held = 0;
  /// When its client last sent or took a byte.
  time_point moved_at{};
  /// An upstream works on its request; giving it up loses that work.
  bool is_at_work = false;

  bool operator==(const memory_holder&) const = default;
};

/// Returns the numbers of the connections to give up so that `excess` bytes
/// become free: those that hold most and have not moved for longest, where no
/// upstream works first. Where `urgent` is false, only connections that have
/// not moved for max_pressure and where no upstream works.
std::vector<uint64_t> ChooseToGiveUp(std::vector<memory_holder> holders,
                                     size_t excess, bool urgent,
                                     const memory_bounds& bounds,
                                     time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_MEMORY_ACCOUNT_H_
