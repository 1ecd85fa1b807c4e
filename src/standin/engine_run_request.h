/// Run requests to the simulated engine.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::standin {

/// A request to start a run, parsed from the body of a POST.
struct RunRequest {
  std::string attempt;
  int64_t epoch = 0;
  std::string model;
  int64_t max_tokens = 0;
  uint64_t prompt_hash = 0;
  int64_t prompt_tokens = 0;
};

/// Parses a run request. Returns kInvalidField if the body is not valid.
Result<RunRequest> ParseRunRequest(std::string_view body);

/// Parses the name of an attempt, such as "REQUEST.2".
AttemptId ParseAttempt(const std::string& name);

}  // namespace peridotshelf::standin
