/// What the engine stand-in is asked to run.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::standin {

/// What one POST asks for.
struct RunOrder {
  std::string attempt;
  int64_t epoch = 0;
  std::string model;
  int64_t max_tokens = 0;
  uint64_t prompt_hash = 0;
  int64_t prompt_tokens = 0;
};

/// kBadField if the body is not an order.
Result<RunOrder> ReadOrder(std::string_view body);

/// The attempt behind a name such as "REQUEST.2".
AttemptId ParseAttempt(const std::string& name);

}  // namespace peridotshelf::standin
