#include "peridotshelf/scheduling/stream_placement.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

constexpr uint32_t kSeed = 20261204;
constexpr TimePoint kNow{std::chrono::hours(1)};

/// A typical engine: prefills 200 tokens/ms, 43 decode steps per iteration.
routing::EngineSpeed TypicalSpeed() {
  routing::EngineSpeed speed;
  speed.slots = 16;
  speed.memory_tokens = 200000;
  speed.step_ms = 1;
  speed.step_ms_per_decoding_request = 0.002;
  speed.step_ms_per_1000_context_tokens = 0.004;
  speed.prefill_tokens_per_ms = 200;
  speed.prefill_ms_per_million_pairs = 0.14;
  speed.prefill_tokens_per_step = 2048;
  speed.steps_per_iteration = 43;
  return speed;
}

StreamRequirements ShortStream() {
  StreamRequirements request;
  request.prompt_tokens = 5000;
  request.output_tokens = 1300;
  request.objective_ms = 300;
  request.max_pause_ms = 250;
  request.value = 1.5;
  return request;
}

StreamRequirements LongStream(int64_t tokens = 130000) {
  StreamRequirements request;
  request.prompt_tokens = tokens;
  request.output_tokens = 700;
  request.objective_ms = 3000;
  request.max_pause_ms = 1000;
  request.value = 14;
  return request;
}

class StreamPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamPlacementTest);
  CPPUNIT_TEST(PlaceStream_NoEngine_ReturnsNullopt);
  CPPUNIT_TEST(PlaceStream_AllSlotsInUse_ReturnsNullopt);
  CPPUNIT_TEST(PlaceStream_LongPrefillAtOneEngine_ShortStreamAvoidsIt);
  CPPUNIT_TEST(PlaceStream_LongPrefill_AvoidsEnginesDecodingShortStreams);
  CPPUNIT_TEST(PlaceStream_AllEnginesDecoding_SplitsPrefillBelowMaxPause);
  CPPUNIT_TEST(PlaceStream_PromptOverOneEnginesMemory_ReservesAtHelpers);
  CPPUNIT_TEST(PlaceStream_PromptOverAllMemory_ReturnsNullopt);
  CPPUNIT_TEST(PlaceStream_EngineFailsMostRequests_PrefersOthers);
  CPPUNIT_TEST(PlaceStream_SlowEngine_PrefersOthers);
  CPPUNIT_TEST(PlaceStream_StreamsAlreadyLate_AvoidsCallerTimeouts);
  CPPUNIT_TEST(PlaceStream_IdleEngines_PacksShortStreams);
  CPPUNIT_TEST(PlaceStream_SplitPrefill_AllowsForSlowestShard);
  CPPUNIT_TEST(PlaceStream_EnginesWithPendingPrefill_GetNoShards);
  CPPUNIT_TEST(PlaceStream_EngineNearlyFull_LeavesLastSlots);
  CPPUNIT_TEST(PlaceStream_ConcurrentEntries_StayWithinSlots);
  CPPUNIT_TEST(ShouldStart_LateWithLargeBacklog_Waits);
  CPPUNIT_TEST(ShouldStart_LateWithoutBacklog_Starts);
  CPPUNIT_TEST(ShouldStart_WaitedLong_StartsIfGainIsPositive);
  CPPUNIT_TEST(PlaceStream_MixedLoad_YieldsMoreValueThanMinBacklog);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PlaceStream_NoEngine_ReturnsNullopt() {
    CPPUNIT_ASSERT(!PlaceStream(ShortStream(), {}));
  }

  void PlaceStream_AllSlotsInUse_ReturnsNullopt() {
    auto fleet = Engines(3);
    for (EngineCandidate& engine : fleet) AddStreams(engine, 16, 250);
    CPPUNIT_ASSERT(!PlaceStream(ShortStream(), fleet));
  }

  void PlaceStream_LongPrefillAtOneEngine_ShortStreamAvoidsIt() {
    auto fleet = Engines(2);
    fleet[0].load.backlog_ms = 1500;
    AddStreams(fleet[1], 6, 250);
    const auto plan = PlaceStream(ShortStream(), fleet);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->primary);
    CPPUNIT_ASSERT(plan->helpers.empty());
    CPPUNIT_ASSERT(plan->meets_objective);
  }

  void PlaceStream_LongPrefill_AvoidsEnginesDecodingShortStreams() {
    auto fleet = Engines(6);
    for (size_t i = 0; i < 4; ++i) AddStreams(fleet[i], 8, 250);
    const auto plan = PlaceStream(LongStream(), fleet);
    CPPUNIT_ASSERT(plan->primary >= 4);
    for (const size_t helper : plan->helpers) CPPUNIT_ASSERT(helper >= 4);
    CPPUNIT_ASSERT(plan->meets_objective);
  }

  void PlaceStream_AllEnginesDecoding_SplitsPrefillBelowMaxPause() {
    auto fleet = Engines(16);
    for (EngineCandidate& engine : fleet) AddStreams(engine, 8, 250);
    const auto plan = PlaceStream(LongStream(80000), fleet);
    CPPUNIT_ASSERT(plan->helpers.size() >= 9);
    const Millis iteration_ms =
        m_model.IterationDuration(8, fleet[0].load.context_tokens) +
        plan->prefill_shard_ms;
    CPPUNIT_ASSERT(iteration_ms <= 250);
  }

  void PlaceStream_PromptOverOneEnginesMemory_ReservesAtHelpers() {
    auto fleet = Engines(8);
    const auto plan = PlaceStream(LongStream(300000), fleet);
    CPPUNIT_ASSERT(plan->reserve_tokens > 0);
    const auto shards = static_cast<int64_t>(plan->helpers.size() + 1);
    CPPUNIT_ASSERT(plan->reserve_tokens * shards >= 300700);
    CPPUNIT_ASSERT(plan->reserve_tokens <= 200000);
  }

  void PlaceStream_PromptOverAllMemory_ReturnsNullopt() {
    auto fleet = Engines(2);
    CPPUNIT_ASSERT(!PlaceStream(LongStream(500000), fleet));
  }

  void PlaceStream_EngineFailsMostRequests_PrefersOthers() {
    auto fleet = Engines(2);
    fleet[0].success_rate = 0.4;
    AddStreams(fleet[1], 10, 250);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, PlaceStream(ShortStream(), fleet)->primary);
  }

  void PlaceStream_SlowEngine_PrefersOthers() {
    auto fleet = Engines(2);
    fleet[0].slowdown_factor = 5;
    AddStreams(fleet[0], 1, 250);
    AddStreams(fleet[1], 3, 250);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, PlaceStream(ShortStream(), fleet)->primary);
  }

  void PlaceStream_StreamsAlreadyLate_AvoidsCallerTimeouts() {
    // The streams of engine 0 are late, and more prefill would make their
    // callers time out; the stream of engine 1 only risks its objective.
    auto fleet = Engines(2);
    AddStreams(fleet[0], 12, 250);
    for (DecodingRequest& decoding : fleet[0].load.decoding_requests)
      decoding.missed_objective = true;
    fleet[0].load.backlog_ms = 1000;
    AddStreams(fleet[1], 1, 250);
    StreamRequirements request = LongStream();
    request.prompt_tokens = 100000;
    const auto plan = PlaceStream(request, fleet);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->primary);
    CPPUNIT_ASSERT(plan->helpers.empty());
  }

  void PlaceStream_IdleEngines_PacksShortStreams() {
    auto fleet = Engines(4);
    AddStreams(fleet[2], 4, 250);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, PlaceStream(ShortStream(), fleet)->primary);
  }

  // Each shard's prediction meets the objective, but the slowest overruns it.
  void PlaceStream_SplitPrefill_AllowsForSlowestShard() {
    const auto fleet = Engines(4);
    const auto plan = PlaceStream(LongStream(320000), fleet);
    CPPUNIT_ASSERT(!plan->helpers.empty());
    CPPUNIT_ASSERT(plan->uncontended_first_event_ms < 0.8 * 3000);
    CPPUNIT_ASSERT(!plan->meets_objective);
  }

  // Engines run the newest shard first, so a prompt whose shards wait there
  // would be delayed by each further one.
  void PlaceStream_EnginesWithPendingPrefill_GetNoShards() {
    auto fleet = Engines(6);
    for (size_t i = 0; i < 3; ++i) fleet[i].load.backlog_ms = 100;
    const auto plan = PlaceStream(LongStream(), fleet);
    CPPUNIT_ASSERT(plan->primary >= 3);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, plan->helpers.size());
    for (const size_t helper : plan->helpers) CPPUNIT_ASSERT(helper >= 3);
  }

  void PlaceStream_EngineNearlyFull_LeavesLastSlots() {
    auto fleet = Engines(2);
    AddStreams(fleet[0], 15, 250);
    AddStreams(fleet[1], 6, 250);
    const auto plan = PlaceStream(ShortStream(), fleet);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->primary);
  }

  // 24 entries each place one stream before they receive each other's reports;
  // 12 of 16 slots are in use where streams are packed.
  void PlaceStream_ConcurrentEntries_StayWithinSlots() {
    constexpr int kEntries = 24;
    auto fleet = Engines(40);
    for (size_t i = 0; i < 20; ++i) AddStreams(fleet[i], 12, 250);
    std::vector<int32_t> running;
    running.reserve(fleet.size());
    for (const EngineCandidate& engine : fleet) {
      running.push_back(engine.load.running);
    }
    std::mt19937 random(kSeed);
    std::uniform_real_distribution<double> draw(0, 1);
    for (int entry = 0; entry < kEntries; ++entry) {
      for (EngineCandidate& engine : fleet) engine.preference = draw(random);
      const auto plan = PlaceStream(ShortStream(), fleet);
      CPPUNIT_ASSERT(++running[plan->primary] <= TypicalSpeed().slots);
    }
  }

  void ShouldStart_LateWithLargeBacklog_Waits() {
    auto fleet = Engines(4);
    for (EngineCandidate& engine : fleet) engine.load.backlog_ms = 2000;
    const auto plan = PlaceStream(ShortStream(), fleet);
    CPPUNIT_ASSERT(plan && !plan->meets_objective);
    CPPUNIT_ASSERT(!ShouldStart(*plan, fleet));
  }

  void ShouldStart_LateWithoutBacklog_Starts() {
    auto fleet = Engines(4);
    StreamRequirements request = LongStream();
    request.objective_ms = 1;
    const auto plan = PlaceStream(request, fleet);
    CPPUNIT_ASSERT(plan && !plan->meets_objective);
    CPPUNIT_ASSERT(ShouldStart(*plan, fleet));
  }

  void ShouldStart_WaitedLong_StartsIfGainIsPositive() {
    auto fleet = Engines(4);
    for (size_t i = 1; i < 4; ++i) fleet[i].load.backlog_ms = 900;
    StreamRequirements request = ShortStream();
    request.objective_ms = 1;
    const auto plan = PlaceStream(request, fleet);
    CPPUNIT_ASSERT(plan && !plan->meets_objective);
    CPPUNIT_ASSERT(!ShouldStart(*plan, fleet));
    CPPUNIT_ASSERT(ShouldStart(*plan, fleet, /*has_waited_long=*/true));
  }

  /// The load mixes short streams with long prompts; only value on time counts.
  void PlaceStream_MixedLoad_YieldsMoreValueThanMinBacklog() {
    const double by_value = SimulateMixedLoad(/*use_min_backlog=*/false);
    const double by_backlog = SimulateMixedLoad(/*use_min_backlog=*/true);
    CPPUNIT_ASSERT(by_value > by_backlog + 0.05);
  }

 private:
  struct RunningStream {
    size_t engine = 0;
    double end_ms = 0;
    DecodingRequest decoding;
    double value = 0;
    bool missed_objective = false;
  };

  std::vector<EngineCandidate> Engines(size_t count) const {
    std::vector<EngineCandidate> fleet(count);
    for (size_t i = 0; i < count; ++i) {
      fleet[i].engine = std::to_string(i);
      fleet[i].model = &m_model;
      fleet[i].is_same_domain = true;
    }
    return fleet;
  }

  static void AddStreams(EngineCandidate& engine, int32_t count,
                         Millis max_pause) {
    constexpr int64_t kTokens = 6000;
    EngineLoad& load = engine.load;
    load.running += count;
    load.memory_tokens += count * kTokens;
    load.context_tokens += count * kTokens;
    for (int32_t i = 0; i < count; ++i) {
      DecodingRequest decoding;
      decoding.max_pause_ms = max_pause;
      decoding.caller_timeout_ms = 2000;
      decoding.value = 1.5;
      load.decoding_requests.push_back(decoding);
      load.predicted_ends.push_back(kNow + std::chrono::seconds(1));
    }
  }

  static StreamPlan PlanMinBacklog(const StreamRequirements& request,
                                   const std::vector<EngineCandidate>& fleet) {
    StreamPlan plan;
    for (size_t i = 1; i < fleet.size(); ++i) {
      const auto& best = fleet[plan.primary].load;
      const auto& load = fleet[i].load;
      if (std::make_pair(load.backlog_ms, load.running) <
          std::make_pair(best.backlog_ms, best.running)) {
        plan.primary = i;
      }
    }
    const EngineModel& model = *fleet[plan.primary].model;
    plan.prefill_shard_ms = model.PrefillDuration(request.prompt_tokens);
    plan.first_event_ms = fleet[plan.primary].load.backlog_ms +
                          plan.prefill_shard_ms +
                          model.IterationDuration(1, request.prompt_tokens);
    return plan;
  }

  /// Returns the fraction of value served on time by 16 engines in 8 s, with
  /// one request each 20 ms, of which every 20th has a long prompt.
  double SimulateMixedLoad(bool use_min_backlog) {
    constexpr double kStepMs = 20;
    constexpr double kEndMs = 8000;
    auto fleet = Engines(16);
    std::vector<RunningStream> running;
    double offered_value = 0;
    double served_value = 0;
    for (double now = 0; now < kEndMs; now += kStepMs) {
      for (EngineCandidate& engine : fleet) {
        engine.load.backlog_ms =
            std::max(0.0, engine.load.backlog_ms - kStepMs);
      }
      std::erase_if(running, [&](const RunningStream& stream) {
        if (stream.end_ms > now) return false;
        if (!stream.missed_objective) served_value += stream.value;
        return true;
      });
      UpdateLoads(running, fleet);
      const auto step = std::lround(now / kStepMs);
      const bool is_long = step % 20 == 0;
      StreamRequirements request = is_long ? LongStream() : ShortStream();
      offered_value += request.value;
      StreamPlan plan = use_min_backlog
                            ? PlanMinBacklog(request, fleet)
                            : PlaceStream(request, fleet)
                                  .value_or(PlanMinBacklog(request, fleet));
      StartStream(plan, request, now, fleet, running);
    }
    for (const RunningStream& stream : running) {
      if (!stream.missed_objective) served_value += stream.value;
    }
    return served_value / offered_value;
  }

  static void UpdateLoads(const std::vector<RunningStream>& running,
                          std::vector<EngineCandidate>& fleet) {
    for (EngineCandidate& engine : fleet) {
      const Millis backlog = engine.load.backlog_ms;
      engine.load = {};
      engine.load.backlog_ms = backlog;
    }
    for (const RunningStream& stream : running) {
      EngineLoad& load = fleet[stream.engine].load;
      ++load.running;
      load.memory_tokens += 6000;
      load.context_tokens += 6000;
      DecodingRequest decoding = stream.decoding;
      decoding.missed_objective = stream.missed_objective;
      load.decoding_requests.push_back(decoding);
    }
  }

  void StartStream(const StreamPlan& plan, const StreamRequirements& request,
                   double now, std::vector<EngineCandidate>& fleet,
                   std::vector<RunningStream>& running) const {
    std::vector<size_t> shards = plan.helpers;
    shards.push_back(plan.primary);
    for (const size_t index : shards) {
      fleet[index].load.backlog_ms += plan.prefill_shard_ms;
      const Millis pause =
          fleet[index].load.backlog_ms +
          m_model.IterationDuration(fleet[index].load.running,
                                    fleet[index].load.context_tokens);
      for (RunningStream& stream : running) {
        if (stream.engine == index && pause > stream.decoding.max_pause_ms) {
          stream.missed_objective = true;
        }
      }
    }
    RunningStream stream;
    stream.engine = plan.primary;
    stream.end_ms = now + plan.first_event_ms + 1500;
    stream.decoding = {request.max_pause_ms, 2000, false, request.value};
    stream.value = request.value;
    stream.missed_objective = plan.first_event_ms > request.objective_ms;
    running.push_back(stream);
  }

  EngineModel m_model{TypicalSpeed()};
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamPlacementTest);

class EngineModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineModelTest);
  CPPUNIT_TEST(PrefillDuration_LongerPrompt_GrowsFasterThanLength);
  CPPUNIT_TEST(MaxPrefillPerIteration_PromptOverOneIteration_IsPartial);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PrefillDuration_LongerPrompt_GrowsFasterThanLength() {
    const EngineModel model(TypicalSpeed());
    // 1e5 tokens at 200 per ms, and 1e5 * 1e5 / 2 pairs at 0.14 ms a million.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500 + 700, model.PrefillDuration(100000), 1);
    CPPUNIT_ASSERT(model.PrefillDuration(200000) >
                   2 * model.PrefillDuration(100000));
  }
  void MaxPrefillPerIteration_PromptOverOneIteration_IsPartial() {
    const EngineModel model(TypicalSpeed());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(model.PrefillDuration(20000),
                                 model.MaxPrefillPerIteration(20000), 1e-9);
    CPPUNIT_ASSERT(model.MaxPrefillPerIteration(200000) <
                   model.PrefillDuration(200000) / 2);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineModelTest);

}  // namespace
}  // namespace peridotshelf::scheduling
