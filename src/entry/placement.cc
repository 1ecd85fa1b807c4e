#include "entry/placement.h"

#include <algorithm>
#include <random>
#include <vector>

namespace peridotshelf::entry {
namespace {

size_t RandomBelow(size_t limit) {
  thread_local std::mt19937_64 engine{std::random_device{}()};
  return std::uniform_int_distribution<size_t>(0, limit - 1)(engine);
}

}  // namespace

Result<Candidate> PlaceCompletion(const control::ControlState& state,
                                  const CompletionRequest& request,
                                  const Reachable& reachable) {
  const int64_t tokens = request.prompt_tokens + request.max_tokens;
  bool known = false;
  bool large_enough = false;
  std::vector<const control::EngineConfig*> fitting;
  for (const control::EngineConfig& engine : state.configuration->engines) {
    if (engine.model != request.model) continue;
    known = true;
    if (tokens > engine.memory_tokens) continue;
    large_enough = true;
    if (reachable(engine.host)) fitting.push_back(&engine);
  }
  if (!known) return Fail(ErrorCode::kUnknownModel, request.model);
  if (!large_enough) return Fail(ErrorCode::kTooLarge, "prompt");
  if (fitting.empty()) return Fail(ErrorCode::kNoBackend, request.model);
  const control::EngineConfig& chosen = *fitting[RandomBelow(fitting.size())];
  return Candidate{chosen.host, chosen.id.value()};
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
