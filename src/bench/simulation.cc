#include "bench/simulation.h"

#include <algorithm>
#include <limits>

#include "bench/simulation_state.h"

namespace peridotshelf::bench {

namespace {

/// Interval of the engines' load reports, which the baselines use.
constexpr double kReportSeconds = 1.0;
constexpr double kEngineDowntimeSeconds = 30;
constexpr int kMaxAttempts = 3;
/// Number of one-way delays before a request starts: the reservation, its reply
/// and the start command.
constexpr double kOneWayTripsToStart = 3;
const ProcessId& EntryProcess() {
  static const ProcessId owner("entry");
  return owner;
}

size_t EngineIndex(const EngineId& engine_id) {
  return std::stoul(engine_id.value().substr(1));
}

EngineId MakeEngineId(size_t engine) {
  return EngineId("e" + std::to_string(engine));
}

std::vector<uint64_t> MakePrefixHashes(const SimRequest& request) {
  constexpr int64_t kBlockTokens = 256;
  std::vector<uint64_t> hashes;
  for (int64_t depth = kBlockTokens; depth <= request.prompt_tokens;
       depth *= 2) {
    const bool is_shared = depth <= request.document_tokens;
    const uint64_t seed =
        is_shared ? request.document : ~static_cast<uint64_t>(request.id);
    hashes.push_back((seed + static_cast<uint64_t>(depth)) *
                     0x9E3779B97F4A7C15U);
  }
  return hashes;
}

}  // namespace

Simulation::Simulation(const SimulationOptions& options,
                       const std::vector<SimRequest>& requests)
    : m_options(options), m_random(options.seed) {
  const Deployment& deployment = options.deployment;
  std::vector<policy::EngineLocation> engines;
  for (int i = 0; i < deployment.engines; ++i) {
    m_engines.emplace_back(options.costs);
    MakeAdmission(m_engines.size() - 1);
    policy::EngineLocation location;
    location.config.id = MakeEngineId(m_engines.size() - 1);
    location.config.model = "m";
    location.config.memory_tokens = deployment.memory_tokens;
    location.config.slots = deployment.slots;
    location.failure_domain =
        FailureDomain(std::to_string(i % deployment.domains));
    engines.push_back(location);
  }
  for (int i = 0; i < deployment.domains; ++i) {
    m_entries.push_back(std::make_unique<policy::Placement>(
        FailureDomain(std::to_string(i)), options.features));
    m_entries.back()->Update(engines, deployment.preset);
  }
  for (const SimRequest& request : requests) {
    m_index_of_id.resize(static_cast<size_t>(request.id) + 1);
    m_index_of_id.back() = m_requests.size();
    PushEvent(request.arrival, EventKind::kArrival, m_requests.size());
    if (!options.disable_deadlines) {
      PushEvent(request.arrival + request.timeout, EventKind::kDeadline,
                m_requests.size());
    }
    m_requests.emplace_back();
    m_requests.back().outcome.request = request;
  }
  for (double time : options.engine_deaths) {
    PushEvent(time, EventKind::kDeath, m_random() % m_engines.size());
  }
  PushEvent(0, EventKind::kTick, 0);
  PushEvent(0, EventKind::kReport, 0);
}

TimePoint Simulation::ToTimePoint(double seconds) const {
  // An offset from zero keeps every time after the clock's start.
  return TimePoint(std::chrono::hours(1)) +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(seconds));
}

AttemptId Simulation::MakeAttemptId(size_t index) const {
  const SimulatedRequest& simulated = m_requests[index];
  return {RequestId(std::to_string(index)), simulated.attempt};
}

void Simulation::PushEvent(double time, EventKind kind, size_t index,
                           int generation) {
  m_events.push({time, m_next_order++, kind, index, generation});
}

void Simulation::MakeAdmission(size_t index) {
  ledger::AdmissionOptions options;
  options.capacity = {m_options.deployment.memory_tokens,
                      m_options.deployment.slots};
  m_engines[index].admission =
      std::make_unique<ledger::Admission>(options, false);
  m_engines[index].admission->ApplyPreset(m_options.deployment.preset, {});
}

SimulationResult Simulation::Run() {
  while (m_ended_requests < m_requests.size() && !m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.time;
    Handle(event);
  }
  SimulationResult result;
  for (const SimulatedRequest& simulated : m_requests)
    result.outcomes.push_back(simulated.outcome);
  Duration predicted{};
  Duration actual{};
  for (const SimulatedEngine& engine : m_engines) {
    result.busy_seconds.push_back(engine.busy_before_death +
                                  engine.model.busy_seconds());
    const ledger::WaitPredictionStats waits =
        engine.admission->WaitPredictions();
    result.waits += waits.count();
    predicted += waits.predicted_sum();
    actual += waits.actual_sum();
  }
  if (result.waits > 0) {
    result.predicted_wait = std::chrono::duration<double>(predicted).count() /
                            static_cast<double>(result.waits);
    result.actual_wait = std::chrono::duration<double>(actual).count() /
                         static_cast<double>(result.waits);
  }
  return result;
}

