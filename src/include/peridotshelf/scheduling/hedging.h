/// Decides when a request that takes unusually long is sent to a second engine
/// as well, and keeps these hedges within the operator's limit.
///
/// Answers the load in which single requests take several times as long as
/// predicted, at engines that are neither known to be slow nor stalled, while
/// other engines are idle. Under overload, or when all engines are slow, a
/// second execution delays other requests; the decision then is not to hedge.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/metrics/instruments.h"
#include "peridotshelf/scheduling/engine_model.h"

namespace peridotshelf::scheduling {

/// Largest share of requests or of engine time that hedges may have.
inline constexpr double kMaxHedgeShare = 0.5;

struct HedgeOptions {
  class Builder;

  /// Share of a service's requests that may be hedged; 0: none.
  double request_share = 0;
  /// Share of a service's engine time that hedges may use.
  double engine_time_share = 0;
  /// Both shares hold in each window of this length.
  Duration window = std::chrono::seconds(60);
  /// A request is hedged after this quantile of the measured times over the
  /// predicted times.
  double quantile = 0.95;
  /// No request is hedged before this many times are known.
  size_t min_samples = 100;
  /// Share of the retry budget that is kept for retries of failures.
  double kept_budget_share = 0.5;

  bool IsEnabled() const { return request_share > 0 && engine_time_share > 0; }
};

/// Builds options within their ranges.
class HedgeOptions::Builder {
 public:
  /// Limits `share` to 0 to `kMaxHedgeShare`. Also sets the share of the engine
  /// time, unless that is set on its own.
  Builder& SetRequestShare(double share);
  /// Limits `share` to 0 to `kMaxHedgeShare`.
  Builder& SetEngineTimeShare(double share);
  Builder& SetWindow(Duration length);
  Builder& SetMinSamples(size_t samples);
  HedgeOptions Build() const;

 private:
  HedgeOptions m_options;
  std::optional<double> m_engine_time_share;
};

/// Distribution of the measured over the predicted times of one class of
/// requests. It covers the newest few hundred requests.
class TimeRatios {
 public:
  TimeRatios();
  void Observe(double ratio, TimePoint now);
  size_t size() const { return m_newer_count + m_older_count; }
  /// Returns the quantile `q`; 0 if there are no values.
  double Quantile(double q) const;
  /// Returns how much longer, as a ratio, a request takes that has taken
  /// `ratio`: the median of the longer ones. If hardly any are known, returns
  /// the excess over the prediction.
  double ExpectedRemaining(double ratio) const;

 private:
  metrics::HistogramSnapshot Merge() const;

  metrics::Histogram m_newer;
  metrics::Histogram m_older;
  size_t m_newer_count = 0;
  size_t m_older_count = 0;
  TimePoint m_began{};
};

/// A request that is at one engine, and what a second attempt could do.
struct HedgeQuestion {
  std::string_view service;
  /// Route and size class, which share a distribution.
  std::string_view request_class;
  /// Predicted time of the first attempt; 0 if unknown.
  Millis predicted_ms = 0;
  /// Time since the first attempt was sent.
  Millis elapsed_ms = 0;
  /// Time until the request's deadline.
  Millis time_left_ms = 0;
  /// Predicted time of the second attempt at the best engine; none if no engine
  /// may take it.
  std::optional<Millis> hedge_ms;
  /// Engine time that the second attempt uses if it runs to its end.
  Millis engine_ms = 0;
  /// Requests that wait for an engine.
  size_t queued = 0;
  /// Engines that may run the request besides the first one.
  int32_t attempts_left = 0;
  /// Whether engines crashed under what the request has in common with others.
  bool is_suspect = false;
  /// Share of the retry budget that is left.
  double budget_share_left = 0;
};

enum class HedgeVerdict {
  kSend,
  kTooEarly,    ///< The first attempt is expected to be faster.
  kLoaded,      ///< Requests are queued, or no engine may take it.
  kLimitUsed,   ///< The operator's limit or the retry budget is used up.
  kNotAllowed,  ///< The request may never be hedged.
};

/// Not thread-safe.
class HedgePolicy {
 public:
  explicit HedgePolicy(const HedgeOptions& options) : m_options(options) {}

  bool IsEnabled() const { return m_options.IsEnabled(); }
  /// Counts a request of `service` that was sent to an engine. Hedges are not
  /// counted.
  void NoteRequest(std::string_view service, TimePoint now);
  /// Counts the time that an attempt occupied an engine. Hedges are not
  /// counted.
  void NoteEngineTime(std::string_view service, Millis engine_ms,
                      TimePoint now);
  /// Records the time that a first attempt took over its prediction.
  void NoteAnswer(std::string_view request_class, double ratio, TimePoint now);
  /// Records a first attempt that was cancelled after `ratio`. It would have
  /// taken longer; the expected time is recorded, so that the distribution
  /// doesn't lose its slowest requests to the hedges that replace them.
  void NoteCancelled(std::string_view request_class, double ratio,
                     TimePoint now);
  /// Returns the time after which a request may be hedged; none as long as the
  /// distribution is unknown.
  std::optional<Millis> FindDelay(std::string_view request_class,
                                  Millis predicted_ms) const;
  HedgeVerdict Decide(const HedgeQuestion& question, TimePoint now);
  /// Counts the hedge `id`, which was sent and is predicted to use `engine_ms`.
  void NoteHedge(std::string_view service, uint64_t id, Millis engine_ms,
                 TimePoint now);
  /// Replaces the predicted engine time of the hedge `id` by the measured one.
  void NoteHedgeEnd(std::string_view service, uint64_t id, Millis engine_ms);

 private:
  struct EngineTime {
    TimePoint at{};
    uint64_t id = 0;
    Millis engine_ms = 0;
  };
  /// What one service did in the window.
  struct Usage {
    std::deque<TimePoint> requests;
    std::deque<EngineTime> engine_times;
    std::deque<EngineTime> hedges;
    Millis engine_ms = 0;
    Millis hedge_ms = 0;
  };

  Usage& Expire(std::string_view service, TimePoint now);
  bool IsWithinLimit(const HedgeQuestion& question, TimePoint now);
  const TimeRatios* FindRatios(std::string_view request_class) const;

  HedgeOptions m_options;
  std::map<std::string, Usage, std::less<>> m_usage;
  std::map<std::string, TimeRatios, std::less<>> m_ratios;
};

}  // namespace peridotshelf::scheduling
