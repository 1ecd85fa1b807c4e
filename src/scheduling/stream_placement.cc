#include "peridotshelf/scheduling/stream_placement.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peridotshelf::scheduling {
namespace {

/// Numbers of engines that are tried for one reading.
constexpr std::array<size_t, 12> kSplits = {1, 2,  3,  4,  5,  6,
                                            8, 10, 12, 14, 16, 17};
/// A part shorter than this is not worth another engine.
constexpr Millis kMinPartMs = 12;
/// The risk that a pause is too long grows from nothing to certainty between
/// these shares of the longest pause allowed: predictions err.
constexpr double kPauseRiskFrom = 0.6;
constexpr double kPauseRiskTo = 1.02;
/// The same for the first event and its objective.
constexpr double kFirstEventRiskFrom = 0.75;
constexpr double kFirstEventRiskTo = 1.05;
/// A split reading ends with its slowest part, and further readings come to its
/// engines meanwhile: its time over that predicted for the parts alone.
constexpr double kSplitOverrun = 1.8;
/// Share of the value that a first event just at its objective costs against
/// one at once: of two plans on time the earlier one wins.
constexpr double kEarlinessWeight = 0.04;
/// A plan counts as on time while it risks less than this share of the value.
constexpr double kOnTimeLoss = 0.6;
/// Late requests begin while the fleet is at most this far behind.
constexpr Millis kCalmBacklogMs = 50;
/// Times the objective; waiting beyond that costs no more.
constexpr double kMaxLateness = 2;
/// Cost of each further engine in a reading: more engines may fail it.
constexpr double kEngineCost = 0.004;
/// Cost of an engine in another failure domain, of two that are alike.
constexpr double kFarCost = 0.002;
/// Cost of an engine that the entry prefers least, of two that are alike.
constexpr double kPreferenceCost = 0.05;
/// Share of a stream's value that the last place at an engine costs: streams
/// that other entries sent there unseen would make it wait.
constexpr double kLastPlaceCost = 0.3;
/// An engine with this many places left costs nothing.
constexpr double kSparePlaces = 3;
/// Share of a stream's value that its being alone at an engine may cost.
constexpr double kOpeningCost = 0.1;
/// Room for the coarse blocks in which engines give out memory.
constexpr int64_t kMemorySlackTokens = 512;

double Ramp(double x, double from, double to) {
  return std::clamp((x - from) / (to - from), 0.0, 1.0);
}

double PauseRisk(Millis pause, Millis max_pause) {
  if (max_pause <= 0) return 0;
  return Ramp(pause / max_pause, kPauseRiskFrom, kPauseRiskTo);
}

/// The next pass of the engine with `read_ms` of reading in it.
Millis PassWith(const EngineCandidate& engine, int32_t more_writers,
                int64_t more_tokens, Millis read_ms) {
  const EngineLoad& load = engine.load;
  return engine.slowdown_factor *
         (engine.model->IterationDuration(load.running + more_writers,
                                          load.context_tokens + more_tokens) +
          read_ms);
}

/// Value that the streams at an engine lose by `read_ms` more reading.
double HarmOf(const EngineCandidate& engine, Millis read_ms) {
  const Millis before = PassWith(engine, 0, 0, engine.load.backlog_ms);
  const Millis after = PassWith(engine, 0, 0, engine.load.backlog_ms + read_ms);
  double harm = 0;
  for (const DecodingRequest& writer : engine.load.decoding_requests) {
    const double late = writer.is_late
                            ? 0
                            : PauseRisk(after, writer.max_pause_ms) -
                                  PauseRisk(before, writer.max_pause_ms);
    const double lost = PauseRisk(after, writer.patience_ms) -
                        PauseRisk(before, writer.patience_ms);
    harm += writer.value * ((1 - kLateShare) * late + kLateShare * lost);
  }
  return harm;
}

bool HasPlace(const EngineCandidate& engine) {
  return engine.load.running < engine.model->speed().slots;
}

int64_t FreeMemory(const EngineCandidate& engine) {
  return engine.model->speed().memory_tokens - engine.load.memory_tokens -
         kMemorySlackTokens;
}

bool CanHelp(const EngineCandidate& engine) {
  return engine.load.parts < engine.model->speed().slots;
}

/// An engine with what a part of the reading costs there.
struct Offer {
  size_t index = 0;
  /// Until the part is read.
  Millis ready_ms = 0;
  double harm = 0;
  double rank = 0;
};

class Planner {
 public:
  Planner(const StreamRequirements& needs,
          std::span<const EngineCandidate> engines)
      : m_needs(needs), m_engines(engines) {}

  std::optional<StreamPlan> Best() {
    std::optional<StreamPlan> best;
    for (const size_t split : kSplits) {
      if (split > m_engines.size()) break;
      const bool tiny = PartOf(split) < kMinPartMs && split > 1;
      if (tiny) break;
      auto plan = Plan(split);
      if (plan && (!best || plan->gain > best->gain)) best = std::move(plan);
    }
    return best;
  }

 private:
  int64_t Memory() const {
    return m_needs.prompt_tokens + m_needs.output_tokens;
  }
  Millis PartOf(size_t split) const {
    return m_engines.front().model->PrefillDuration(m_needs.prompt_tokens) /
           static_cast<double>(split);
  }