void Simulation::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      Place(event.index);
      break;
    case EventKind::kStep:
      if (m_engines[event.index].generation == event.generation) {
        EndStep(event.index);
      }
      break;
    case EventKind::kTick:
      Tick();
      PushEvent(m_now + std::chrono::duration<double>(
                            ledger::Admission::kTickInterval)
                            .count(),
                EventKind::kTick, 0);
      break;
    case EventKind::kReport:
      UpdateReportedLoads();
      PushEvent(m_now + kReportSeconds, EventKind::kReport, 0);
      break;
    case EventKind::kDeadline:
      if (m_requests[event.index].stage == Stage::kEnded) break;
      Release(event.index);
      End(event.index, SimOutcome::Kind::kTimedOut);
      break;
    case EventKind::kDeath:
      KillEngine(event.index);
      break;
    case EventKind::kRecovery:
      m_engines[event.index].is_alive = true;
      break;
  }
}

void Simulation::Place(size_t index) {
  if (m_options.policy == PolicyKind::kPeridotshelf) {
    PlaceWithPeridotshelf(index);
  } else {
    PlaceWithBaseline(index);
  }
}

void Simulation::PlaceWithPeridotshelf(size_t index) {
  SimulatedRequest& simulated = m_requests[index];
  const SimRequest& request = simulated.outcome.request;
  policy::Placement& entry =
      *m_entries[static_cast<size_t>(request.id) % m_entries.size()];
  const std::vector<uint64_t> hashes = MakePrefixHashes(request);
  for (; simulated.attempt < kMaxAttempts;) {
    policy::PlacementRequest placement_request{"m", request.prompt_tokens,
                                               request.max_tokens, hashes,
                                               simulated.excluded};
    const auto placed = entry.Place(placement_request, Now(), m_random);
    if (!placed) break;
    const EngineId engine_id = placed->candidates.front().engine;
    simulated.attempt += 1;
    if (TryReserve(index, EngineIndex(engine_id))) return;
    simulated.excluded.push_back(engine_id);
  }
  End(index, SimOutcome::Kind::kRefused);
}

bool Simulation::TryReserve(size_t index, size_t engine_index) {
  SimulatedRequest& simulated = m_requests[index];
  const SimRequest& request = simulated.outcome.request;
  policy::Placement& entry =
      *m_entries[static_cast<size_t>(request.id) % m_entries.size()];
  SimulatedEngine& engine = m_engines[engine_index];
  const EngineId engine_id = MakeEngineId(engine_index);
  if (!engine.is_alive) {
    entry.OnRefused(engine_id, Now(), std::chrono::seconds(1));
    return false;
  }
  ledger::ReserveRequest reserve;
  reserve.attempt = MakeAttemptId(index);
  reserve.owner = EntryProcess();
  reserve.team = TeamId(std::to_string(request.team));
  reserve.prompt_tokens = request.prompt_tokens;
  reserve.max_tokens = request.max_tokens;
  reserve.size_class = request.size_class;
  const double remaining = m_options.disable_deadlines
                               ? 1e6
                               : request.arrival + request.timeout - m_now;
  reserve.deadline = RequestDeadline::FromRemaining(
      Now(), ToTimePoint(remaining) - ToTimePoint(0));
  const ledger::Decision decision = engine.admission->Reserve(reserve, Now());
  entry.OnLoad(engine_id, engine.admission->Load(Now()), Now());
  if (const auto* refused = std::get_if<ledger::Refused>(&decision)) {
    entry.OnRefused(engine_id, Now(),
                    refused->error.retry_after.value_or(Duration{}));
    return false;
  }
  simulated.engine = engine_index;
  simulated.stage = Stage::kQueued;
  if (std::holds_alternative<ledger::Granted>(decision)) {
    Start(index, engine_index);
  }
  return true;
}

void Simulation::Start(size_t index, size_t engine_index) {
  SimulatedRequest& simulated = m_requests[index];
  SimulatedEngine& engine = m_engines[engine_index];
  const SimRequest& request = simulated.outcome.request;
  simulated.engine = engine_index;
  simulated.stage = Stage::kRunning;
  const bool is_peridotshelf = m_options.policy == PolicyKind::kPeridotshelf;
  if (is_peridotshelf)
    (void)engine.admission->Commit(MakeAttemptId(index), 0, Now());
  const int priority =
      is_peridotshelf && m_options.engine_priorities
          ? policy::ComputeEnginePriority(0, request.size_class)
          : 0;
  simulated.outcome.cached_tokens = engine.model.Start(request, priority);
  engine.used_tokens += request.prompt_tokens + request.max_tokens;
  engine.used_slots += 1;
  StartStep(engine_index);
}

