/// The calls of a schedule, and the text that answers them.
#pragma once

#include <string>

#include "peridotshelf/history/event.h"

namespace peridotshelf::explore {

/// One call, as its caller makes it.
struct CallPlan {
  size_t number = 0;
  history::RequestSize size = history::RequestSize::kShort;
  int64_t prompt_tokens = 0;
  /// Chunks of the whole answer.
  int64_t chunks = 0;
  Duration budget{};
  bool unrepeatable = false;

  history::CallId call() const {
    return history::CallId("c" + std::to_string(number));
  }
  RequestId request() const { return RequestId("r" + std::to_string(number)); }
};

/// The number of the call behind a request id.
inline size_t CallNumber(const RequestId& request) {
  return std::stoul(request.value().substr(1));
}

/// The chunk at `offset` of the answer to a request, and to no other.
inline std::string ChunkText(const RequestId& request, int64_t offset) {
  return request.value() + ":" + std::to_string(offset) + ";";
}

/// The whole answer to `plan`.
inline std::string WholeText(const CallPlan& plan) {
  std::string text;
  for (int64_t offset = 0; offset < plan.chunks; ++offset) {
    text += ChunkText(plan.request(), offset);
  }
  return text;
}

}  // namespace peridotshelf::explore