  Offer OfferOf(size_t index, Millis prefill_shard_ms) const {
    const EngineCandidate& engine = m_engines[index];
    const EngineLoad& load = engine.load;
    Offer offer;
    offer.index = index;
    // A part waits for the rest of the pass that is running.
    const Millis residual =
        load.running > 0 ? PassWith(engine, 0, 0, 0) / 2 : 0;
    offer.ready_ms = residual + engine.slowdown_factor *
                                    (load.backlog_ms + prefill_shard_ms);
    offer.harm = HarmOf(engine, prefill_shard_ms) +
                 (engine.is_same_domain ? 0 : kFarCost) +
                 kPreferenceCost * engine.preference +
                 (1 - engine.success_rate) * m_needs.value;
    const double lateness = Lateness(offer.ready_ms);
    offer.rank = offer.harm + m_needs.value * (kEarlinessWeight * lateness +
                                               LossBy(offer.ready_ms));
    return offer;
  }

  /// Time in units of the objective; bounded, so that a request that is late
  /// anyway still goes where it harms others least.
  double Lateness(Millis ms) const {
    return std::min(ms / std::max(m_needs.objective_ms, 1.0), kMaxLateness);
  }

  /// Value lost if the first event comes after `ms`.
  double LossBy(Millis ms) const {
    if (m_needs.objective_ms <= 0) return 0;
    return (1 - kLateShare) * Ramp(ms / m_needs.objective_ms,
                                   kFirstEventRiskFrom, kFirstEventRiskTo);
  }

  std::optional<StreamPlan> Plan(size_t split) const {
    const Millis prefill_shard_ms = PartOf(split);
    std::vector<Offer> offers;
    offers.reserve(m_engines.size());
    for (size_t i = 0; i < m_engines.size(); ++i) {
      offers.push_back(OfferOf(i, prefill_shard_ms));
    }
    std::sort(offers.begin(), offers.end(),
              [](const Offer& a, const Offer& b) { return a.rank < b.rank; });
    auto plan = Choose(offers, split, prefill_shard_ms, /*reserve_tokens=*/0);
    if (plan || split == 1) return plan;
    // No single engine holds the whole prompt: its memory is spread.
    const auto share = static_cast<int64_t>(
        std::ceil(static_cast<double>(Memory()) / static_cast<double>(split)));
    return Choose(offers, split, prefill_shard_ms, share + kMemorySlackTokens);
  }

  /// A stream at an engine without others takes it from the readings that
  /// would harm nobody there, so streams keep together while that harms none.
  double OpeningCost(const EngineCandidate& engine) const {
    return kOpeningCost * m_needs.value / (1 + engine.load.running);
  }

  double LastPlaceCost(const EngineCandidate& engine) const {
    const double left = engine.model->speed().slots - engine.load.running - 1;
    return kLastPlaceCost * m_needs.value * Ramp(left, kSparePlaces, 0);
  }

  /// What it costs that the request itself, not just a part, goes there.
  double FirstCost(const EngineCandidate& engine) const {
    return OpeningCost(engine) + LastPlaceCost(engine);
  }

  /// The best engine for the request itself; null if none can take it.
  const Offer* ChooseFirst(const std::vector<Offer>& offers,
                           int64_t memory) const {
    const Offer* best = nullptr;
    double best_rank = 0;
    for (const Offer& offer : offers) {
      const EngineCandidate& engine = m_engines[offer.index];
      if (!HasPlace(engine) || FreeMemory(engine) < memory) continue;
      const double rank = offer.rank + FirstCost(engine);
      if (best != nullptr && rank >= best_rank) continue;
      best = &offer;
      best_rank = rank;
    }
    return best;
  }

  std::optional<StreamPlan> Choose(const std::vector<Offer>& offers,
                                   size_t split, Millis prefill_shard_ms,
                                   int64_t reserve_tokens) const {
    StreamPlan plan;
    plan.prefill_shard_ms = prefill_shard_ms;
    plan.reserve_tokens = reserve_tokens;
    const int64_t first_memory = reserve_tokens > 0 ? reserve_tokens : Memory();
    const Offer* first_offer = ChooseFirst(offers, first_memory);
    if (first_offer == nullptr) return std::nullopt;
    plan.first = first_offer->index;
    Millis ready = first_offer->ready_ms;
    double harm = first_offer->harm + FirstCost(m_engines[plan.first]);
    for (const Offer& offer : offers) {
      if (plan.helpers.size() + 1 == split) break;
      const EngineCandidate& engine = m_engines[offer.index];
      if (offer.index == plan.first || !CanHelp(engine) ||
          FreeMemory(engine) < reserve_tokens) {
        continue;
      }
      plan.helpers.push_back(offer.index);
      ready = std::max(ready, offer.ready_ms);
      harm += offer.harm;
    }
    if (plan.helpers.size() + 1 < split) return std::nullopt;
    const EngineCandidate& first = m_engines[plan.first];
    const Millis pass = PassWith(first, 1, Memory(), 0);
    plan.undisturbed_first_event_ms = ready + pass;
    plan.first_event_ms =
        (split > 1 ? kSplitOverrun : 1) * plan.undisturbed_first_event_ms;
    plan.meets_objective = LossBy(plan.first_event_ms) < kOnTimeLoss;
    plan.decode_ms =
        pass * first.model->IterationsToDecode(m_needs.output_tokens);
    const double lateness = Lateness(plan.first_event_ms);
    plan.gain = m_needs.value * (1 - LossBy(plan.first_event_ms) -
                                 kEarlinessWeight * lateness) -
                harm - kEngineCost * static_cast<double>(split);
    return plan;
  }

  const StreamRequirements& m_needs;
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
  return MeanBacklog(engines) <= kCalmBacklogMs;
}

std::optional<StreamPlan> PlaceStream(
    const StreamRequirements& needs, std::span<const EngineCandidate> engines) {
  if (engines.empty()) return std::nullopt;
  return Planner(needs, engines).Best();
}

}  // namespace peridotshelf::scheduling