void Simulation::StartStep(size_t engine_index) {
  SimulatedEngine& engine = m_engines[engine_index];
  if (engine.is_stepping || engine.model.idle() || !engine.is_alive) return;
  engine.step = engine.model.Step();
  engine.is_stepping = true;
  PushEvent(m_now + engine.step.seconds, EventKind::kStep, engine_index,
            engine.generation);
}

void Simulation::EndStep(size_t engine_index) {
  SimulatedEngine& engine = m_engines[engine_index];
  engine.is_stepping = false;
  const StepResult step = std::move(engine.step);
  for (const int id : step.first_tokens) {
    const size_t index = m_index_of_id[static_cast<size_t>(id)];
    SimulatedRequest& simulated = m_requests[index];
    if (simulated.stage != Stage::kRunning || simulated.engine != engine_index)
      continue;
    simulated.outcome.first_token = m_now + StartDelay(index, engine_index);
    if (m_options.policy == PolicyKind::kPeridotshelf) {
      engine.admission->EndPrefill(MakeAttemptId(index), Now());
    }
  }
  for (const int id : step.finished) {
    const size_t index = m_index_of_id[static_cast<size_t>(id)];
    SimulatedRequest& simulated = m_requests[index];
    if (simulated.stage != Stage::kRunning || simulated.engine != engine_index)
      continue;
    Release(index);
    End(index, SimOutcome::Kind::kAnswered);
  }
  StartFromFifo(engine_index);
  StartStep(engine_index);
}

double Simulation::StartDelay(size_t index, size_t engine) const {
  const auto domains = static_cast<size_t>(m_options.deployment.domains);
  const auto id = static_cast<size_t>(m_requests[index].outcome.request.id);
  const bool is_same_domain = id % m_entries.size() == engine % domains;
  return is_same_domain
             ? 0
             : kOneWayTripsToStart * m_options.deployment.domain_delay;
}

void Simulation::Release(size_t index) {
  SimulatedRequest& simulated = m_requests[index];
  SimulatedEngine& engine = m_engines[simulated.engine];
  const SimRequest& request = simulated.outcome.request;
  if (simulated.stage == Stage::kRunning) {
    engine.model.Cancel(request.id);
    engine.used_tokens -= request.prompt_tokens + request.max_tokens;
    engine.used_slots -= 1;
    engine.admission->Release(MakeAttemptId(index), Now());
  } else if (simulated.stage == Stage::kQueued) {
    engine.admission->Cancel(MakeAttemptId(index), Now());
    std::erase(engine.fifo, index);
  }
}

void Simulation::End(size_t index, SimOutcome::Kind kind) {
  SimulatedRequest& simulated = m_requests[index];
  if (simulated.stage == Stage::kEnded) return;
  simulated.stage = Stage::kEnded;
  simulated.outcome.kind = kind;
  simulated.outcome.end = m_now;
  m_ended_requests += 1;
}

void Simulation::Tick() {
  if (m_options.policy != PolicyKind::kPeridotshelf) return;
  for (size_t i = 0; i < m_engines.size(); ++i) {
    SimulatedEngine& engine = m_engines[i];
    if (!engine.is_alive) continue;
    engine.admission->Extend(EntryProcess(), Now());
    for (const ledger::Outcome& outcome : engine.admission->Tick(Now())) {
      if (const auto* granted = std::get_if<ledger::Granted>(&outcome)) {
        Start(std::stoul(granted->attempt.request.value()), i);
      } else if (const auto* refused = std::get_if<ledger::Refused>(&outcome)) {
        const size_t index = std::stoul(refused->attempt.request.value());
        if (m_requests[index].stage == Stage::kQueued) {
          End(index, SimOutcome::Kind::kRefused);
        }
      }
    }
  }
}

void Simulation::KillEngine(size_t engine_index) {
  SimulatedEngine& engine = m_engines[engine_index];
  if (!engine.is_alive) return;
  engine.busy_before_death += engine.model.busy_seconds();
  engine.is_alive = false;
  engine.generation += 1;
  engine.model = EngineModel(m_options.costs);
  engine.is_stepping = false;
  engine.fifo.clear();
  engine.used_tokens = 0;
  engine.used_slots = 0;
  MakeAdmission(engine_index);
  PushEvent(m_now + kEngineDowntimeSeconds, EventKind::kRecovery, engine_index);
  for (size_t index = 0; index < m_requests.size(); ++index) {
    SimulatedRequest& simulated = m_requests[index];
    const bool is_on_engine = simulated.engine == engine_index &&
                              (simulated.stage == Stage::kQueued ||
                               simulated.stage == Stage::kRunning);
    if (!is_on_engine) continue;
    if (simulated.outcome.first_token > 0) {
      End(index, SimOutcome::Kind::kEngineDied);
    } else {
      // The caller has received nothing, so another engine may run it.
      simulated.stage = Stage::kUnplaced;
      Place(index);
    }
  }
}

SimulationResult Simulate(const SimulationOptions& options,
                          const std::vector<SimRequest>& requests) {
  return Simulation(options, requests).Run();
}

}  // namespace peridotshelf::bench
