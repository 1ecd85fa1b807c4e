/// Chooses where a request may run, and whether its team may run it.
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

/// One place to run at.
struct Candidate {
  HostId host;
  /// The engine's or plain backend server's id.
  std::string backend;
};

/// Whether the entry has a connection to a host's side.
using Reachable = std::function<bool(const HostId&)>;

/// A request's part of its team's limit; given back when destroyed.
class TeamHold {
 public:
  TeamHold(std::shared_ptr<policy::TeamLimiter> limiter, TeamId team,
           int64_t tokens)
      : m_limiter(std::move(limiter)),
        m_team(std::move(team)),
        m_tokens(tokens) {}
  ~TeamHold() { m_limiter->Release(m_team, m_tokens); }
  TeamHold(const TeamHold&) = delete;
  TeamHold& operator=(const TeamHold&) = delete;

 private:
  std::shared_ptr<policy::TeamLimiter> m_limiter;
  TeamId m_team;
  int64_t m_tokens;
};

using TeamHoldPtr = std::shared_ptr<TeamHold>;

/// Places prompts at engines by what sides have said of them. Thread-safe.
class Placer {
 public:
  explicit Placer(const FailureDomain& local_domain)
      : m_placement(local_domain) {}

  /// Takes the platform's newest list: engines of hosts that are not in it, or
  /// leaving, are not chosen.
  void UpdateHosts(std::span<const platform::HostEntry> hosts);
  /// Up to two reachable engines to ask, in order, and why. `excluded` were
  /// tried.
  Result<policy::PlacementResult> Place(const control::ControlStatePtr& state,
                                        const CompletionRequest& request,
                                        std::span<const EngineId> excluded,
                                        const Reachable& reachable);
  /// A side said how loaded its engine is.
  void OnLoad(const wire::EngineLoad& load);
  /// A side refused, or could not be reached.
  void OnRefused(const EngineId& engine, Duration retry_after);
  /// Counts the request against its team's limit, or kTeamLimit.
  Result<TeamHoldPtr> Admit(const control::ControlState& state,
                            const CompletionRequest& request);

 private:
  void Refresh(const control::ControlStatePtr& state);

  policy::Placement m_placement;
  std::shared_ptr<policy::TeamLimiter> m_limiter =
      std::make_shared<policy::TeamLimiter>();
  std::mutex m_mutex;
  std::map<HostId, platform::HostEntry> m_hosts;
  /// The state that m_placement follows.
  control::ControlStatePtr m_applied;
  bool m_hosts_changed = false;
};

/// The priority of a team at the service of a model; 0 if it has none.
int32_t PriorityOf(const control::ControlState& state, std::string_view model,
                   const TeamId& team);

/// A plain backend server, or kUnknownService or kNoBackend.
Result<Candidate> PlaceServiceCall(const control::ControlState& state,
                                   const ServiceRequest& request,
                                   const Reachable& reachable);

}  // namespace peridotshelf::entry
