#include "skylarkcroft/node/skylarkcroft_node_handover.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/handover/skylarkcroft_peer_signature.h"
#include "skylarkcroft/mesh/skylarkcroft_member_list.h"
#include "skylarkcroft/node/skylarkcroft_front.h"
#include "skylarkcroft/node/skylarkcroft_node_mesh.h"
#include "skylarkcroft/node/skylarkcroft_request_registry.h"
#include "skylarkcroft/node/skylarkcroft_request_runner.h"
#include "skylarkcroft/node/skylarkcroft_settings.h"

namespace skylarkcroft {
namespace {

constexpr int kOk = 200;

bool CanMove(const request_entry& entry) {
  if (entry.moved || entry.deferred ||
      entry.form.what == answer_form::kind::kPlain) {
    return false;
  }
  return entry.run != nullptr &&
         entry.result->current() == buffered_response::state::kStreaming;
}

handover_record MakeRecord(const request_entry& entry,
                           const http_request& original, time_point deadline,
                           time_point now) {
  handover_record record;
  record.id = entry.id;
  record.caller_name = entry.caller_name;
  record.route_name = entry.route_name;
  record.original.method = original.method;
  record.original.target = original.target;
  record.original.body = original.body;
  record.tokens = entry.result->tokens();
  record.usage = entry.result->usage();
  record.deadline_left_ms = std::max<int64_t>(1, ElapsedMs(now, deadline));
  return record;
}

}  // namespace

node_handover::node_handover(node_handover_environment environment)
    : environment_(std::move(environment)),
      sender_(environment_.client, environment_.config.mesh_key,
              environment_.wall_clock),
      reader_(environment_.loop, environment_.client),
      held_owners_({environment_.owner}) {
  environment_.members.OnRecord(
      kDrainTopic, [this](const mesh_record& record, time_point /*now*/) {
        const std::optional<drain_notice> notice = DecodeDrain(record.payload);
        if (notice) {
          successors_.Record(*notice);
        }
      });
}

std::vector<handover_record> node_handover::Collect(time_point now) const {
  std::vector<handover_record> records;
  for (const auto& [id, entry] : environment_.registry.entries()) {
    if (!CanMove(entry)) {
      continue;
    }
    const accepted_request& request = entry.run->request();
    records.push_back(
        MakeRecord(entry, request.original, request.deadline, now));
  }
  return records;
}

// Another availability zone first, since a reclaim takes a zone at once.
std::vector<handover_target> node_handover::Targets() const {
  std::vector<handover_target> near;
  std::vector<handover_target> targets;
  for (const auto& [name, one] : environment_.members.part().members().all()) {
    if (!one.accepts_requests()) {
      continue;
    }
    const bool same_zone =
        one.details.availability_zone == environment_.config.availability_zone;
    (same_zone ? near : targets).push_back({one.name, one.details.operators});
  }
  targets.insert(targets.end(), near.begin(), near.end());
  return targets;
}

void node_handover::HandOver(std::function<void(bool)> done) {
  const time_point now = environment_.clock();
  const std::vector<handover_record> records = Collect(now);
  if (records.empty()) {
    done(true);
    return;
  }
  std::vector<std::string> ids;
  for (const handover_record& record : records) {
    ids.push_back(record.id);
    // The successor starts from these tokens, so none may follow here. The try
    // goes on, since nobody may take the request.
    environment_.registry.Find(record.id)->run->SuspendOutput();
  }
  sender_.Send(
      records, Targets(),
      [this, ids, done = std::move(done)](const handover_outcome& outcome) {
        if (!outcome.adopted.empty()) {
          OnAdopted(outcome);
        }
        GoOn(ids);
        done(!outcome.adopted.empty());
      });
}

void node_handover::GoOn(const std::vector<std::string>& ids) {
  for (const std::string& id : ids) {
    request_entry* entry = environment_.registry.Find(id);
    if (entry != nullptr && entry->run != nullptr && !entry->moved) {
      entry->run->ResumeOutput();
    }
  }
}

void node_handover::OnAdopted(const handover_outcome& outcome) {
  const drain_notice notice{{held_owners_.begin(), held_owners_.end()},
                            outcome.successor};
  successors_.Record(notice);
  environment_.members.part().Publish(kDrainTopic, EncodeDrain(notice));
  for (const std::string& id : outcome.adopted) {
    request_entry* entry = environment_.registry.Find(id);
    if (entry == nullptr || entry->run == nullptr) {
      continue;
    }
    entry->moved = true;
    entry->run->MoveAway();
  }
}

void node_handover::OnHandover(const http_exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  const bool genuine = VerifyPeer(environment_.config.mesh_key, request.body,
                                  request.headers.Get(kPeerSignatureHeader),
                                  environment_.wall_clock());
  const std::optional<std::vector<handover_record>> records =
      genuine ? DecodeHandover(request.body) : std::nullopt;
  if (!records || !environment_.callers.Ready(environment_.clock())) {
    exchange->Reply(ToResponse(MakeProblem(
        genuine ? refusal_reason::kNotReady : refusal_reason::kUnauthenticated,
        run_state::kNotRun, "the requests were not taken", "")));
    return;
  }
  std::vector<std::string> adopted;
  for (const handover_record& record : *records) {
    if (environment_.runner.Adopt(record)) {
      held_owners_.insert(OwnerOf(record.id));
      adopted.push_back(record.id);
    }
  }
  exchange->Reply(
      {kOk, {{"Content-Type", "application/json"}}, EncodeAdopted(adopted)});
}

bool node_handover::ReadElsewhere(const http_exchange_ptr& exchange,
                                  const std::string& request_id) {
  const std::string owner = OwnerOf(request_id);
  std::string holder = successors_.HolderOf(owner);
  if (holder.empty()) {
    holder = NodeNameOf(owner);
  }
  const member* found = environment_.members.part().members().Find(holder);
  if (holder.empty() || found == nullptr ||
      found->state == member_state::kRemoved) {
    return false;
  }
  reader_.Forward(exchange, found->details.callers);
  return true;
}

}  // namespace skylarkcroft
