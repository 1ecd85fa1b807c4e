// The baseline policies of Simulation. Each picks one engine per request;
// engines serve their queues in FIFO order.
#include <algorithm>
#include <limits>

#include "bench/simulation_state.h"

namespace peridotshelf::bench {

double Simulation::ComputeLoad(const SimulatedEngine& engine) const {
  const Deployment& deployment = m_options.deployment;
  int64_t tokens = engine.used_tokens;
  for (const size_t index : engine.fifo) {
    const SimRequest& request = m_requests[index].outcome.request;
    tokens += request.prompt_tokens + request.max_tokens;
  }
  const auto streams = static_cast<double>(engine.used_slots) +
                       static_cast<double>(engine.fifo.size());
  return std::max(static_cast<double>(tokens) /
                      static_cast<double>(deployment.memory_tokens),
                  streams / deployment.slots);
}

void Simulation::UpdateReportedLoads() {
  for (SimulatedEngine& engine : m_engines) {
    engine.reported_load = engine.is_alive
                               ? ComputeLoad(engine)
                               : std::numeric_limits<double>::infinity();
  }
}

size_t Simulation::PickBaselineEngine(const SimRequest& request) {
  if (m_options.policy == PolicyKind::kRoundRobin) {
    do {
      m_rotation = (m_rotation + 1) % m_engines.size();
    } while (!m_engines[m_rotation].is_alive);
    return m_rotation;
  }
  size_t best = m_engines.size();
  double best_load = std::numeric_limits<double>::infinity();
  const bool is_oracle = m_options.policy == PolicyKind::kOracle;
  for (size_t i = 0; i < m_engines.size(); ++i) {
    const SimulatedEngine& engine =
        m_engines[(i + m_rotation) % m_engines.size()];
    if (!engine.is_alive) continue;
    double load = is_oracle ? ComputeLoad(engine) : engine.reported_load;
    // The oracle prefers an engine with a cached prefix, whatever its load.
    if (is_oracle && engine.model.HasCached(request.document)) load -= 1e6;
    if (best == m_engines.size() || load < best_load) {
      best = (i + m_rotation) % m_engines.size();
      best_load = load;
    }
  }
  m_rotation += 1;
  return best;
}

void Simulation::PlaceWithBaseline(size_t index) {
  SimulatedRequest& simulated = m_requests[index];
  simulated.engine = PickBaselineEngine(simulated.outcome.request);
  simulated.stage = Stage::kQueued;
  m_engines[simulated.engine].fifo.push_back(index);
  StartFromFifo(simulated.engine);
}

void Simulation::StartFromFifo(size_t engine_index) {
  SimulatedEngine& engine = m_engines[engine_index];
  const Deployment& deployment = m_options.deployment;
  while (!engine.fifo.empty()) {
    const size_t index = engine.fifo.front();
    const SimRequest& request = m_requests[index].outcome.request;
    const int64_t tokens = request.prompt_tokens + request.max_tokens;
    const bool fits = engine.used_tokens + tokens <= deployment.memory_tokens &&
                      engine.used_slots < deployment.slots;
    if (!fits) return;
    engine.fifo.pop_front();
    Start(index, engine_index);
  }
}

}  // namespace peridotshelf::bench
