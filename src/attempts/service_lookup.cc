#include "peridotshelf/attempts/service_lookup.h"

#include <algorithm>

namespace peridotshelf::attempts {
namespace {

template <class P>
const control::ServiceConfig* FindPlainServiceIf(
    const control::Configuration& configuration, P&& matches) {
  for (const control::ServiceConfig& service : configuration.services) {
    if (service.kind != control::ServiceKind::kPlain) continue;
    if (matches(service)) return &service;
  }
  return nullptr;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

std::string MakeScopedKey(const std::string& service, const TeamId& team,
                          const std::string& idempotency_key) {
  // The length prefixes keep different triples distinct.
  return std::to_string(service.size()) + ":" + service +
         std::to_string(team.value().size()) + ":" + team.value() +
         idempotency_key;
}

std::vector<HostId> FindServiceHosts(const control::ControlState& state,
                                     const control::ServiceConfig& service) {
  std::vector<HostId> hosts;
  for (const auto& backend : state.configuration->backends) {
    if (!Contains(service.backends, backend.id)) continue;
    if (!state.draining.contains(backend.host)) hosts.push_back(backend.host);
  }
  std::sort(hosts.begin(), hosts.end());
  hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
  return hosts;
}

const control::ServiceConfig* FindPlainService(
    const control::Configuration& configuration, const std::string& name) {
  return FindPlainServiceIf(
      configuration, [&](const auto& service) { return service.name == name; });
}

const control::ServiceConfig* FindServiceOfBackend(
    const control::Configuration& configuration, const std::string& backend) {
  return FindPlainServiceIf(configuration, [&](const auto& service) {
    return Contains(service.backends, backend);
  });
}

}  // namespace peridotshelf::attempts
