#include <algorithm>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;
using scheduling::ActiveRequest;

/// Cold servers that are asked for one call; the others are left to later ones.
constexpr int kMaxColdTries = 8;

}  // namespace

std::vector<scheduling::ServiceCandidate> Gateway::Impl::MakeServiceCandidates(
    const std::vector<const discovery::EngineRecord*>& records) {
  const TimePoint now = SteadyClock().Now();
  std::vector<scheduling::ServiceCandidate> servers;
  servers.reserve(records.size());
  for (const discovery::EngineRecord* record : records) {
    const std::string key = record->Key();
    const EngineState& state = GetEngineState(key);
    scheduling::ServiceCandidate server;
    server.running = active_request_table.ComputeLoad(key, now).running;
    server.slots = std::max(record->slots, 1);
    server.call_ms = state.call_ms;
    server.success_rate = state.health.SuccessRate(now);
    server.is_same_domain = record->failure_domain == options.failure_domain;
    servers.push_back(server);
  }
  return servers;
}

bool Gateway::Impl::TryStartCall(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  const auto usable = FindUsableEngines(*live);
  auto records = RemoveLimited(usable);
  std::vector<scheduling::ServiceCandidate> servers;
  const auto choose = [&] {
    servers = MakeServiceCandidates(records);
    return scheduling::PlaceCall(servers);
  };
  auto chosen = choose();
  for (int tries = 1; chosen && !AdmitAtCold(records[*chosen]->Key());
       ++tries) {
    records.erase(records.begin() + static_cast<std::ptrdiff_t>(*chosen));
    if (tries == kMaxColdTries) RemoveCold(records);
    chosen = choose();
  }
  const bool has_free_slot = std::any_of(
      servers.begin(), servers.end(),
      [](const auto& server) { return server.running < server.slots; });
  if (!has_free_slot && AddAdmitted(usable, records)) chosen = choose();
  if (!chosen) return false;
  StartAttempt(live, *records[*chosen]);
  ActiveRequest active_request;
  active_request.id = live->attempt->number;
  active_request.is_prefilling = false;
  active_request.end =
      now + FromMillis(std::max(servers[*chosen].call_ms, 1.0) * 2);
  active_request_table.Put(live->attempt->engine_key, active_request);
  CountAgainstLimit(live->attempt->engine_key);
  peers.NoteStart(live->attempt->engine_key);
  events::Log(EventId::kRequestPlaced,
              {{"request", live->request.id.value()},
               {"engine", live->attempt->engine_key},
               {"running", servers[*chosen].running},
               {"call_ms", servers[*chosen].call_ms},
               {"success_rate", servers[*chosen].success_rate},
               {"engines_age_ms", ToMilliseconds(engines.ComputeAge(now))}});
  Send(live);
  return true;
}

}  // namespace peridotshelf::gateway
