#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "skylarkcroft/deferred/skylarkcroft_deferred_worker.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/control/memory_table_service.h"

namespace skylarkcroft {
namespace {

constexpr const char* kWorker = "n2.1";

/// Puts `count` open requests of `worker` into the shard of the first one.
std::set<std::string> AddOpenRequests(memory_table_service& store,
                                      const std::string& worker, size_t count) {
  std::set<std::string> ids;
  for (uint64_t number = 0; ids.size() < count; ++number) {
    deferred_request request;
    request.id = MakeDeferredId(worker, number);
    if (ShardOf(request.id) != 0) {
      continue;
    }
    request.worker = worker;
    store.rows[OpenRequestKey(request.id)] = {OpenRequestKey(request.id), 1,
                                              EncodeDeferred(request)};
    ids.insert(request.id);
  }
  return ids;
}

}  // namespace

// Guards against accepted requests that nobody takes over because hundreds of
// others stand before them in their shard.
TEST_CASE("Requests of a stopped worker are taken over however many wait",
          "[deferred][regression]") {
  event_loop loop;
  memory_table_service store(loop);
  group_commit commits(loop, store, kWorker, {}, SteadyNow);
  // Requests that another worker still runs come first in the shard.
  AddOpenRequests(store, "n1.1", 600);
  const std::set<std::string> stopped = AddOpenRequests(store, kWorker, 300);
  std::set<std::string> run;
  deferred_options options;
  options.scan_period = milliseconds(20);
  deferred_worker worker(
      {loop, store, commits, kWorker,
       [&](const deferred_request& request,
           const std::function<void(const deferred_run_result&)>&) {
         run.insert(request.id);
       },
       [] { return std::vector<size_t>{0}; }, SteadyNow, WallNowMs},
      options);
  for (int turn = 0; turn < 400 && run.size() < stopped.size(); ++turn) {
    loop.RunFor(milliseconds(10));
  }
  CHECK(run == stopped);
}

}  // namespace skylarkcroft
