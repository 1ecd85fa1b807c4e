#include "peridotshelf/routing/configuration.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::routing {

using Builder = Configuration::Builder;

Builder& Builder::SetVersion(int64_t version) {
  m_version = version;
  return *this;
}

Builder& Builder::AddRoute(Route route) {
  m_routes.push_back(std::move(route));
  return *this;
}

Builder& Builder::AddService(Service service) {
  m_services.push_back(std::move(service));
  return *this;
}

Builder& Builder::AddTeam(Team team) {
  m_teams.push_back(std::move(team));
  return *this;
}

Builder& Builder::SetKeysRequired(bool required) {
  m_keys_required = required;
  return *this;
}

Builder& Builder::SetCallerLimits(const http::CallerLimits& limits) {
  m_limits = limits;
  return *this;
}

Configuration Builder::Build() {
  Configuration configuration;
  configuration.m_version = m_version;
  configuration.m_keys_required = m_keys_required;
  configuration.m_limits = m_limits;
  configuration.m_route_count = m_routes.size();
  for (Route& route : m_routes) {
    configuration.m_routes[route.host].push_back(std::move(route));
  }
  for (auto& [host, routes] : configuration.m_routes) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route& a, const Route& b) {
                       return a.path_prefix.size() > b.path_prefix.size();
                     });
  }
  for (Service& service : m_services) {
    std::string name = service.name;
    configuration.m_services.insert_or_assign(std::move(name),
                                              std::move(service));
  }
  configuration.m_teams = std::move(m_teams);
  for (size_t i = 0; i < configuration.m_teams.size(); ++i) {
    for (const std::string& key : configuration.m_teams[i].keys) {
      configuration.m_team_by_key.insert_or_assign(key, i);
    }
  }
  return configuration;
}

const Route* Configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const auto found = m_routes.find(std::string(host));
  if (found == m_routes.end()) return nullptr;
  for (const Route& route : found->second) {
    if (path.starts_with(route.path_prefix)) return &route;
  }
  return nullptr;
}

const Service* Configuration::FindService(std::string_view name) const {
  const auto found = m_services.find(std::string(name));
  return found == m_services.end() ? nullptr : &found->second;
}

const Team* Configuration::FindTeam(std::string_view key) const {
  const auto found = m_team_by_key.find(std::string(key));
  return found == m_team_by_key.end() ? nullptr : &m_teams[found->second];
}

std::optional<std::vector<std::string>> FindAllowedRegions(const Route& route,
                                                           const Team* team) {
  const bool has_route_homes = !route.allowed_regions.empty();
  const bool has_team_homes = team != nullptr && !team->allowed_regions.empty();
  if (!has_route_homes && !has_team_homes) return std::nullopt;
  if (!has_team_homes) return route.allowed_regions;
  std::vector<std::string> regions = team->allowed_regions;
  if (has_route_homes) {
    std::erase_if(regions, [&route](const std::string& region) {
      return std::find(route.allowed_regions.begin(),
                       route.allowed_regions.end(),
                       region) == route.allowed_regions.end();
    });
  }
  return regions;
}

const WeightedService* PickService(const Route& route, double draw,
                                   const std::vector<std::string>& skip) {
  const auto is_usable = [&](const WeightedService& candidate) {
    return candidate.weight > 0 &&
           std::find(skip.begin(), skip.end(), candidate.service) == skip.end();
  };
  double total = 0;
  for (const WeightedService& candidate : route.services) {
    if (is_usable(candidate)) total += candidate.weight;
  }
  double remaining = draw * total;
  const WeightedService* last = nullptr;
  for (const WeightedService& candidate : route.services) {
    if (!is_usable(candidate)) continue;
    last = &candidate;
    remaining -= candidate.weight;
    if (remaining < 0) break;
  }
  return last;
}

}  // namespace peridotshelf::routing
