#include "entry/placement.h"

#include <algorithm>
#include <random>
#include <vector>

#include "peridotshelf/policy/prefix.h"

namespace peridotshelf::entry {
namespace {

constexpr Duration kTeamRetryAfter = std::chrono::seconds(1);
/// Placements to try while the sides of the chosen engines are unreachable.
constexpr int kMaxPlacementTries = 8;
/// How long an engine with an unreachable side is avoided.
constexpr Duration kUnreachableCooldown = std::chrono::milliseconds(200);

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

control::Preset FindActivePreset(const control::ControlState& state) {
  for (const control::Preset& preset : state.configuration->presets) {
    if (preset.name == state.preset) return preset;
  }
  return {};
}

/// Turns kUnknownModel into kNoBackend if the model is configured: then the
/// model is missing from the placement because none of its hosts is live.
Error RefineError(const control::ControlState& state, Error error) {
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

int32_t FindTeamPriority(const control::ControlState& state,
                         std::string_view model, const TeamId& team) {
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

void Placer::UpdatePlacement(const control::ControlStatePtr& state) {
  std::scoped_lock lock(m_mutex);
  if (state == m_applied_state && !m_hosts_changed) return;
  std::vector<policy::EngineLocation> engines;
  for (const control::EngineConfig& config : state->configuration->engines) {
    const auto host = m_hosts.find(config.host);
    const bool is_live = host != m_hosts.end() &&
                         host->second.state == platform::HostState::kLive &&
                         !state->draining.contains(config.host);
    if (is_live) engines.push_back({config, host->second.failure_domain});
  }
  m_placement.Update(engines, FindActivePreset(*state));
  m_applied_state = state;
  m_hosts_changed = false;
}

Result<policy::PlacementResult> Placer::Place(
    const control::ControlStatePtr& state, const CompletionRequest& request,
    std::span<const EngineId> excluded, const ReachabilityCheck& is_reachable) {
  UpdatePlacement(state);
  const std::vector<uint64_t> hashes =
      policy::HashPrefixBlocks(request.prompt_json);
  std::vector<EngineId> skipped(excluded.begin(), excluded.end());
  for (int i = 0; i < kMaxPlacementTries; ++i) {
    policy::PlacementRequest placement_request;
    placement_request.model = request.model;
    placement_request.prompt_tokens = request.prompt_tokens;
    placement_request.max_tokens = request.max_tokens;
    placement_request.prefix_hashes = hashes;
    placement_request.excluded = skipped;
    auto result = m_placement.Place(placement_request, Now(), Random());
    if (!result)
      return tl::unexpected<Error>(RefineError(*state, result.error()));
    std::erase_if(result->candidates, [&](const auto& candidate) {
      if (is_reachable(candidate.host)) return false;
      skipped.push_back(candidate.engine);
      OnRefused(candidate.engine, kUnreachableCooldown);
      return true;
    });
    if (!result->candidates.empty()) return result;
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

Result<TeamAllocationPtr> Placer::Admit(const control::ControlState& state,
                                        const CompletionRequest& request) {
  const TeamId& team = request.options.team;
  const control::TeamConfig* config = FindTeam(state, request.model, team);
  const int64_t limit = config == nullptr ? 0 : config->max_running_tokens;
  const int64_t tokens = request.prompt_tokens + request.max_tokens;
  if (!m_limiter->TryAcquire(team, tokens, limit)) {
    return tl::unexpected<Error>(
        Error{ErrorCode::kTeamLimit, team.value(), true, kTeamRetryAfter});
  }
  return std::make_shared<TeamAllocation>(m_limiter, team, tokens);
}

Result<Candidate> PlaceServiceCall(const control::ControlState& state,
                                   const ServiceRequest& request,
                                   const ReachabilityCheck& is_reachable) {
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
        is_reachable(backend.host)) {
      candidates.push_back({backend.host, backend.id});
    }
  }
  if (candidates.empty()) return Fail(ErrorCode::kNoBackend, request.service);
  return candidates[RandomBelow(candidates.size())];
}

}  // namespace peridotshelf::entry
