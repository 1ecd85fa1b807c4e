/// Chooses the engines of a stream by the value that callers get.
///
/// The load it answers: prompts of very unlike lengths on shared engines, where
/// one long reading delays every stream at its engine past the pause that its
/// caller accepts. A reading is split over as many engines as it takes to keep
/// each part short, and goes where the streams that it delays are worth least.
/// Other entries choose at the same moment by nearly the same figures, so each
/// has preferences of its own among engines that are alike and keeps off the
/// last places of an engine.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/engine_model.h"

namespace peridotshelf::scheduling {

/// What a stream asks for.
struct StreamRequirements {
  int64_t prompt_tokens = 0;
  /// Expected, not the limit.
  int64_t output_tokens = 0;
  /// Until its first event is late.
  Millis objective_ms = 0;
  Millis max_pause_ms = 0;
  /// What an answer on time is worth.
  double value = 1;
};

/// An engine that may take the stream, or a part of its reading.
struct EngineCandidate {
  std::string engine;
  const EngineModel* model = nullptr;
  EngineLoad load;
  /// Time taken over time predicted, at least 1.
  double slowdown_factor = 1;
  /// Share of its recent requests that it served.
  double success_rate = 1;
  /// The engine shares the entry's failure domain.
  bool is_same_domain = false;
  /// From 0, preferred, to 1; differs from entry to entry.
  double preference = 0;
};

/// Where a stream goes.
struct StreamPlan {
  /// Index of the engine that gets the request.
  size_t first = 0;
  /// Indices of engines that read a part.
  std::vector<size_t> helpers;
  /// Reading at each of the engines, at the stated speed.
  Millis prefill_shard_ms = 0;
  /// Memory to be reserved at each helper; 0 if the first engine holds all.
  int64_t reserve_tokens = 0;
  /// Predicted time until the first event.
  Millis first_event_ms = 0;
  /// The same if no other reading comes to its engines meanwhile.
  Millis undisturbed_first_event_ms = 0;
  /// Whether that is within the objective.
  bool meets_objective = false;
  /// Predicted time from the first event to the end.
  Millis decode_ms = 0;
  /// What the fleet gains by it; less than 0 if it costs others more.
  double gain = 0;
};

/// What an answer that comes late is worth of one on time.
inline constexpr double kLateShare = 0.25;
/// Most engines that may read parts of one prompt.
inline constexpr size_t kMaxHelpers = 16;

/// The plan of the largest gain; none if no engine has a free place and enough
/// memory.
std::optional<StreamPlan> PlaceStream(const StreamRequirements& needs,
                                      std::span<const EngineCandidate> engines);

/// Mean time until an engine has read what it has to read: how far the fleet is
/// behind.
Millis MeanBacklog(std::span<const EngineCandidate> engines);

/// Whether a plan should be carried out now, or the request should wait for a
/// better one. A late answer is worth little and its reading delays others, so
/// late requests begin while the fleet has little to read, or, once half of
/// their caller's patience is over, where they still gain more than they cost.
bool ShouldStart(const StreamPlan& plan,
                 std::span<const EngineCandidate> engines,
                 bool has_waited_long = false);

}  // namespace peridotshelf::scheduling
