/// What a side says of one engine, and what entries remember of it.
#pragma once

#include <cstdint>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::policy {

/// One engine's load at one moment, by its side's account.
struct EngineLoad {
  int64_t free_tokens = 0;
  int32_t free_slots = 0;
  int32_t queued = 0;
  int64_t queued_tokens = 0;
  /// Long prefills under way.
  int32_t running_long = 0;
  bool leaving = false;
  /// Predicted time until all prompts that run or wait are read.
  Duration prefill_backlog{};
};

}  // namespace peridotshelf::policy
