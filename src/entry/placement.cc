#include "entry/placement.h"

#include <algorithm>
#include <random>
#include <vector>

#include "peridotshelf/policy/prefix.h"

namespace peridotshelf::entry {
namespace {

constexpr Duration kTeamRetryAfter = std::chrono::seconds(1);
/// Placements tried while the chosen engines' sides are not connected.
constexpr int kPlaceTries = 8;
/// How long an engine is avoided whose side is not connected.
constexpr Duration kUnreachableAvoided = std::chrono::milliseconds(200);

TimePoint Now() { return SteadyClock().Now(); }

std::mt19937_64& Random() {
  thread_local std::mt19937_64 engine{std::random_device{}()};
  return engine;
}

size_t RandomBelow(size_t limit) {
  return std::uniform_int_distribution<size_t>(0, limit - 1)(Random());
}

const control::TeamConfig* FindTeam(const control::ControlState& state,
                                    std::string_view model,
                                    const TeamId& team) {
  for (const control::ServiceConfig& service : state.configuration->services) {
    if (service.model != model) continue;
    for (const control::TeamConfig& config : service.teams) {
      if (config.id == team) return &config;
    }
  }
  return nullptr;
}

control::Preset PresetInForce(const control::ControlState& state) {
  for (const control::Preset& preset : state.configuration->presets) {
    if (preset.name == state.preset) return preset;
  }
  return {};
}

/// A model may be known although none of its hosts is live.
Error Explain(const control::ControlState& state, Error error) {
  const auto& engines = state.configuration->engines;
  const bool known = std::any_of(
      engines.begin(), engines.end(),
      [&](const auto& engine) { return engine.model == error.detail; });
  if (error.code == ErrorCode::kUnknownModel && known) {
    error.code = ErrorCode::kNoBackend;
  }
  return error;
}

}  // namespace

int32_t PriorityOf(const control::ControlState& state, std::string_view model,
                   const TeamId& team) {
  const control::TeamConfig* config = FindTeam(state, model, team);
  return config == nullptr ? 0 : config->priority;
}

void Placer::UpdateHosts(std::span<const platform::HostEntry> hosts) {
  int64_t entries = 0;
  std::scoped_lock lock(m_mutex);
  m_hosts.clear();
  for (const platform::HostEntry& host : hosts) {
    if (host.role == platform::HostRole::kEntry) {
      ++entries;
    } else {
      m_hosts[host.host] = host;
    }
  }
  m_hosts_changed = true;
  m_limiter->SetEntryCount(entries);
}

void Placer::Refresh(const control::ControlStatePtr& state) {
  std::scoped_lock lock(m_mutex);
  if (state == m_applied && !m_hosts_changed) return;
  std::vector<policy::EngineLocation> engines;
  for (const control::EngineConfig& config : state->configuration->engines) {
    const auto host = m_hosts.find(config.host);
    const bool live = host != m_hosts.end() &&
                      host->second.state == platform::HostState::kLive &&
                      !state->draining.contains(config.host);
    if (live) engines.push_back({config, host->second.failure_domain});
  }
  m_placement.Update(engines, PresetInForce(*state));
  m_applied = state;
  m_hosts_changed = false;
}

Result<policy::PlacementResult> Placer::Place(
    const control::ControlStatePtr& state, const CompletionRequest& request,
    std::span<const EngineId> excluded, const Reachable& reachable) {
  Refresh(state);
  const std::vector<uint64_t> hashes =
      policy::HashPrefixBlocks(request.prompt_json);
  std::vector<EngineId> passed_over(excluded.begin(), excluded.end());
  for (int i = 0; i < kPlaceTries; ++i) {
    policy::PlacementRequest wanted;
    wanted.model = request.model;
    wanted.prompt_tokens = request.prompt_tokens;
    wanted.max_tokens = request.max_tokens;
    wanted.prefix_hashes = hashes;
    wanted.excluded = passed_over;
    auto placed = m_placement.Place(wanted, Now(), Random());
    if (!placed) return tl::unexpected<Error>(Explain(*state, placed.error()));
    std::erase_if(placed->candidates, [&](const auto& candidate) {
      if (reachable(candidate.host)) return false;
      passed_over.push_back(candidate.engine);
      OnRefused(candidate.engine, kUnreachableAvoided);
      return true;
    });
    if (!placed->candidates.empty()) return placed;
  }
  return Fail(ErrorCode::kNoBackend, request.model);
}

void Placer::OnLoad(const wire::EngineLoad& load) {
  policy::EngineLoad hint;
  hint.free_tokens = load.free_tokens;
  hint.free_slots = load.free_slots;
  hint.queued = load.queued;
  hint.queued_tokens = load.queued_tokens;
  hint.running_long = load.running_long;
  hint.leaving = load.leaving;
  m_placement.OnLoad(EngineId(load.engine), hint, Now());
}

void Placer::OnRefused(const EngineId& engine, Duration retry_after) {
  m_placement.OnRefused(engine, Now(), retry_after);
}

Result<TeamHoldPtr> Placer::Admit(const control::ControlState& state,
                                  const CompletionRequest& request) {
  const TeamId& team = request.terms.team;
  const control::TeamConfig* config = FindTeam(state, request.model, team);
  const int64_t limit = config == nullptr ? 0 : config->max_running_tokens;
  const int64_t tokens = request.prompt_tokens + request.max_tokens;
  if (!m_limiter->TryAcquire(team, tokens, limit)) {
    return tl::unexpected<Error>(
        Error{ErrorCode::kTeamLimit, team.value(), true, kTeamRetryAfter});
  }
  return std::make_shared<TeamHold>(m_limiter, team, tokens);
}

Result<Candidate> PlaceServiceCall(const control::ControlState& state,
                                   const ServiceRequest& request,
                                   const Reachable& reachable) {
  const auto& services = state.configuration->services;
  const auto service =
      std::find_if(services.begin(), services.end(), [&](const auto& s) {
        return s.name == request.service &&
               s.kind == control::ServiceKind::kPlain;
      });
  if (service == services.end()) {
    return Fail(ErrorCode::kUnknownService, request.service);
  }
  std::vector<Candidate> candidates;
  for (const auto& backend : state.configuration->backends) {
    const auto& listed = service->backends;
    if (std::find(listed.begin(), listed.end(), backend.id) != listed.end() &&
        reachable(backend.host)) {
      candidates.push_back({backend.host, backend.id});
    }
  }
  if (candidates.empty()) return Fail(ErrorCode::kNoBackend, request.service);
  return candidates[RandomBelow(candidates.size())];
}

}  // namespace peridotshelf::entry
