#include "peridotshelf/scheduling/engine_model.h"

#include <algorithm>
#include <cmath>

namespace peridotshelf::scheduling {
namespace {

constexpr double kPairsPerMillion = 1e6;
constexpr double kThousand = 1000.0;

/// Attention pairs each token with every token before it.
double CountTokenPairs(double tokens) { return tokens * tokens / 2; }

}  // namespace

Millis EngineModel::PrefillDuration(int64_t prompt_tokens) const {
  const auto tokens = static_cast<double>(prompt_tokens);
  return tokens / m_speed.prefill_tokens_per_ms +
         m_speed.prefill_ms_per_million_pairs * CountTokenPairs(tokens) /
             kPairsPerMillion;
}

Millis EngineModel::IterationDuration(int32_t decoding_requests,
                                      int64_t context_tokens) const {
  const Millis step = m_speed.step_ms +
                      m_speed.step_ms_per_decoding_request * decoding_requests +
                      m_speed.step_ms_per_1000_context_tokens *
                          static_cast<double>(context_tokens) / kThousand;
  return step * m_speed.steps_per_iteration;
}

Millis EngineModel::MaxPrefillPerIteration(int64_t prompt_tokens) const {
  const int64_t max_tokens =
      m_speed.prefill_tokens_per_step * m_speed.steps_per_iteration;
  if (prompt_tokens <= max_tokens) return PrefillDuration(prompt_tokens);
  const double share =
      static_cast<double>(max_tokens) / static_cast<double>(prompt_tokens);
  return PrefillDuration(prompt_tokens) * share;
}

double EngineModel::IterationsToDecode(int64_t output_tokens) const {
  return std::ceil(static_cast<double>(std::max<int64_t>(output_tokens, 1)) /
                   std::max(m_speed.steps_per_iteration, 1));
}

}  // namespace peridotshelf::scheduling
