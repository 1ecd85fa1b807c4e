/// The state of one simulated run.
#pragma once

#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "bench/simulation.h"
#include "peridotshelf/ledger/admission.h"

namespace peridotshelf::bench {

class Simulation {
 public:
  Simulation(const SimulationOptions& options,
             const std::vector<SimRequest>& requests);
  SimulationResult Run();

 private:
  enum class EventKind {
    kArrival,
    kStep,
    kTick,
    kReport,
    kDeadline,
    kDeath,
    kRevival
  };
  struct Event {
    double at = 0;
    uint64_t order = 0;
    EventKind kind = EventKind::kTick;
    /// A request or a node.
    size_t index = 0;
    /// Of kStep: the node's generation.
    int generation = 0;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  /// One engine with its side.
  struct Node {
    explicit Node(const EngineModelCosts& costs) : model(costs) {}
    EngineModel model;
    std::unique_ptr<ledger::Admission> admission;
    StepResult step;
    bool stepping = false;
    bool alive = true;
    /// Counts deaths, so that steps of a dead engine are dropped.
    int generation = 0;
    /// Baselines: what waits, and what runs.
    std::deque<size_t> fifo;
    int64_t used_tokens = 0;
    int32_t used_slots = 0;
    /// Baselines: the last report.
    double reported_load = 0;
    double busy_before_death = 0;
  };
  enum class Stage { kNone, kWaiting, kRunning, kEnded };
  /// One request.
  struct SimulatedRequest {
    SimOutcome outcome;
    Stage stage = Stage::kNone;
    size_t node = 0;
    int attempt = 0;
    std::vector<EngineId> excluded;
  };

  TimePoint At(double seconds) const;
  TimePoint Now() const { return At(m_now); }
  AttemptId AttemptOf(size_t index) const;
  void Push(double at, EventKind kind, size_t index, int generation = 0);
  void Handle(const Event& event);
  void MakeNode(size_t index);
  void Place(size_t index);
  void PlaceByHints(size_t index);
  void PlaceByBaseline(size_t index);
  size_t ChooseForBaseline(const SimRequest& request);
  bool Ask(size_t index, size_t node);
  void Start(size_t index, size_t node);
  void StartStep(size_t node);
  void EndStep(size_t node);
  void Release(size_t index);
  void DrainFifo(size_t node);
  void End(size_t index, SimOutcome::Kind kind);
  void Tick();
  void Report();
  void Kill(size_t node);
  double ComputeLoad(const Node& node) const;
  double DelayTo(size_t index, size_t node) const;

  SimulationOptions m_options;
  std::vector<SimulatedRequest> m_work;
  std::vector<size_t> m_index_of_id;
  std::vector<Node> m_nodes;
  std::vector<std::unique_ptr<policy::Placement>> m_entries;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::mt19937_64 m_random;
  uint64_t m_order = 0;
  size_t m_turn = 0;
  size_t m_ended = 0;
  double m_now = 0;
};

}  // namespace peridotshelf::bench
