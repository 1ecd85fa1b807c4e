/// A fleet under one policy in virtual time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/workload.h"
#include "peridotshelf/policy/placement.h"

namespace peridotshelf::bench {

/// Who decides.
enum class PolicyKind {
  kPeridotshelf,  ///< policy::Placement at entries, ledger::Admission at sides.
  kRoundRobin,    ///< Engines in turn, first in first out at each.
  kLeastLoaded,   ///< The least loaded by lagging reports, then FIFO.
  kOracle,        ///< Knows all caches and loads; for prefix hits only.
};

/// One run.
struct SimulationOptions {
  Deployment deployment;
  PolicyKind policy = PolicyKind::kPeridotshelf;
  policy::PlacementFeatures mechanisms;
  /// Engines prefer shorter prompts.
  bool engine_priorities = true;
  EngineModelCosts costs;
  double seconds = 300;
  uint64_t seed = 1;
  /// Each of these seconds one engine dies, and is back 30 s later.
  std::vector<double> engine_deaths;
  /// Callers wait for ever; to measure the fleet's capacity.
  bool no_deadlines = false;
};

/// How one request ended.
struct SimOutcome {
  enum class Kind { kAnswered, kRefused, kLate, kEngineDied };
  SimRequest request;
  Kind kind = Kind::kLate;
  double first_token = 0;
  double end = 0;
  int64_t cached_tokens = 0;
};

struct SimulationResult {
  std::vector<SimOutcome> outcomes;
  std::vector<double> busy_seconds;
  /// Of waits at sides, the mean predicted and the mean actual, in seconds.
  double predicted_wait = 0;
  double actual_wait = 0;
  int64_t waits = 0;
};

SimulationResult Simulate(const SimulationOptions& options,
                          const std::vector<SimRequest>& requests);

}  // namespace peridotshelf::bench
