#ifndef LOAD_SKYLARKCROFT_MESH_CLUSTER_H_
#define LOAD_SKYLARKCROFT_MESH_CLUSTER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "load/skylarkcroft_memory_network.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh.h"

namespace skylarkcroft::load {

/// Many mesh members on one memory network and one simulated clock.
class mesh_cluster {
 public:
  /// One member. While it is paused it neither receives nor ticks.
  struct node {
    std::string name;
    endpoint address;
    int64_t revision = 0;
    bool paused = false;
    std::vector<revision_report> reports;
    std::vector<std::string> directs;
    std::unique_ptr<mesh_transport> transport;
    std::unique_ptr<mesh> part;
  };

  mesh_cluster(size_t size, const memory_network_options& network);

  /// Adds a member that knows the first one's address.
  node& Add();
  /// Ends the process of member `index`.
  void Kill(size_t index);
  /// Starts a new process in place of member `index`, whose wall clock is
  /// `behind` the others' when it takes its start stamp.
  void Restart(size_t index, milliseconds behind = milliseconds(0));
  /// Advances the simulated time.
  void Run(milliseconds duration);
  /// Advances until `holds`, for at most `limit`; returns the time taken, or
  /// `limit` and one step.
  milliseconds RunUntil(const std::function<bool()>& holds, milliseconds limit);

  [[nodiscard]] node& at(size_t index) { return *nodes_[index]; }
  [[nodiscard]] size_t size() const { return nodes_.size(); }
  [[nodiscard]] memory_network& network() { return network_; }
  [[nodiscard]] mesh_time time() const;
  /// True when every running member counts every other running one.
  [[nodiscard]] bool AllKnowAll() const;
  /// Running members at which `member` holds `state`.
  [[nodiscard]] size_t CountState(const std::string& member,
                                  member_state state) const;
  /// Keeps the history of revision reports, for tests.
  void KeepReports(bool keep) { keep_reports_ = keep; }
  static std::string NameOf(size_t index);
  static endpoint AddressOf(size_t index);

 private:
  void Start(node& member, milliseconds behind);
  void Step();

  memory_network network_;
  std::vector<std::unique_ptr<node>> nodes_;
  uint64_t next_seed_ = 1;
  bool keep_reports_ = false;
};

}  // namespace skylarkcroft::load

#endif  // LOAD_SKYLARKCROFT_MESH_CLUSTER_H_
