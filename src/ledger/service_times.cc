#include "peridotshelf/ledger/service_times.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace peridotshelf::ledger {

namespace {

/// Weight of one observation in the learned factors.
constexpr double kLearningRate = 0.1;
/// Bounds of the learned factors, so that one odd stream cannot close or flood
/// an engine.
constexpr double kMinFactor = 0.1;
constexpr double kMaxFactor = 10;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

void Learn(double& factor, double observed) {
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

Duration ServiceTimeModel::Prefill(int64_t prompt_tokens,
                                   policy::SizeClass size_class) const {
  const double factor = m_prefill_factors.at(static_cast<size_t>(size_class));
  return FromSeconds(UnscaledPrefill(prompt_tokens) * factor);
}

Duration ServiceTimeModel::Decode(int64_t max_tokens) const {
  return FromSeconds(UnscaledDecode(max_tokens) * m_decode_factor);
}

void ServiceTimeModel::ObservePrefill(int64_t prompt_tokens,
                                      policy::SizeClass size_class,
                                      Duration actual) {
  const double base = UnscaledPrefill(prompt_tokens);
  if (base <= 0) return;
  Learn(m_prefill_factors.at(static_cast<size_t>(size_class)),
        Seconds(actual) / base);
}

void ServiceTimeModel::ObserveDecode(int64_t max_tokens, Duration actual) {
  const double base = UnscaledDecode(max_tokens);
  if (base > 0) Learn(m_decode_factor, Seconds(actual) / base);
}

Duration EstimateWait(std::span<const PlannedWork> running,
                      std::span<const PlannedWork> ahead, int64_t free_tokens,
                      int32_t free_slots, int64_t tokens) {
  struct End {
    Duration at;
    int64_t tokens;
    bool operator>(const End& other) const { return at > other.at; }
  };
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  for (const PlannedWork& work : running) {
    ends.push({std::max(Duration::zero(), work.duration), work.tokens});
  }
  Duration now{};
  // Moves time on until the work fits, then takes its memory.
  const auto start = [&](int64_t needed) {
    while ((free_tokens < needed || free_slots < 1) && !ends.empty()) {
      now = std::max(now, ends.top().at);
      free_tokens += ends.top().tokens;
      free_slots += 1;
      ends.pop();
    }
    free_tokens -= needed;
    free_slots -= 1;
  };
  for (const PlannedWork& work : ahead) {
    start(work.tokens);
    ends.push({now + work.duration, work.tokens});
  }
  start(tokens);
  return now;
}

void WaitPredictionStats::Add(Duration predicted, Duration actual) {
  m_count += 1;
  m_predicted_sum += predicted;
  m_actual_sum += actual;
  if (actual > predicted + kTolerance) m_late += 1;
  if (predicted > kTolerance) {
    Learn(m_factor, m_factor * Seconds(actual) / Seconds(predicted));
  }
}

Duration WaitPredictionStats::Correct(Duration raw) const {
  return FromSeconds(Seconds(raw) * m_factor);
}

}  // namespace peridotshelf::ledger
