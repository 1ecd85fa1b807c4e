/// What a request will cost an engine in time, learned from those that ran.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::ledger {

/// An engine's costs before anything was observed.
struct EngineCosts {
  /// Prefill of one token with no context before it.
  double seconds_per_prefill_token = 25e-6;
  /// Added to that for each token of context before it.
  double seconds_per_context_token = 250e-12;
  /// One generated token.
  double seconds_per_output_token = 0.03;
  /// Tokens generated as a fraction of those allowed.
  double output_fraction = 0.6;
};

/// Predicts prefill and decode times. Learned factors are kept apart by size
/// class, since streams of one class meet similar contention.
class ServiceTimeModel {
 public:
  explicit ServiceTimeModel(EngineCosts costs) : m_costs(costs) {}

  /// Time from start to first token.
  Duration Prefill(int64_t prompt_tokens, policy::SizeClass size_class) const;
  /// Time from the first token to the last, when `max_tokens` are allowed.
  Duration Decode(int64_t max_tokens) const;
  /// The first token came `actual` after the start.
  void ObservePrefill(int64_t prompt_tokens, policy::SizeClass size_class,
                      Duration actual);
  /// The answer ended `actual` after its first token.
  void ObserveDecode(int64_t max_tokens, Duration actual);

 private:
  double UnscaledPrefill(int64_t prompt_tokens) const;
  double UnscaledDecode(int64_t max_tokens) const;

  EngineCosts m_costs;
  /// Actual over predicted, by size class.
  std::array<double, 5> m_prefill_factors{1, 1, 1, 1, 1};
  double m_decode_factor = 1;
};

/// Work that holds memory, or will before the request in question.
struct PlannedWork {
  int64_t tokens = 0;
  /// For running work: time until it ends. For waiting work: how long it runs.
  Duration duration{};
};

/// The wait until `tokens` of memory and a slot are free, when `running` ends
/// as planned and `ahead` starts first, in its order.
Duration EstimateWait(std::span<const PlannedWork> running,
                      std::span<const PlannedWork> ahead, int64_t free_tokens,
                      int32_t free_slots, int64_t tokens);

/// How predicted waits compared with actual ones. The correction is applied to
/// later predictions.
class WaitPredictionStats {
 public:
  /// Records one start.
  void Add(Duration predicted, Duration actual);
  /// `raw` corrected by what was seen so far.
  Duration Correct(Duration raw) const;
  int64_t count() const { return m_count; }
  Duration predicted_sum() const { return m_predicted_sum; }
  Duration actual_sum() const { return m_actual_sum; }
  /// Starts later than predicted by more than kTolerance.
  int64_t late() const { return m_late; }

  /// A prediction within this of the actual start counts as kept.
  static constexpr Duration kTolerance = std::chrono::milliseconds(100);

 private:
  int64_t m_count = 0;
  int64_t m_late = 0;
  Duration m_predicted_sum{};
  Duration m_actual_sum{};
  double m_factor = 1;
};

}  // namespace peridotshelf::ledger
