/// Simulates a fleet of engines under one policy, in virtual time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/workload.h"
#include "peridotshelf/policy/placement.h"

namespace peridotshelf::bench {

/// Placement and queueing policies.
enum class PolicyKind {
  kPeridotshelf,  ///< policy::Placement at entries, ledger::Admission at sides.
  kRoundRobin,    ///< Engines in turn; a FIFO queue at each.
  kLeastLoaded,   ///< Lowest load in delayed reports; FIFO queues.
  kOracle,        ///< Knows all caches and loads; for prefix hits only.
};

/// Options of one run.
struct SimulationOptions {
  Deployment deployment;
  PolicyKind policy = PolicyKind::kPeridotshelf;
  policy::PlacementFeatures features;
  /// Whether engines prefill shorter prompts first.
  bool engine_priorities = true;
  EngineModelCosts costs;
  double seconds = 300;
  uint64_t seed = 1;
  /// Times, in seconds, at which one engine dies; it recovers 30 s later.
  std::vector<double> engine_deaths;
  /// Callers never time out; used to measure the fleet's capacity.
  bool disable_deadlines = false;
};

/// Outcome of one request. Times are in seconds.
struct SimOutcome {
  enum class Kind { kAnswered, kRefused, kTimedOut, kEngineDied };
  SimRequest request;
  Kind kind = Kind::kTimedOut;
  double first_token = 0;
  double end = 0;
  int64_t cached_tokens = 0;
};

struct SimulationResult {
  std::vector<SimOutcome> outcomes;
  std::vector<double> busy_seconds;
  /// Means of the predicted and the actual queueing times at sides, in seconds.
  double predicted_wait = 0;
  double actual_wait = 0;
  /// Number of queueing times that the means cover.
  int64_t waits = 0;
};

SimulationResult Simulate(const SimulationOptions& options,
                          const std::vector<SimRequest>& requests);

}  // namespace peridotshelf::bench
