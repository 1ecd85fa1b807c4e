#include "peridotshelf/scheduling/stream_placement.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peridotshelf::scheduling {
namespace {

/// Numbers of engines over which a prefill may be split.
constexpr std::array<size_t, 12> kSplitSizes = {1, 2,  3,  4,  5,  6,
                                                8, 10, 12, 14, 16, 17};
/// A shorter shard does not justify another engine.
constexpr Millis kMinShardMs = 12;
/// The risk that a gap between events is too long rises from 0 to 1 between
/// these fractions of the longest gap allowed, because predictions are inexact.
constexpr double kPauseRiskFrom = 0.6;
constexpr double kPauseRiskTo = 1.02;
/// The risk of a late first event rises from 0 to 1 between these fractions of
/// its objective.
constexpr double kFirstEventRiskFrom = 0.75;
constexpr double kFirstEventRiskTo = 1.05;
/// Factor on the predicted time of a split prefill: it ends with its slowest
/// shard, and further prefills start at its engines in the meantime.
constexpr double kSplitOverrun = 1.8;
/// Fraction of the value that a first event exactly at its objective costs
/// compared with an immediate one. Prefers the earlier of two plans that meet
/// the objective.
constexpr double kDelayWeight = 0.04;
/// A plan meets the objective while it risks less than this fraction of the
/// value.
constexpr double kMaxOnTimeLoss = 0.6;
/// Mean prefill backlog up to which late requests start.
constexpr Millis kLowBacklogMs = 50;
/// Cap on the relative delay of the first event, in units of its objective.
constexpr double kMaxRelativeDelay = 2;
/// Cost of each additional engine, since any of them can fail the prefill.
constexpr double kEngineCost = 0.004;
/// Cost of an engine in another failure domain; decides between equivalent
/// engines.
constexpr double kRemoteDomainCost = 0.002;
/// Cost of the engine that the entry prefers least; decides between equivalent
/// engines.
constexpr double kPreferenceCost = 0.05;
/// Fraction of a stream's value that the last slot of an engine costs: streams
/// that other entries placed there and have not reported yet would make it
/// wait.
constexpr double kLastSlotCost = 0.3;
/// `kLastSlotCost` does not apply from this number of free slots on.
constexpr double kSpareSlots = 3;
/// Fraction of a stream's value that placing it on an idle engine costs.
constexpr double kIdleEngineCost = 0.1;
/// A prefill is only split over engines whose own prefills end within this
/// time. Engines run the newest shard first, so a further one would delay those
/// that wait there already, and the streams that they belong to.
constexpr Millis kMaxPendingPrefillMs = 5;
/// Margin for the block granularity of the engines' KV-cache allocation.
constexpr int64_t kMemorySlackTokens = 512;

double Ramp(double x, double from, double to) {
  return std::clamp((x - from) / (to - from), 0.0, 1.0);
}

double PauseRisk(Millis pause, Millis max_pause) {
  if (max_pause <= 0) return 0;
  return Ramp(pause / max_pause, kPauseRiskFrom, kPauseRiskTo);
}

/// Predicts the duration of the engine's next iteration with `prefill_ms` of
/// prefill in it.
Millis PredictIteration(const EngineCandidate& engine,
                        int32_t more_decoding_requests, int64_t more_tokens,
                        Millis prefill_ms) {
  const EngineLoad& load = engine.load;
  return engine.slowdown_factor *
         (engine.model->IterationDuration(load.running + more_decoding_requests,
                                          load.context_tokens + more_tokens) +
          prefill_ms);
}

/// Returns the value that the streams at an engine lose if its prefill backlog
/// grows by `prefill_ms`.
double ComputeDelayCost(const EngineCandidate& engine, Millis prefill_ms) {
  const Millis before = PredictIteration(engine, 0, 0, engine.load.backlog_ms);
  const Millis after =
      PredictIteration(engine, 0, 0, engine.load.backlog_ms + prefill_ms);
  double cost = 0;
  for (const DecodingRequest& request : engine.load.decoding_requests) {
    const double objective_risk =
        request.missed_objective ? 0
                                 : PauseRisk(after, request.max_pause_ms) -
                                       PauseRisk(before, request.max_pause_ms);
    const double abandon_risk = PauseRisk(after, request.caller_timeout_ms) -
                                PauseRisk(before, request.caller_timeout_ms);
    cost += request.value * ((1 - kLateValueShare) * objective_risk +
                             kLateValueShare * abandon_risk);
  }
  return cost;
}

bool HasFreeSlot(const EngineCandidate& engine) {
  return engine.load.running < engine.model->speed().slots;
}

int64_t FreeMemory(const EngineCandidate& engine) {
  return engine.model->speed().memory_tokens - engine.load.memory_tokens -
         kMemorySlackTokens;
}

bool HasPendingPrefill(const EngineCandidate& engine) {
  return engine.load.backlog_ms > kMaxPendingPrefillMs ||
         engine.load.overdue_ms > 0;
}

bool CanTakeShard(const EngineCandidate& engine) {
  return engine.load.prefill_shards < engine.model->speed().slots &&
         !HasPendingPrefill(engine);
}

/// An engine with the cost of running a shard there.
struct ShardOption {
  size_t index = 0;
  /// Time until the shard is finished.
  Millis ready_ms = 0;
  double cost = 0;
  double rank = 0;
};

class Planner {
 public:
  Planner(const StreamRequirements& requirements,
          std::span<const EngineCandidate> engines)
      : m_requirements(requirements), m_engines(engines) {}

