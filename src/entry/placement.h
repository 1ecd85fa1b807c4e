/// Placement of requests, and admission by the limits of their teams.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "entry/requests.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/platform/concepts.h"
#include "peridotshelf/policy/placement.h"
#include "peridotshelf/policy/team_limiter.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::entry {

/// A backend server that can run a request, and its host.
struct Candidate {
  HostId host;
  /// The ID of the engine or the plain backend server.
  std::string backend;
};

/// Returns whether the entry has a connection to a host's side.
using ReachabilityCheck = std::function<bool(const HostId&)>;

/// A request's tokens under its team's limit; released on destruction.
class TeamAllocation {
 public:
  TeamAllocation(std::shared_ptr<policy::TeamLimiter> limiter, TeamId team,
                 int64_t tokens)
      : m_limiter(std::move(limiter)),
        m_team(std::move(team)),
        m_tokens(tokens) {}
  ~TeamAllocation() { m_limiter->Release(m_team, m_tokens); }
  TeamAllocation(const TeamAllocation&) = delete;
  TeamAllocation& operator=(const TeamAllocation&) = delete;

 private:
  std::shared_ptr<policy::TeamLimiter> m_limiter;
  TeamId m_team;
  int64_t m_tokens;
};

using TeamAllocationPtr = std::shared_ptr<TeamAllocation>;

/// Places prompts at engines by the load that sides report. Thread-safe.
class Placer {
 public:
  explicit Placer(const FailureDomain& local_domain)
      : m_placement(local_domain) {}

  /// Applies the platform's newest list of hosts. Engines of hosts that are
  /// missing from it or leaving are not chosen.
  void UpdateHosts(std::span<const platform::HostEntry> hosts);
  /// Returns up to two reachable engines, best first, and the reason for the
  /// choice. Engines in `excluded` are not chosen.
  Result<policy::PlacementResult> Place(const control::ControlStatePtr& state,
                                        const CompletionRequest& request,
                                        std::span<const EngineId> excluded,
                                        const ReachabilityCheck& is_reachable);
  /// Records the load that a side reported for its engine.
  void OnLoad(const wire::EngineLoad& load);
  /// Avoids an engine for `retry_after`: its side refused a request or is
  /// unreachable.
  void OnRefused(const EngineId& engine, Duration retry_after);
  /// Allocates the request's tokens under its team's limit. Fails with
  /// kTeamLimit.
  Result<TeamAllocationPtr> Admit(const control::ControlState& state,
                                  const CompletionRequest& request);

 private:
  void UpdatePlacement(const control::ControlStatePtr& state);

  policy::Placement m_placement;
  std::shared_ptr<policy::TeamLimiter> m_limiter =
      std::make_shared<policy::TeamLimiter>();
  std::mutex m_mutex;
  std::map<HostId, platform::HostEntry> m_hosts;
  /// The state that `m_placement` was last updated to.
  control::ControlStatePtr m_applied_state;
  bool m_hosts_changed = false;
};

/// Returns the team's priority at the service of a model, 0 by default.
int32_t FindTeamPriority(const control::ControlState& state,
                         std::string_view model, const TeamId& team);

/// Returns a random reachable backend server of a plain service. Fails with
/// kUnknownService or kNoBackend.
Result<Candidate> PlaceServiceCall(const control::ControlState& state,
                                   const ServiceRequest& request,
                                   const ReachabilityCheck& is_reachable);

}  // namespace peridotshelf::entry
