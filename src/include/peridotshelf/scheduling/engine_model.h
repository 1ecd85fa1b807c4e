/// Predicts how long an engine takes, from the speeds that its operator states.
#pragma once

#include <cstdint>

#include "peridotshelf/routing/configuration.h"

namespace peridotshelf::scheduling {

/// Milliseconds as a real number: predictions are sums of small parts.
using Millis = double;

constexpr Millis ToMillis(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

/// An engine works in passes. A pass over a batch that writes takes a fixed
/// number of token steps, and the reading of prompts that are new in the pass
/// comes on top, so each reading delays the next event of every stream there.
class EngineModel {
 public:
  explicit EngineModel(const routing::EngineSpeed& speed) : m_speed(speed) {}

  /// Reading a whole prompt at one engine with nothing else to do.
  Millis PrefillDuration(int64_t prompt_tokens) const;
  /// One pass that writes for `decoding_requests` requests with
  /// `context_tokens` in all and reads nothing.
  Millis IterationDuration(int32_t decoding_requests,
                           int64_t context_tokens) const;
  /// Most time that reading can add to one pass, for a prompt of that size.
  Millis MaxPrefillPerIteration(int64_t prompt_tokens) const;
  /// Passes that write `output_tokens`.
  double IterationsToDecode(int64_t output_tokens) const;

  const routing::EngineSpeed& speed() const { return m_speed; }

 private:
  routing::EngineSpeed m_speed;
};

}  // namespace peridotshelf::scheduling
