#include "peridotshelf/ledger/service_times.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace peridotshelf::ledger {

namespace {

/// Weight of one observation in the learned factors.
constexpr double kLearningRate = 0.1;
/// Bounds of the learned factors, so that one outlier can neither stop an
/// engine from being used nor overload it.
constexpr double kMinFactor = 0.1;
constexpr double kMaxFactor = 10;

double ToSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

void UpdateFactor(double& factor, double observed) {
  const double bounded = std::clamp(observed, kMinFactor, kMaxFactor);
  factor += kLearningRate * (bounded - factor);
}

}  // namespace

double ServiceTimeModel::UnscaledPrefill(int64_t prompt_tokens) const {
  const auto n = static_cast<double>(prompt_tokens);
  return n * m_costs.seconds_per_prefill_token +
         n * n / 2 * m_costs.seconds_per_context_token;
}

double ServiceTimeModel::UnscaledDecode(int64_t max_tokens) const {
  return static_cast<double>(max_tokens) * m_costs.output_fraction *
         m_costs.seconds_per_output_token;
}

Duration ServiceTimeModel::PredictPrefill(int64_t prompt_tokens,
                                          policy::SizeClass size_class) const {
  const double factor = m_prefill_factors.at(static_cast<size_t>(size_class));
  return FromSeconds(UnscaledPrefill(prompt_tokens) * factor);
}

Duration ServiceTimeModel::PredictDecode(int64_t max_tokens) const {
  return FromSeconds(UnscaledDecode(max_tokens) * m_decode_factor);
}

void ServiceTimeModel::ObservePrefill(int64_t prompt_tokens,
                                      policy::SizeClass size_class,
                                      Duration actual) {
  const double unscaled = UnscaledPrefill(prompt_tokens);
  if (unscaled <= 0) return;
  UpdateFactor(m_prefill_factors.at(static_cast<size_t>(size_class)),
               ToSeconds(actual) / unscaled);
}

void ServiceTimeModel::ObserveDecode(int64_t max_tokens, Duration actual) {
  const double unscaled = UnscaledDecode(max_tokens);
  if (unscaled > 0) UpdateFactor(m_decode_factor, ToSeconds(actual) / unscaled);
}

Duration EstimateWait(std::span<const PlannedRequest> running,
                      std::span<const PlannedRequest> ahead,
                      int64_t free_tokens, int32_t free_slots, int64_t tokens) {
  struct Completion {
    Duration at;
    int64_t tokens;
    bool operator>(const Completion& other) const { return at > other.at; }
  };
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      completions;
  for (const PlannedRequest& planned : running) {
    completions.push(
        {std::max(Duration::zero(), planned.duration), planned.tokens});
  }
  Duration now{};
  // Advances `now` until the request fits, then allocates its memory and slot.
  const auto start_request = [&](int64_t needed) {
    while ((free_tokens < needed || free_slots < 1) && !completions.empty()) {
      now = std::max(now, completions.top().at);
      free_tokens += completions.top().tokens;
      free_slots += 1;
      completions.pop();
    }
    free_tokens -= needed;
    free_slots -= 1;
  };
  for (const PlannedRequest& planned : ahead) {
    start_request(planned.tokens);
    completions.push({now + planned.duration, planned.tokens});
  }
  start_request(tokens);
  return now;
}

void WaitPredictionStats::Add(Duration predicted, Duration actual) {
  m_count += 1;
  m_predicted_sum += predicted;
  m_actual_sum += actual;
  if (actual > predicted + kTolerance) m_late_starts += 1;
  if (predicted > kTolerance) {
    UpdateFactor(m_factor, m_factor * ToSeconds(actual) / ToSeconds(predicted));
  }
}

Duration WaitPredictionStats::ApplyCorrection(Duration uncorrected) const {
  return FromSeconds(ToSeconds(uncorrected) * m_factor);
}

}  // namespace peridotshelf::ledger
