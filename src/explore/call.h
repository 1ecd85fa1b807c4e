/// The calls of a schedule and the expected answers.
#pragma once

#include <string>

#include "peridotshelf/history/event.h"

namespace peridotshelf::explore {

/// The parameters of one call.
struct CallPlan {
  size_t number = 0;
  history::RequestSize size = history::RequestSize::kShort;
  int64_t prompt_tokens = 0;
  /// Number of chunks of the complete answer.
  int64_t chunks = 0;
  Duration timeout{};
  bool unrepeatable = false;

  history::CallId call() const {
    return history::CallId("c" + std::to_string(number));
  }
  RequestId request() const { return RequestId("r" + std::to_string(number)); }
};

/// Returns the number of the call with the request id.
inline size_t ParseCallNumber(const RequestId& request) {
  return std::stoul(request.value().substr(1));
}

/// Returns the chunk at `offset` of the answer, unique to the request.
inline std::string MakeChunkText(const RequestId& request, int64_t offset) {
  return request.value() + ":" + std::to_string(offset) + ";";
}

/// Returns the complete answer to `plan`.
inline std::string MakeAnswerText(const CallPlan& plan) {
  std::string text;
  for (int64_t offset = 0; offset < plan.chunks; ++offset) {
    text += MakeChunkText(plan.request(), offset);
  }
  return text;
}

}  // namespace peridotshelf::explore
