// The part of Simulation that decides for the baselines: one engine is chosen
// and its queue is first in, first out.
#include <algorithm>
#include <limits>

#include "bench/simulation_state.h"

namespace peridotshelf::bench {

double Simulation::ComputeLoad(const Node& node) const {
  const Deployment& deployment = m_options.deployment;
  int64_t tokens = node.used_tokens;
  for (const size_t index : node.fifo) {
    const SimRequest& request = m_work[index].outcome.request;
    tokens += request.prompt_tokens + request.max_tokens;
  }
  const auto streams = static_cast<double>(node.used_slots) +
                       static_cast<double>(node.fifo.size());
  return std::max(static_cast<double>(tokens) /
                      static_cast<double>(deployment.memory_tokens),
                  streams / deployment.slots);
}

void Simulation::Report() {
  for (Node& node : m_nodes) {
    node.reported_load = node.alive ? ComputeLoad(node)
                                    : std::numeric_limits<double>::infinity();
  }
}

size_t Simulation::ChooseForBaseline(const SimRequest& request) {
  if (m_options.policy == PolicyKind::kRoundRobin) {
    do {
      m_turn = (m_turn + 1) % m_nodes.size();
    } while (!m_nodes[m_turn].alive);
    return m_turn;
  }
  size_t best = m_nodes.size();
  double best_load = std::numeric_limits<double>::infinity();
  const bool oracle = m_options.policy == PolicyKind::kOracle;
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    const Node& node = m_nodes[(i + m_turn) % m_nodes.size()];
    if (!node.alive) continue;
    double load = oracle ? ComputeLoad(node) : node.reported_load;
    // The oracle goes to a cache whatever the load.
    if (oracle && node.model.Caches(request.document)) load -= 1e6;
    if (best == m_nodes.size() || load < best_load) {
      best = (i + m_turn) % m_nodes.size();
      best_load = load;
    }
  }
  m_turn += 1;
  return best;
}

void Simulation::PlaceByBaseline(size_t index) {
  SimulatedRequest& work = m_work[index];
  work.node = ChooseForBaseline(work.outcome.request);
  work.stage = Stage::kWaiting;
  m_nodes[work.node].fifo.push_back(index);
  DrainFifo(work.node);
}

void Simulation::DrainFifo(size_t node_index) {
  Node& node = m_nodes[node_index];
  const Deployment& deployment = m_options.deployment;
  while (!node.fifo.empty()) {
    const size_t index = node.fifo.front();
    const SimRequest& request = m_work[index].outcome.request;
    const int64_t tokens = request.prompt_tokens + request.max_tokens;
    const bool fits = node.used_tokens + tokens <= deployment.memory_tokens &&
                      node.used_slots < deployment.slots;
    if (!fits) return;
    node.fifo.pop_front();
    Start(index, node_index);
  }
}

}  // namespace peridotshelf::bench