  std::optional<StreamPlan> FindBestPlan() {
    std::optional<StreamPlan> best;
    for (const size_t split : kSplitSizes) {
      if (split > m_engines.size()) break;
      const bool is_too_short = ShardDuration(split) < kMinShardMs && split > 1;
      if (is_too_short) break;
      auto plan = PlanSplit(split);
      if (plan && (!best || plan->gain > best->gain)) best = std::move(plan);
    }
    return best;
  }

 private:
  int64_t RequiredMemory() const {
    return m_requirements.prompt_tokens + m_requirements.output_tokens;
  }
  Millis ShardDuration(size_t split) const {
    return m_engines.front().model->PrefillDuration(
               m_requirements.prompt_tokens) /
           static_cast<double>(split);
  }

  ShardOption EvaluateEngine(size_t index, Millis prefill_shard_ms) const {
    const EngineCandidate& engine = m_engines[index];
    const EngineLoad& load = engine.load;
    ShardOption option;
    option.index = index;
    // A shard waits for the end of the current iteration, on average half an
    // iteration.
    const Millis residual =
        load.running > 0 ? PredictIteration(engine, 0, 0, 0) / 2 : 0;
    option.ready_ms =
        residual + load.overdue_ms +
        engine.slowdown_factor * (load.backlog_ms + prefill_shard_ms);
    option.cost = ComputeDelayCost(engine, prefill_shard_ms) +
                  (engine.is_same_domain ? 0 : kRemoteDomainCost) +
                  kPreferenceCost * engine.preference +
                  (1 - engine.success_rate) * m_requirements.value;
    const double relative_delay = RelativeDelay(option.ready_ms);
    option.rank = option.cost +
                  m_requirements.value *
                      (kDelayWeight * relative_delay + LossAt(option.ready_ms));
    return option;
  }

  /// Returns the time in units of the objective. Bounded, so that a request
  /// that is late in any case is still placed where it costs other streams
  /// least.
  double RelativeDelay(Millis ms) const {
    return std::min(ms / std::max(m_requirements.objective_ms, 1.0),
                    kMaxRelativeDelay);
  }

  /// Returns the fraction of the value that is lost if the first event comes
  /// after `ms`.
  double LossAt(Millis ms) const {
    if (m_requirements.objective_ms <= 0) return 0;
    return (1 - kLateValueShare) * Ramp(ms / m_requirements.objective_ms,
                                        kFirstEventRiskFrom, kFirstEventRiskTo);
  }

  std::optional<StreamPlan> PlanSplit(size_t split) const {
    const Millis prefill_shard_ms = ShardDuration(split);
    std::vector<ShardOption> options;
    options.reserve(m_engines.size());
    for (size_t i = 0; i < m_engines.size(); ++i) {
      options.push_back(EvaluateEngine(i, prefill_shard_ms));
    }
    std::sort(options.begin(), options.end(),
              [](const ShardOption& a, const ShardOption& b) {
                return a.rank < b.rank;
              });
    auto plan =
        BuildPlan(options, split, prefill_shard_ms, /*reserve_tokens=*/0);
    if (plan || split == 1) return plan;
    // If no engine can hold the whole context, its memory is spread over the
    // engines of the split.
    const auto share = static_cast<int64_t>(std::ceil(
        static_cast<double>(RequiredMemory()) / static_cast<double>(split)));
    return BuildPlan(options, split, prefill_shard_ms,
                     share + kMemorySlackTokens);
  }

