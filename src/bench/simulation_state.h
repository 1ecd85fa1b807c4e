/// The event loop and the state of one simulated run.
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
    kRecovery
  };
  struct Event {
    double time = 0;
    uint64_t order = 0;
    EventKind kind = EventKind::kTick;
    /// Index of a request or an engine.
    size_t index = 0;
    /// For kStep: generation of the engine when the step started.
    int generation = 0;
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  /// An engine and its side.
  struct SimulatedEngine {
    explicit SimulatedEngine(const EngineModelCosts& costs) : model(costs) {}
    EngineModel model;
    std::unique_ptr<ledger::Admission> admission;
    StepResult step;
    bool is_stepping = false;
    bool is_alive = true;
    /// Number of deaths; identifies a step that started before the last death.
    int generation = 0;
    /// Baselines: queued requests, and the tokens and slots of running ones.
    std::deque<size_t> fifo;
    int64_t used_tokens = 0;
    int32_t used_slots = 0;
    /// Baselines: load in the last report.
    double reported_load = 0;
    double busy_before_death = 0;
  };
  enum class Stage { kUnplaced, kQueued, kRunning, kEnded };
  /// A request and its current stage.
  struct SimulatedRequest {
    SimOutcome outcome;
    Stage stage = Stage::kUnplaced;
    size_t engine = 0;
    int attempt = 0;
    std::vector<EngineId> excluded;
  };

  TimePoint ToTimePoint(double seconds) const;
  TimePoint Now() const { return ToTimePoint(m_now); }
  AttemptId MakeAttemptId(size_t index) const;
  void PushEvent(double time, EventKind kind, size_t index, int generation = 0);
  void Handle(const Event& event);
  void MakeAdmission(size_t index);
  void Place(size_t index);
  void PlaceWithPeridotshelf(size_t index);
  void PlaceWithBaseline(size_t index);
  size_t PickBaselineEngine(const SimRequest& request);
  bool TryReserve(size_t index, size_t engine);
  void Start(size_t index, size_t engine);
  void StartStep(size_t engine);
  void EndStep(size_t engine);
  void Release(size_t index);
  void StartFromFifo(size_t engine);
  void End(size_t index, SimOutcome::Kind kind);
  void Tick();
  void UpdateReportedLoads();
  void KillEngine(size_t engine);
  double ComputeLoad(const SimulatedEngine& engine) const;
  double StartDelay(size_t index, size_t engine) const;

  SimulationOptions m_options;
  std::vector<SimulatedRequest> m_requests;
  std::vector<size_t> m_index_of_id;
  std::vector<SimulatedEngine> m_engines;
  std::vector<std::unique_ptr<policy::Placement>> m_entries;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::mt19937_64 m_random;
  uint64_t m_next_order = 0;
  size_t m_rotation = 0;
  size_t m_ended_requests = 0;
  double m_now = 0;
};

}  // namespace peridotshelf::bench
