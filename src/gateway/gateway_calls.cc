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
    server.call_ms = state.calls.mean();
    server.unused_for = state.calls.UnusedFor(now);
    server.success_rate = state.health.SuccessRate(now);
    server.is_same_domain = record->failure_domain == options.failure_domain;
    servers.push_back(server);
  }
  return servers;
}

bool Gateway::Impl::TryStartCall(const LiveRequestPtr& live) {
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
  StartCall(live, servers[*chosen]);
  return true;
}

void Gateway::Impl::StartCall(const LiveRequestPtr& live,
                              const scheduling::ServiceCandidate& server) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live->attempt;
  attempt.predicted_answer_ms = PredictCall(server);
  ActiveRequest active_request;
  active_request.id = attempt.number;
  active_request.is_prefilling = false;
  active_request.end = now + FromMillis(std::max(server.call_ms, 1.0) * 2);
  active_request_table.Put(attempt.engine_key, active_request);
  GetEngineState(attempt.engine_key).calls.NoteStart(now);
  CountAgainstLimit(attempt.engine_key);
  peers.NoteStart(attempt.engine_key);
  events::Log(EventId::kRequestPlaced,
              {{"request", live->request.id.value()},
               {"engine", attempt.engine_key},
               {"running", server.running},
               {"call_ms", server.call_ms},
               {"success_rate", server.success_rate},
               {"engines_age_ms", ToMilliseconds(engines.ComputeAge(now))}});
  Send(live);
}

double Gateway::Impl::PredictCall(const scheduling::ServiceCandidate& server) {
  return server.call_ms *
         (1 + static_cast<double>(server.running) / server.slots);
}

}  // namespace peridotshelf::gateway
