#include "standins/platform/skylarkcroft_lagging_host_list.h"

#include <utility>

namespace skylarkcroft::standin {
namespace {

bool IsSame(const listed_host& left, const listed_host& right) {
  return left.id == right.id && left.incarnation == right.incarnation;
}

}  // namespace

void lagging_host_list::Replace(std::vector<listed_host> hosts, time_point at) {
  pending_.insert({at, {change_kind::kReplace, std::move(hosts)}});
}

void lagging_host_list::Add(const listed_host& host, time_point at) {
  pending_.insert({at, {change_kind::kAdd, {host}}});
}

void lagging_host_list::Leave(const listed_host& host, time_point at) {
  pending_.insert({at, {change_kind::kLeave, {host}}});
}

void lagging_host_list::Remove(const listed_host& host, time_point at) {
  pending_.insert({at, {change_kind::kRemove, {host}}});
}

host_list_snapshot lagging_host_list::Visible(time_point now) {
  while (!pending_.empty() && pending_.begin()->first + lag_ <= now) {
    Apply(pending_.begin()->second, visible_);
    pending_.erase(pending_.begin());
  }
  return visible_;
}

host_list_snapshot lagging_host_list::Truth(time_point now) const {
  host_list_snapshot truth = visible_;
  for (const auto& [at, happened] : pending_) {
    if (at > now) {
      break;
    }
    Apply(happened, truth);
  }
  return truth;
}

void lagging_host_list::Apply(const change& happened,
                              host_list_snapshot& snapshot) {
  ++snapshot.version;
  std::vector<listed_host>& hosts = snapshot.hosts;
  if (happened.kind == change_kind::kReplace) {
    hosts = happened.hosts;
    return;
  }
  const listed_host& changed = happened.hosts.front();
  if (happened.kind == change_kind::kAdd) {
    hosts.push_back(changed);
    return;
  }
  if (happened.kind == change_kind::kRemove) {
    std::erase_if(
        hosts, [&](const listed_host& host) { return IsSame(host, changed); });
    return;
  }
  for (listed_host& host : hosts) {
    if (IsSame(host, changed)) {
      host.state = host_state::kLeaving;
    }
  }
}

}  // namespace skylarkcroft::standin
