/// The engine that a second attempt of a slow request would use.
#pragma once

#include <optional>
#include <vector>

#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/scheduling/service_placement.h"
#include "peridotshelf/scheduling/stream_placement.h"

namespace peridotshelf::gateway {

/// Where a hedge could run.
struct HedgePlan {
  const discovery::EngineRecord* engine = nullptr;
  /// Predicted time to the first event or to the whole answer.
  double answer_ms = 0;
  /// Predicted time that the attempt occupies the engine.
  double engine_ms = 0;
  /// Set for streams, with the engines that were compared.
  std::optional<scheduling::StreamPlan> stream;
  std::vector<const discovery::EngineRecord*> records;
  std::vector<scheduling::EngineCandidate> candidates;
  /// Set for calls.
  scheduling::ServiceCandidate server;
};

}  // namespace peridotshelf::gateway
