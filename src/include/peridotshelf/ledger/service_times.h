/// Predicts how long requests take at an engine, adjusted by observed times.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::ledger {

/// An engine's costs, used until times have been observed.
struct EngineCosts {
  /// Time to prefill one token that has no preceding context.
  double seconds_per_prefill_token = 25e-6;
  /// Additional time for each token of preceding context.
  double seconds_per_context_token = 250e-12;
  /// Time to generate one token.
  double seconds_per_output_token = 0.03;
  /// Generated tokens as a fraction of max_tokens.
  double output_fraction = 0.6;
};

/// Predicts prefill and decode times. The prefill factor is learned separately
/// for each size class, since streams of one class see similar contention.
class ServiceTimeModel {
 public:
  explicit ServiceTimeModel(EngineCosts costs) : m_costs(costs) {}

  /// Returns the predicted time from start to first token.
  Duration PredictPrefill(int64_t prompt_tokens,
                          policy::SizeClass size_class) const;
  /// Returns the predicted time from first to last token of a request that
  /// allows `max_tokens`.
  Duration PredictDecode(int64_t max_tokens) const;
  /// Records that the first token followed the start after `actual`.
  void ObservePrefill(int64_t prompt_tokens, policy::SizeClass size_class,
                      Duration actual);
  /// Records that the last token followed the first after `actual`.
  void ObserveDecode(int64_t max_tokens, Duration actual);

 private:
  double UnscaledPrefill(int64_t prompt_tokens) const;
  double UnscaledDecode(int64_t max_tokens) const;

  EngineCosts m_costs;
  /// Ratio of actual to predicted time, by size class.
  std::array<double, 5> m_prefill_factors{1, 1, 1, 1, 1};
  double m_decode_factor = 1;
};

/// A running request, or one that is queued ahead of the request in question.
struct PlannedRequest {
  int64_t tokens = 0;
  /// Remaining time of a running request; service time of a queued one.
  Duration duration{};
};

/// Returns the time until `tokens` of memory and a slot are free, if the
/// requests in `running` end as planned and those in `ahead` start first, in
/// order.
Duration EstimateWait(std::span<const PlannedRequest> running,
                      std::span<const PlannedRequest> ahead,
                      int64_t free_tokens, int32_t free_slots, int64_t tokens);

/// Statistics of predicted and actual waits, with a correction factor for later
/// predictions.
class WaitPredictionStats {
 public:
  /// Records the predicted and actual wait of a started request.
  void Add(Duration predicted, Duration actual);
  /// Returns `uncorrected` scaled by the learned correction factor.
  Duration ApplyCorrection(Duration uncorrected) const;
  int64_t count() const { return m_count; }
  Duration predicted_sum() const { return m_predicted_sum; }
  Duration actual_sum() const { return m_actual_sum; }
  /// Number of starts later than predicted by more than kTolerance.
  int64_t late_starts() const { return m_late_starts; }

  /// A start counts as late if it is later than predicted by more than this.
  static constexpr Duration kTolerance = std::chrono::milliseconds(100);

 private:
  int64_t m_count = 0;
  int64_t m_late_starts = 0;
  Duration m_predicted_sum{};
  Duration m_actual_sum{};
  double m_factor = 1;
};

}  // namespace peridotshelf::ledger
