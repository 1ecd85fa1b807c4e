/// Chooses the engines of a stream so that the total value of the responses to
/// callers is highest.
///
/// Prompt lengths vary widely, and one long prefill delays every stream at its
/// engine beyond the gap between events that the callers accept. A prefill is
/// therefore split over as many engines as needed to keep each shard short, and
/// runs where the delayed streams have the least value. Other entries decide at
/// the same time from almost the same data, so each entry has different
/// preferences among equivalent engines and avoids the last free slots of an
/// engine.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/engine_model.h"

namespace peridotshelf::scheduling {

/// The size and the latency objectives of a stream.
struct StreamRequirements {
  int64_t prompt_tokens = 0;
  /// Expected output, not its limit.
  int64_t output_tokens = 0;
  /// Remaining time in which the first event meets its objective.
  Millis objective_ms = 0;
  Millis max_pause_ms = 0;
  /// Value of a response that meets its objectives.
  double value = 1;
};

/// An engine that can receive the stream or a shard of its prefill.
struct EngineCandidate {
  std::string engine;
  const EngineModel* model = nullptr;
  EngineLoad load;
  /// Ratio of actual to predicted time, at least 1.
  double slowdown_factor = 1;
  /// Fraction of the recent requests that the engine served.
  double success_rate = 1;
  /// Whether the engine is in the entry's failure domain.
  bool is_same_domain = false;
  /// From 0 (preferred) to 1; differs between entries.
  double preference = 0;
};

/// Engines chosen for a stream.
struct StreamPlan {
  /// Index of the primary engine, which generates the response.
  size_t primary = 0;
  /// Indices of the helper engines, each of which runs a prefill shard.
  std::vector<size_t> helpers;
  /// Prefill time at each of the engines at its configured speed.
  Millis prefill_shard_ms = 0;
  /// Memory to reserve at each helper engine; 0 if the primary engine holds the
  /// whole context.
  int64_t reserve_tokens = 0;
  /// Predicted time to first token.
  Millis first_event_ms = 0;
  /// Predicted time to first token if no other prefill starts at the engines in
  /// the meantime.
  Millis uncontended_first_event_ms = 0;
  /// Whether `first_event_ms` is within the objective.
  bool meets_objective = false;
  /// Predicted time from the first event to the end of the stream.
  Millis decode_ms = 0;
  /// Net value of the plan; negative if it costs other streams more than it
  /// yields.
  double gain = 0;
};

/// Value of a late response as a fraction of its value on time.
inline constexpr double kLateValueShare = 0.25;
/// Maximum number of helper engines for one prompt.
inline constexpr size_t kMaxHelpers = 16;

/// Returns the plan with the highest gain; none if no engine has a free slot
/// and enough memory.
std::optional<StreamPlan> PlaceStream(const StreamRequirements& requirements,
                                      std::span<const EngineCandidate> engines);

/// Returns the mean prefill backlog of `engines`.
Millis MeanBacklog(std::span<const EngineCandidate> engines);

/// Returns whether to start the plan now; otherwise the request should wait for
/// a better one. A late response has little value and its prefill delays other
/// streams. Late requests therefore start only while the mean prefill backlog
/// is small or, once half of the caller timeout has passed, where the gain is
/// still positive.
bool ShouldStart(const StreamPlan& plan,
                 std::span<const EngineCandidate> engines,
                 bool has_waited_long = false);

}  // namespace peridotshelf::scheduling
