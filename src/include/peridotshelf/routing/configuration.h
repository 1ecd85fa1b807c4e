/// The operator's configuration: routes, services, teams and caller limits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/http/front_server.h"

namespace peridotshelf::routing {

/// Whether a request may run more than once.
enum class RetrySafety {
  kIdempotent,    ///< May run any number of times.
  kUnrepeatable,  ///< Runs at most once.
  kStream,        ///< An event stream, retryable if Route::resumable is set.
};

/// A service that receives a share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Maps requests to services and sets their latency objectives and limits.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RetrySafety retry_safety = RetrySafety::kUnrepeatable;
  /// Maximum number of engines that may run one request.
  int32_t max_attempts = 1;
  /// Maximum time that a caller is kept waiting; zero for no limit.
  Duration time_limit{};
  /// Target time to the complete response, or to a stream's first event.
  Duration latency_objective{};
  /// Longest gap between events with which a stream meets its objective.
  Duration max_pause{};
  /// Callers of a stream disconnect after this long without an event.
  Duration caller_timeout{};
  /// 0 is the highest priority.
  int32_t priority = 0;
  /// Requests need no key.
  bool is_public = false;
  /// An interrupted stream may continue at another engine.
  bool resumable = false;
  /// Requests may reach only engines in these regions; empty for any engine.
  std::vector<std::string> allowed_regions;
  std::vector<WeightedService> services;

  /// Returns whether a request may be retried although it may have run before.
  bool IsRetryable() const {
    return retry_safety == RetrySafety::kIdempotent ||
           (retry_safety == RetrySafety::kStream && resumable);
  }
};

/// Speed and capacity of a service's engines, as declared by the operator.
struct EngineSpeed {
  /// Number of concurrent requests.
  int32_t slots = 1;
  int64_t memory_tokens = 0;
  /// Base duration of a decode step, which yields a token per running request.
  double step_ms = 0;
  double step_ms_per_decoding_request = 0;
  double step_ms_per_1000_context_tokens = 0;
  double prefill_tokens_per_ms = 1;
  /// Cost per million pairs of a prompt token and a preceding token.
  double prefill_ms_per_million_pairs = 0;
  /// Maximum number of prompt tokens in one step.
  int64_t prefill_tokens_per_step = 1;
  /// Steps of one batch iteration while any request is decoding.
  int32_t steps_per_iteration = 1;
};

/// A group of interchangeable backend servers.
struct Service {
  std::string name;
  /// Set for LLM engines, absent for other services.
  std::optional<EngineSpeed> speed;
  /// How long a backend server is cold after its start during traffic.
  Duration cold_time{};
  /// Requests per second that a cold backend server tolerates from all entries
  /// together; 0 for no limit.
  double cold_requests_per_second = 0;
};

/// A team and its API keys.
struct Team {
  TeamId id;
  std::vector<std::string> keys;
  /// Takes precedence over the priority of routes.
  std::optional<int32_t> priority;
  /// As for a route.
  std::vector<std::string> allowed_regions{};
};

/// One version of the routes, services, teams and limits. Immutable.
class Configuration {
 public:
  /// Builds the lookup tables. A later service or team key replaces an equal
  /// earlier one; of routes with the same host and prefix the first is used.
  class Builder {
   public:
    Builder& SetVersion(int64_t version);
    Builder& AddRoute(Route route);
    Builder& AddService(Service service);
    Builder& AddTeam(Team team);
    /// Sets whether requests must carry a team's key.
    Builder& SetKeysRequired(bool required);
    Builder& SetCallerLimits(const http::CallerLimits& limits);
    /// Returns the configuration; the builder must not be used afterwards.
    Configuration Build();

   private:
    int64_t m_version = 0;
    bool m_keys_required = false;
    http::CallerLimits m_limits;
    std::vector<Route> m_routes;
    std::vector<Service> m_services;
    std::vector<Team> m_teams;
  };

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Service* FindService(std::string_view name) const;
  /// Returns the team that owns `key`, or null.
  const Team* FindTeam(std::string_view key) const;

  int64_t version() const { return m_version; }
  bool keys_required() const { return m_keys_required; }
  const http::CallerLimits& caller_limits() const { return m_limits; }
  size_t route_count() const { return m_route_count; }
  const std::unordered_map<std::string, Service>& services() const {
    return m_services;
  }

 private:
  Configuration() = default;

  int64_t m_version = 0;
  bool m_keys_required = false;
  http::CallerLimits m_limits;
  size_t m_route_count = 0;
  /// Keyed by host; longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> m_routes;
  std::unordered_map<std::string, Service> m_services;
  std::vector<Team> m_teams;
  std::unordered_map<std::string, size_t> m_team_by_key;
};

/// Picks one of the route's services by weight; `draw` is uniform in [0, 1).
/// Excludes the services in `skip`; returns null if no service remains.
const WeightedService* PickService(const Route& route, double draw,
                                   const std::vector<std::string>& skip = {});

/// Returns the regions whose engines may receive a request, those that both the
/// route and its team (null if it has none) allow. nullopt: any engine may.
std::optional<std::vector<std::string>> FindAllowedRegions(const Route& route,
                                                           const Team* team);

}  // namespace peridotshelf::routing
