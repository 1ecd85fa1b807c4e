/// What operators have decided: routes, services, teams and callers' limits.
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

/// What may happen to a request more than once.
enum class RetrySafety {
  kIdempotent,    ///< May run any number of times.
  kUnrepeatable,  ///< Runs at most once.
  kStream,        ///< A stream of events; see Route::resumable.
};

/// A share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Which requests go where, and what their callers expect.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RetrySafety retry_safety = RetrySafety::kUnrepeatable;
  /// Most engines that may run one request.
  int32_t max_attempts = 1;
  /// The longest that a caller is kept waiting; zero for no limit.
  Duration time_limit{};
  /// Until the whole answer, or until a stream's first event.
  Duration latency_objective{};
  /// The longest pause between events with which a stream is still on time.
  Duration max_pause{};
  /// Callers of a stream give up after this long without an event.
  Duration caller_timeout{};
  /// 0 is the most urgent.
  int32_t priority = 0;
  /// Needs no key.
  bool is_public = false;
  /// A broken stream may go on at another engine.
  bool resumable = false;
  std::vector<WeightedService> services;

  /// Whether the request may run again after it may have run.
  bool IsRetryable() const {
    return retry_safety == RetrySafety::kIdempotent ||
           (retry_safety == RetrySafety::kStream && resumable);
  }
};

/// How fast an engine of a service works, as its operator states it.
struct EngineSpeed {
  /// Requests that run at once.
  int32_t slots = 1;
  int64_t memory_tokens = 0;
  /// A step that writes one token of each running request.
  double step_ms = 0;
  double step_ms_per_decoding_request = 0;
  double step_ms_per_1000_context_tokens = 0;
  double prefill_tokens_per_ms = 1;
  /// For each million pairs of a prompt token and one before it.
  double prefill_ms_per_million_pairs = 0;
  /// Most prompt tokens read in one step.
  int64_t prefill_tokens_per_step = 1;
  /// Steps of one pass over the batch while anything is written.
  int32_t steps_per_iteration = 1;
};

/// Backend servers that do the same work.
struct Service {
  std::string name;
  /// Set for model engines, absent for plain services.
  std::optional<EngineSpeed> speed;
};

/// One team and its keys.
struct Team {
  TeamId id;
  std::vector<std::string> keys;
  /// Takes precedence over the priority of routes.
  std::optional<int32_t> priority;
};

/// One version of everything above; never changed once made.
class Configuration {
 public:
  /// Builds the look-up tables; later entries of the same name win.
  class Builder {
   public:
    Builder& SetVersion(int64_t version);
    Builder& AddRoute(Route route);
    Builder& AddService(Service service);
    Builder& AddTeam(Team team);
    /// Whether requests need a team's key at all.
    Builder& SetKeysRequired(bool required);
    Builder& SetCallerLimits(const http::CallerLimits& limits);
    /// The builder is empty afterwards.
    Configuration Build();

   private:
    int64_t m_version = 0;
    bool m_keys_required = false;
    http::CallerLimits m_limits;
    std::vector<Route> m_routes;
    std::vector<Service> m_services;
    std::vector<Team> m_teams;
  };

  /// The route of `host` with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Service* FindService(std::string_view name) const;
  /// The team that holds `key`, or null.
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
  /// By host, longest prefix first.
  std::unordered_map<std::string, std::vector<Route>> m_routes;
  std::unordered_map<std::string, Service> m_services;
  std::vector<Team> m_teams;
  std::unordered_map<std::string, size_t> m_team_by_key;
};

/// Picks one of the route's services by weight; `draw` is even in [0, 1).
/// Services in `skip` are left out; null if none is left.
const WeightedService* PickService(const Route& route, double draw,
                                   const std::vector<std::string>& skip = {});

}  // namespace peridotshelf::routing
