/// The load of an engine, as its side reports it to entries.
#pragma once

#include <cstdint>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::policy {

/// A snapshot of one engine's load, taken by its side.
struct EngineLoad {
  int64_t free_tokens = 0;
  int32_t free_slots = 0;
  int32_t queued = 0;
  int64_t queued_tokens = 0;
  /// Number of running long prefills.
  int32_t running_long = 0;
  bool leaving = false;
  /// Predicted time to finish the prefills of all running and queued requests.
  Duration prefill_backlog{};
};

}  // namespace peridotshelf::policy
