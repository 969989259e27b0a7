#include "skylarkcroft/service/skylarkcroft_service_map.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "skylarkcroft/http/skylarkcroft_http_message.h"

namespace skylarkcroft {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
  }
  return lower;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

service_lookup::service_lookup(service_map map)
    : map_(std::move(map)), route_order_(map_.routes.size()) {
  for (service_route& route : map_.routes) {
    route.host = LowerCase(route.host);
  }
  std::iota(route_order_.begin(), route_order_.end(), size_t{0});
  std::sort(route_order_.begin(), route_order_.end(),
            [this](size_t left, size_t right) {
              const service_route& a = map_.routes[left];
              const service_route& b = map_.routes[right];
              if (a.host != b.host) {
                return a.host < b.host;
              }
              return a.path_prefix.size() > b.path_prefix.size();
            });
  for (size_t i = 0; i < map_.workspaces.size(); ++i) {
    for (const std::string& key : map_.workspaces[i].keys) {
      keys_.push_back({key, i});
    }
  }
  std::sort(
      keys_.begin(), keys_.end(),
      [](const key_owner& a, const key_owner& b) { return a.key < b.key; });
}

const service_route* service_lookup::FindRoute(std::string_view host,
                                               std::string_view path) const {
  const std::string normalized_host = LowerCase(WithoutPort(host));
  auto next = std::lower_bound(route_order_.begin(), route_order_.end(),
                               normalized_host,
                               [this](size_t index, const std::string& name) {
                                 return map_.routes[index].host < name;
                               });
  for (; next != route_order_.end(); ++next) {
    const service_route& route = map_.routes[*next];
    if (route.host != normalized_host) {
      break;
    }
    if (path.starts_with(route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const service_pool* service_lookup::FindPool(std::string_view name) const {
  const auto found =
      std::find_if(map_.pools.begin(), map_.pools.end(),
                   [&](const service_pool& pool) { return pool.name == name; });
  return found == map_.pools.end() ? nullptr : &*found;
}

const workspace_entry* service_lookup::FindWorkspaceByKey(
    std::string_view key) const {
  const auto found = std::lower_bound(
      keys_.begin(), keys_.end(), key,
      [](const key_owner& a, std::string_view b) { return a.key < b; });
  if (found == keys_.end() || found->key != key) {
    return nullptr;
  }
  return &map_.workspaces[found->workspace];
}

const std::string& ChooseService(const service_route& route, double draw) {
  double total = 0;
  for (const weighted_service& candidate : route.services) {
    total += candidate.weight;
  }
  double left = draw * total;
  for (const weighted_service& candidate : route.services) {
    left -= candidate.weight;
    if (left < 0) {
      return candidate.service;
    }
  }
  return route.services.back().service;
}

}  // namespace skylarkcroft
