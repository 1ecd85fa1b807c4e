#include "bench/simulation.h"

#include <algorithm>
#include <limits>

#include "bench/simulation_state.h"

namespace peridotshelf::bench {

namespace {

/// Of the engines' reports that the baselines use.
constexpr double kReportSeconds = 1.0;
constexpr double kRevivalSeconds = 30;
constexpr int kMostAttempts = 3;
/// Messages each way before a start: reservation and start.
constexpr double kTripsToStart = 3;
const ProcessId& Owner() {
  static const ProcessId owner("entry");
  return owner;
}

size_t NumberOf(const EngineId& engine) {
  return std::stoul(engine.value().substr(1));
}

EngineId NameOf(size_t node) { return EngineId("e" + std::to_string(node)); }

std::vector<uint64_t> HashesOf(const SimRequest& request) {
  constexpr int64_t kBlockTokens = 256;
  std::vector<uint64_t> hashes;
  for (int64_t depth = kBlockTokens; depth <= request.prompt_tokens;
       depth *= 2) {
    const bool shared = depth <= request.document_tokens;
    const uint64_t seed =
        shared ? request.document : ~static_cast<uint64_t>(request.id);
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
    m_nodes.emplace_back(options.costs);
    MakeNode(m_nodes.size() - 1);
    policy::EngineLocation engine;
    engine.config.id = NameOf(m_nodes.size() - 1);
    engine.config.model = "m";
    engine.config.memory_tokens = deployment.memory_tokens;
    engine.config.slots = deployment.slots;
    engine.failure_domain =
        FailureDomain(std::to_string(i % deployment.domains));
    engines.push_back(engine);
  }
  for (int i = 0; i < deployment.domains; ++i) {
    m_entries.push_back(std::make_unique<policy::Placement>(
        FailureDomain(std::to_string(i)), options.mechanisms));
    m_entries.back()->Update(engines, deployment.preset);
  }
  for (const SimRequest& request : requests) {
    m_index_of_id.resize(static_cast<size_t>(request.id) + 1);
    m_index_of_id.back() = m_work.size();
    Push(request.arrival, EventKind::kArrival, m_work.size());
    if (!options.no_deadlines) {
      Push(request.arrival + request.window, EventKind::kDeadline,
           m_work.size());
    }
    m_work.emplace_back();
    m_work.back().outcome.request = request;
  }
  for (double at : options.engine_deaths) {
    Push(at, EventKind::kDeath, m_random() % m_nodes.size());
  }
  Push(0, EventKind::kTick, 0);
  Push(0, EventKind::kReport, 0);
}

TimePoint Simulation::At(double seconds) const {
  // Away from zero, so that no time is before the clock's start.
  return TimePoint(std::chrono::hours(1)) +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(seconds));
}

AttemptId Simulation::AttemptOf(size_t index) const {
  const SimulatedRequest& work = m_work[index];
  return {RequestId(std::to_string(index)), work.attempt};
}

void Simulation::Push(double at, EventKind kind, size_t index, int generation) {
  m_events.push({at, m_order++, kind, index, generation});
}

void Simulation::MakeNode(size_t index) {
  ledger::AdmissionOptions options;
  options.capacity = {m_options.deployment.memory_tokens,
                      m_options.deployment.slots};
  m_nodes[index].admission =
      std::make_unique<ledger::Admission>(options, false);
  m_nodes[index].admission->ApplyPreset(m_options.deployment.preset, {});
}

SimulationResult Simulation::Run() {
  while (m_ended < m_work.size() && !m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    Handle(event);
  }
  SimulationResult result;
  for (const SimulatedRequest& work : m_work)
    result.outcomes.push_back(work.outcome);
  Duration predicted{};
  Duration actual{};
  for (const Node& node : m_nodes) {
    result.busy_seconds.push_back(node.busy_before_death +
                                  node.model.busy_seconds());
    const ledger::WaitPredictionStats waits = node.admission->Waits();
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
      if (m_nodes[event.index].generation == event.generation) {
        EndStep(event.index);
      }
      break;
    case EventKind::kTick:
      Tick();
      Push(m_now +
               std::chrono::duration<double>(ledger::Admission::kTickInterval)
                   .count(),
           EventKind::kTick, 0);
      break;
    case EventKind::kReport:
      Report();
      Push(m_now + kReportSeconds, EventKind::kReport, 0);
      break;
    case EventKind::kDeadline:
      if (m_work[event.index].stage == Stage::kEnded) break;
      Release(event.index);
      End(event.index, SimOutcome::Kind::kLate);
      break;
    case EventKind::kDeath:
      Kill(event.index);
      break;
    case EventKind::kRevival:
      m_nodes[event.index].alive = true;
      break;
  }
}

void Simulation::Place(size_t index) {
  if (m_options.policy == PolicyKind::kPeridotshelf) {
    PlaceByHints(index);
  } else {
    PlaceByBaseline(index);
  }
}

void Simulation::PlaceByHints(size_t index) {
  SimulatedRequest& work = m_work[index];
  const SimRequest& request = work.outcome.request;
  policy::Placement& entry =
      *m_entries[static_cast<size_t>(request.id) % m_entries.size()];
  const std::vector<uint64_t> hashes = HashesOf(request);
  for (; work.attempt < kMostAttempts;) {
    policy::PlacementRequest wanted{"m", request.prompt_tokens,
                                    request.max_tokens, hashes, work.excluded};
    const auto placed = entry.Place(wanted, Now(), m_random);
    if (!placed) break;
    const EngineId engine = placed->candidates.front().engine;
    work.attempt += 1;
    if (Ask(index, NumberOf(engine))) return;
    work.excluded.push_back(engine);
  }
  End(index, SimOutcome::Kind::kRefused);
}

bool Simulation::Ask(size_t index, size_t node_index) {
  SimulatedRequest& work = m_work[index];
  const SimRequest& request = work.outcome.request;
  policy::Placement& entry =
      *m_entries[static_cast<size_t>(request.id) % m_entries.size()];
  Node& node = m_nodes[node_index];
  const EngineId engine = NameOf(node_index);
  if (!node.alive) {
    entry.OnRefused(engine, Now(), std::chrono::seconds(1));
    return false;
  }
  ledger::ReserveRequest reserve;
  reserve.attempt = AttemptOf(index);
  reserve.owner = Owner();
  reserve.team = TeamId(std::to_string(request.team));
  reserve.prompt_tokens = request.prompt_tokens;
  reserve.max_tokens = request.max_tokens;
  reserve.size_class = request.size_class;
  const double window =
      m_options.no_deadlines ? 1e6 : request.arrival + request.window - m_now;
  reserve.budget = RequestDeadline::FromRemaining(Now(), At(window) - At(0));
  const ledger::Decision decision = node.admission->Reserve(reserve, Now());
  entry.OnLoad(engine, node.admission->Load(Now()), Now());
  if (const auto* refused = std::get_if<ledger::Refused>(&decision)) {
    entry.OnRefused(engine, Now(),
                    refused->error.retry_after.value_or(Duration{}));
    return false;
  }
  work.node = node_index;
  work.stage = Stage::kWaiting;
  if (std::holds_alternative<ledger::Granted>(decision)) {
    Start(index, node_index);
  }
  return true;
}

void Simulation::Start(size_t index, size_t node_index) {
  SimulatedRequest& work = m_work[index];
  Node& node = m_nodes[node_index];
  const SimRequest& request = work.outcome.request;
  work.node = node_index;
  work.stage = Stage::kRunning;
  const bool ours = m_options.policy == PolicyKind::kPeridotshelf;
  if (ours) (void)node.admission->Commit(AttemptOf(index), 0, Now());
  const int priority = ours && m_options.engine_priorities
                           ? policy::EnginePriority(0, request.size_class)
                           : 0;
  work.outcome.cached_tokens = node.model.Start(request, priority);
  node.used_tokens += request.prompt_tokens + request.max_tokens;
  node.used_slots += 1;
  StartStep(node_index);
}

void Simulation::StartStep(size_t node_index) {
  Node& node = m_nodes[node_index];
  if (node.stepping || node.model.idle() || !node.alive) return;
  node.step = node.model.Step();
  node.stepping = true;
  Push(m_now + node.step.seconds, EventKind::kStep, node_index,
       node.generation);
}

void Simulation::EndStep(size_t node_index) {
  Node& node = m_nodes[node_index];
  node.stepping = false;
  const StepResult step = std::move(node.step);
  for (const int id : step.first_tokens) {
    const size_t index = m_index_of_id[static_cast<size_t>(id)];
    SimulatedRequest& work = m_work[index];
    if (work.stage != Stage::kRunning || work.node != node_index) continue;
    work.outcome.first_token = m_now + DelayTo(index, node_index);
    if (m_options.policy == PolicyKind::kPeridotshelf) {
      node.admission->EndPrefill(AttemptOf(index), Now());
    }
  }
  for (const int id : step.finished) {
    const size_t index = m_index_of_id[static_cast<size_t>(id)];
    SimulatedRequest& work = m_work[index];
    if (work.stage != Stage::kRunning || work.node != node_index) continue;
    Release(index);
    End(index, SimOutcome::Kind::kAnswered);
  }
  DrainFifo(node_index);
  StartStep(node_index);
}

double Simulation::DelayTo(size_t index, size_t node) const {
  const auto domains = static_cast<size_t>(m_options.deployment.domains);
  const auto id = static_cast<size_t>(m_work[index].outcome.request.id);
  const bool same = id % m_entries.size() == node % domains;
  return same ? 0 : kTripsToStart * m_options.deployment.domain_delay;
}

void Simulation::Release(size_t index) {
  SimulatedRequest& work = m_work[index];
  Node& node = m_nodes[work.node];
  const SimRequest& request = work.outcome.request;
  if (work.stage == Stage::kRunning) {
    node.model.Cancel(request.id);
    node.used_tokens -= request.prompt_tokens + request.max_tokens;
    node.used_slots -= 1;
    node.admission->Release(AttemptOf(index), Now());
  } else if (work.stage == Stage::kWaiting) {
    node.admission->Cancel(AttemptOf(index), Now());
    std::erase(node.fifo, index);
  }
}

void Simulation::End(size_t index, SimOutcome::Kind kind) {
  SimulatedRequest& work = m_work[index];
  if (work.stage == Stage::kEnded) return;
  work.stage = Stage::kEnded;
  work.outcome.kind = kind;
  work.outcome.end = m_now;
  m_ended += 1;
}

void Simulation::Tick() {
  if (m_options.policy != PolicyKind::kPeridotshelf) return;
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    Node& node = m_nodes[i];
    if (!node.alive) continue;
    node.admission->Extend(Owner(), Now());
    for (const ledger::Outcome& outcome : node.admission->Tick(Now())) {
      if (const auto* granted = std::get_if<ledger::Granted>(&outcome)) {
        Start(std::stoul(granted->attempt.request.value()), i);
      } else if (const auto* refused = std::get_if<ledger::Refused>(&outcome)) {
        const size_t index = std::stoul(refused->attempt.request.value());
        if (m_work[index].stage == Stage::kWaiting) {
          End(index, SimOutcome::Kind::kRefused);
        }
      }
    }
  }
}

void Simulation::Kill(size_t node_index) {
  Node& node = m_nodes[node_index];
  if (!node.alive) return;
  node.busy_before_death += node.model.busy_seconds();
  node.alive = false;
  node.generation += 1;
  node.model = EngineModel(m_options.costs);
  node.stepping = false;
  node.fifo.clear();
  node.used_tokens = 0;
  node.used_slots = 0;
  MakeNode(node_index);
  Push(m_now + kRevivalSeconds, EventKind::kRevival, node_index);
  for (size_t index = 0; index < m_work.size(); ++index) {
    SimulatedRequest& work = m_work[index];
    const bool here =
        work.node == node_index &&
        (work.stage == Stage::kWaiting || work.stage == Stage::kRunning);
    if (!here) continue;
    if (work.outcome.first_token > 0) {
      End(index, SimOutcome::Kind::kEngineDied);
    } else {
      // The caller has seen nothing: another engine may run it.
      work.stage = Stage::kNone;
      Place(index);
    }
  }
}

SimulationResult Simulate(const SimulationOptions& options,
                          const std::vector<SimRequest>& requests) {
  return Simulation(options, requests).Run();
}

}  // namespace peridotshelf::bench