  /// An engine without streams can run prefills that delay no stream. Streams
  /// are therefore packed onto fewer engines while that costs nothing.
  double IdleEngineCost(const EngineCandidate& engine) const {
    return kIdleEngineCost * m_requirements.value / (1 + engine.load.running);
  }

  double LastSlotCost(const EngineCandidate& engine) const {
    const double free_slots =
        engine.model->speed().slots - engine.load.running - 1;
    return kLastSlotCost * m_requirements.value *
           Ramp(free_slots, kSpareSlots, 0);
  }

  /// Returns the additional cost of an engine as the primary engine.
  double PrimaryCost(const EngineCandidate& engine) const {
    return IdleEngineCost(engine) + LastSlotCost(engine);
  }

  /// Returns the best primary engine; null if no engine has a free slot, enough
  /// memory and, for a split prefill, no pending one.
  const ShardOption* ChoosePrimary(const std::vector<ShardOption>& options,
                                   size_t split, int64_t memory) const {
    const ShardOption* best = nullptr;
    double best_rank = 0;
    for (const ShardOption& option : options) {
      const EngineCandidate& engine = m_engines[option.index];
      if (!HasFreeSlot(engine) || FreeMemory(engine) < memory) continue;
      if (split > 1 && HasPendingPrefill(engine)) continue;
      const double rank = option.rank + PrimaryCost(engine);
      if (best != nullptr && rank >= best_rank) continue;
      best = &option;
      best_rank = rank;
    }
    return best;
  }

  std::optional<StreamPlan> BuildPlan(const std::vector<ShardOption>& options,
                                      size_t split, Millis prefill_shard_ms,
                                      int64_t reserve_tokens) const {
    StreamPlan plan;
    plan.prefill_shard_ms = prefill_shard_ms;
    plan.reserve_tokens = reserve_tokens;
    const int64_t primary_memory =
        reserve_tokens > 0 ? reserve_tokens : RequiredMemory();
    const ShardOption* primary_option =
        ChoosePrimary(options, split, primary_memory);
    if (primary_option == nullptr) return std::nullopt;
    plan.primary = primary_option->index;
    Millis ready_ms = primary_option->ready_ms;
    double cost = primary_option->cost + PrimaryCost(m_engines[plan.primary]);
    for (const ShardOption& option : options) {
      if (plan.helpers.size() + 1 == split) break;
      const EngineCandidate& engine = m_engines[option.index];
      if (option.index == plan.primary || !CanTakeShard(engine) ||
          FreeMemory(engine) < reserve_tokens) {
        continue;
      }
      plan.helpers.push_back(option.index);
      ready_ms = std::max(ready_ms, option.ready_ms);
      cost += option.cost;
    }
    if (plan.helpers.size() + 1 < split) return std::nullopt;
    const EngineCandidate& primary = m_engines[plan.primary];
    const Millis iteration_ms =
        PredictIteration(primary, 1, RequiredMemory(), 0);
    plan.uncontended_first_event_ms = ready_ms + iteration_ms;
    plan.first_event_ms =
        (split > 1 ? kSplitOverrun : 1) * plan.uncontended_first_event_ms;
    plan.meets_objective = LossAt(plan.first_event_ms) < kMaxOnTimeLoss;
    plan.decode_ms = iteration_ms * primary.model->IterationsToDecode(
                                        m_requirements.output_tokens);
    const double relative_delay = RelativeDelay(plan.first_event_ms);
    plan.gain = m_requirements.value * (1 - LossAt(plan.first_event_ms) -
                                        kDelayWeight * relative_delay) -
                cost - kEngineCost * static_cast<double>(split);
    return plan;
  }

  const StreamRequirements& m_requirements;
  std::span<const EngineCandidate> m_engines;
};

}  // namespace

Millis MeanBacklog(std::span<const EngineCandidate> engines) {
  if (engines.empty()) return 0;
  Millis total = 0;
  for (const EngineCandidate& engine : engines) {
    total += engine.load.backlog_ms;
  }
  return total / static_cast<double>(engines.size());
}

bool ShouldStart(const StreamPlan& plan,
                 std::span<const EngineCandidate> engines,
                 bool has_waited_long) {
  if (plan.gain > 0 && (plan.meets_objective || has_waited_long)) return true;
  return MeanBacklog(engines) <= kLowBacklogMs;
}

std::optional<StreamPlan> PlaceStream(
    const StreamRequirements& requirements,
    std::span<const EngineCandidate> engines) {
  if (engines.empty()) return std::nullopt;
  return Planner(requirements, engines).FindBestPlan();
}

}  // namespace peridotshelf::scheduling
