#include "load/skylarkcroft_mesh_cluster.h"

namespace skylarkcroft::load {
namespace {

constexpr milliseconds kStep{50};
constexpr int64_t kStartMs = 1700000000000;
constexpr uint16_t kPort = 7000;
constexpr size_t kHostsInSubnet = 200;

}  // namespace

std::string mesh_cluster::NameOf(size_t index) {
  return "node-" + std::to_string(index);
}

endpoint mesh_cluster::AddressOf(size_t index) {
  return {"10.0." + std::to_string(index / kHostsInSubnet) + "." +
              std::to_string(1 + index % kHostsInSubnet),
          kPort};
}

mesh_cluster::mesh_cluster(size_t size, const memory_network_options& network)
    : network_(network) {
  for (size_t index = 0; index < size; ++index) {
    Add();
  }
}

mesh_time mesh_cluster::time() const {
  return {network_.now(), kStartMs + ElapsedMs(time_point{}, network_.now())};
}

mesh_cluster::node& mesh_cluster::Add() {
  auto added = std::make_unique<node>();
  added->name = NameOf(nodes_.size());
  added->address = AddressOf(nodes_.size());
  Start(*added, milliseconds(0));
  nodes_.push_back(std::move(added));
  return *nodes_.back();
}

void mesh_cluster::Start(node& member, milliseconds behind) {
  member.transport = network_.Attach(
      member.address,
      [this, &member](const std::string& bytes, time_point /*now*/) {
        if (member.part && !member.paused) {
          member.part->OnBytes(bytes, time());
        }
      });
  mesh_options options;
  options.name = member.name;
  options.incarnation = time().wall_ms + 1 - behind.count();
  options.key = "shared";
  options.seeds = {AddressOf(0), AddressOf(1)};
  options.seed = next_seed_++;
  mesh_callbacks hooks;
  hooks.revision = [&member] { return member.revision; };
  hooks.on_revision = [this, &member](const revision_report& report,
                                      time_point /*now*/) {
    if (report.revision > member.revision) {
      member.revision = report.revision;
      member.part->RequestEarlyRound();
    }
    if (keep_reports_) {
      member.reports.push_back(report);
    }
  };
  hooks.on_record = [](const mesh_record&, time_point) {};
  hooks.on_direct = [&member](const std::string& from, const std::string& topic,
                              const std::string& payload, const mesh_time&) {
    member.directs.push_back(from + " " + topic + " " + payload);
  };
  member_details self;
  self.mesh = member.address;
  self.callers = {member.address.host, 8080};
  self.operators = {member.address.host, 9090};
  self.availability_zone = "zone-a";
  self.region = "region-a";
  member.part = std::make_unique<mesh>(options, self, *member.transport,
                                       std::move(hooks));
}

void mesh_cluster::Kill(size_t index) {
  network_.Detach(nodes_[index]->address);
  nodes_[index]->part.reset();
}

void mesh_cluster::Restart(size_t index, milliseconds behind) {
  Kill(index);
  Start(*nodes_[index], behind);
}

void mesh_cluster::Step() {
  network_.Deliver(network_.now() + kStep);
  for (const auto& member : nodes_) {
    if (member->part && !member->paused) {
      member->part->Tick(time());
    }
  }
}

void mesh_cluster::Run(milliseconds duration) {
  const time_point end = network_.now() + duration;
  while (network_.now() < end) {
    Step();
  }
}

milliseconds mesh_cluster::RunUntil(const std::function<bool()>& holds,
                                    milliseconds limit) {
  const time_point start = network_.now();
  while (!holds() && network_.now() - start <= limit) {
    Step();
  }
  return milliseconds(ElapsedMs(start, network_.now()));
}

bool mesh_cluster::AllKnowAll() const {
  size_t running = 0;
  for (const auto& member : nodes_) {
    running += member->part ? 1 : 0;
  }
  for (const auto& member : nodes_) {
    if (member->part && member->part->members().active_count() != running - 1) {
      return false;
    }
  }
  return true;
}

size_t mesh_cluster::CountState(const std::string& name,
                                member_state state) const {
  size_t count = 0;
  for (const auto& member : nodes_) {
    const struct member* known =
        member->part ? member->part->members().Find(name) : nullptr;
    count += known != nullptr && known->state == state ? 1 : 0;
  }
  return count;
}

}  // namespace skylarkcroft::load
