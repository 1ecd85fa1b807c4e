/// Predicts durations at an engine from the speeds in its configuration.
#pragma once

#include <cstdint>

#include "peridotshelf/routing/configuration.h"

namespace peridotshelf::scheduling {

/// Milliseconds as a floating-point number: predictions add up small fractions.
using Millis = double;

constexpr Millis ToMillis(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

/// Model of an engine that runs batch iterations. An iteration takes a fixed
/// number of decode steps for the whole batch; the prefill of prompts that join
/// in the iteration adds to it, so each prefill delays the next event of every
/// stream at the engine.
class EngineModel {
 public:
  explicit EngineModel(const routing::EngineSpeed& speed) : m_speed(speed) {}

  /// Returns the time to prefill a whole prompt on an otherwise idle engine.
  Millis PrefillDuration(int64_t prompt_tokens) const;
  /// Returns the duration of an iteration without prefill that decodes
  /// `decoding_requests` requests with `context_tokens` tokens in total.
  Millis IterationDuration(int32_t decoding_requests,
                           int64_t context_tokens) const;
  /// Returns the longest time that the prefill of a prompt of this size can add
  /// to one iteration.
  Millis MaxPrefillPerIteration(int64_t prompt_tokens) const;
  /// Returns the number of iterations that generate `output_tokens`.
  double IterationsToDecode(int64_t output_tokens) const;

  const routing::EngineSpeed& speed() const { return m_speed; }

 private:
  routing::EngineSpeed m_speed;
};

}  // namespace peridotshelf::scheduling
