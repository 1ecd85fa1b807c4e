#include "peridotshelf/scheduling/stream_placement.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

constexpr uint32_t kSeed = 20261204;
constexpr TimePoint kNow{std::chrono::hours(1)};

/// An engine of usual speed: 200 tokens read a ms, 43 steps a pass.
routing::EngineSpeed UsualSpeed() {
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
  StreamRequirements needs;
  needs.prompt_tokens = 5000;
  needs.output_tokens = 1300;
  needs.objective_ms = 300;
  needs.max_pause_ms = 250;
  needs.value = 1.5;
  return needs;
}

StreamRequirements LongStream(int64_t tokens = 130000) {
  StreamRequirements needs;
  needs.prompt_tokens = tokens;
  needs.output_tokens = 700;
  needs.objective_ms = 3000;
  needs.max_pause_ms = 1000;
  needs.value = 14;
  return needs;
}

class StreamPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamPlacementTest);
  CPPUNIT_TEST(PlaceStream_NoEngine_ReturnsNothing);
  CPPUNIT_TEST(PlaceStream_AllPlacesTaken_ReturnsNothing);
  CPPUNIT_TEST(PlaceStream_ShortBesideLongReading_AvoidsThatEngine);
  CPPUNIT_TEST(PlaceStream_LongReading_AvoidsEnginesThatWriteShortStreams);
  CPPUNIT_TEST(PlaceStream_WritersEverywhere_SplitsReadingBelowTheirPause);
  CPPUNIT_TEST(PlaceStream_PromptOverOneEnginesMemory_ReservesAtHelpers);
  CPPUNIT_TEST(PlaceStream_PromptOverAllMemory_ReturnsNothing);
  CPPUNIT_TEST(PlaceStream_EngineFailsMost_PrefersOthers);
  CPPUNIT_TEST(PlaceStream_SlowEngine_PrefersOthers);
  CPPUNIT_TEST(PlaceStream_StreamsAlreadyLate_StillSparesTheirPatience);
  CPPUNIT_TEST(PlaceStream_CalmEngines_KeepsShortStreamsTogether);
  CPPUNIT_TEST(PlaceStream_SplitReading_AllowsForItsSlowestPart);
  CPPUNIT_TEST(PlaceStream_EngineNearlyFull_LeavesItsLastPlaces);
  CPPUNIT_TEST(PlaceStream_EntriesChooseTogether_KeepWithinPlaces);
  CPPUNIT_TEST(ShouldStart_LateWhileFleetIsBehind_Waits);
  CPPUNIT_TEST(ShouldStart_LateWhileFleetIsCalm_Starts);
  CPPUNIT_TEST(ShouldStart_WaitedLong_StartsWhereItHarmsNobody);
  CPPUNIT_TEST(PlaceStream_MixedLoad_KeepsMorePausesThanLeastBacklog);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PlaceStream_NoEngine_ReturnsNothing() {
    CPPUNIT_ASSERT(!PlaceStream(ShortStream(), {}));
  }

  void PlaceStream_AllPlacesTaken_ReturnsNothing() {
    auto engines = Engines(3);
    for (EngineCandidate& engine : engines) AddWriters(engine, 16, 250);
    CPPUNIT_ASSERT(!PlaceStream(ShortStream(), engines));
  }

  void PlaceStream_ShortBesideLongReading_AvoidsThatEngine() {
    auto engines = Engines(2);
    engines[0].load.backlog_ms = 1500;
    AddWriters(engines[1], 6, 250);
    const auto plan = PlaceStream(ShortStream(), engines);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->first);
    CPPUNIT_ASSERT(plan->helpers.empty());
    CPPUNIT_ASSERT(plan->meets_objective);
  }

  void PlaceStream_LongReading_AvoidsEnginesThatWriteShortStreams() {
    auto engines = Engines(6);
    for (size_t i = 0; i < 4; ++i) AddWriters(engines[i], 8, 250);
    const auto plan = PlaceStream(LongStream(), engines);
    CPPUNIT_ASSERT(plan->first >= 4);
    for (const size_t helper : plan->helpers) CPPUNIT_ASSERT(helper >= 4);
    CPPUNIT_ASSERT(plan->meets_objective);
  }

  void PlaceStream_WritersEverywhere_SplitsReadingBelowTheirPause() {
    auto engines = Engines(16);
    for (EngineCandidate& engine : engines) AddWriters(engine, 8, 250);
    const auto plan = PlaceStream(LongStream(80000), engines);
    CPPUNIT_ASSERT(plan->helpers.size() >= 9);
    const Millis pass =
        m_model.IterationDuration(8, engines[0].load.context_tokens) +
        plan->prefill_shard_ms;
    CPPUNIT_ASSERT(pass <= 250);
  }

  void PlaceStream_PromptOverOneEnginesMemory_ReservesAtHelpers() {
    auto engines = Engines(8);
    const auto plan = PlaceStream(LongStream(300000), engines);
    CPPUNIT_ASSERT(plan->reserve_tokens > 0);
    const auto parts = static_cast<int64_t>(plan->helpers.size() + 1);
    CPPUNIT_ASSERT(plan->reserve_tokens * parts >= 300700);
    CPPUNIT_ASSERT(plan->reserve_tokens <= 200000);
  }

  void PlaceStream_PromptOverAllMemory_ReturnsNothing() {
    auto engines = Engines(2);
    CPPUNIT_ASSERT(!PlaceStream(LongStream(500000), engines));
  }

  void PlaceStream_EngineFailsMost_PrefersOthers() {
    auto engines = Engines(2);
    engines[0].success_rate = 0.4;
    AddWriters(engines[1], 10, 250);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, PlaceStream(ShortStream(), engines)->first);
  }

  void PlaceStream_SlowEngine_PrefersOthers() {
    auto engines = Engines(2);
    engines[0].slowdown_factor = 5;
    AddWriters(engines[0], 1, 250);
    AddWriters(engines[1], 3, 250);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, PlaceStream(ShortStream(), engines)->first);
  }

  void PlaceStream_StreamsAlreadyLate_StillSparesTheirPatience() {
    // The first engine's streams are late, and more reading would make their
    // callers give up; the second one's have nothing to lose yet.
    auto engines = Engines(2);
    AddWriters(engines[0], 12, 250);
    for (DecodingRequest& writer : engines[0].load.decoding_requests)
      writer.is_late = true;
    engines[0].load.backlog_ms = 1000;
    AddWriters(engines[1], 1, 250);
    StreamRequirements needs = LongStream();
    needs.prompt_tokens = 100000;
    const auto plan = PlaceStream(needs, engines);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->first);
    CPPUNIT_ASSERT(plan->helpers.empty());
  }

  void PlaceStream_CalmEngines_KeepsShortStreamsTogether() {
    auto engines = Engines(4);
    AddWriters(engines[2], 4, 250);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, PlaceStream(ShortStream(), engines)->first);
  }

  // The parts alone would be read just in time, and none of many ever is.
  void PlaceStream_SplitReading_AllowsForItsSlowestPart() {
    auto engines = Engines(4);
    for (EngineCandidate& engine : engines) engine.load.backlog_ms = 2000;
    const auto plan = PlaceStream(LongStream(190000), engines);
    CPPUNIT_ASSERT(!plan->helpers.empty());
    CPPUNIT_ASSERT(!plan->meets_objective);
  }

  void PlaceStream_EngineNearlyFull_LeavesItsLastPlaces() {
    auto engines = Engines(2);
    AddWriters(engines[0], 15, 250);
    AddWriters(engines[1], 6, 250);
    const auto plan = PlaceStream(ShortStream(), engines);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->first);
  }

  // The load: 24 entries that each place one stream before any hears of the
  // others; the engines that streams are kept together at have 12 of 16 places
  // taken.
  void PlaceStream_EntriesChooseTogether_KeepWithinPlaces() {
    constexpr int kEntries = 24;
    auto engines = Engines(40);
    for (size_t i = 0; i < 20; ++i) AddWriters(engines[i], 12, 250);
    std::vector<int32_t> running;
    running.reserve(engines.size());
    for (const EngineCandidate& engine : engines) {
      running.push_back(engine.load.running);
    }
    std::mt19937 random(kSeed);
    std::uniform_real_distribution<double> draw(0, 1);
    for (int entry = 0; entry < kEntries; ++entry) {
      for (EngineCandidate& engine : engines) engine.preference = draw(random);
      const auto plan = PlaceStream(ShortStream(), engines);
      CPPUNIT_ASSERT(++running[plan->first] <= UsualSpeed().slots);
    }
  }

  void ShouldStart_LateWhileFleetIsBehind_Waits() {
    auto engines = Engines(4);
    for (EngineCandidate& engine : engines) engine.load.backlog_ms = 2000;
    const auto plan = PlaceStream(ShortStream(), engines);
    CPPUNIT_ASSERT(plan && !plan->meets_objective);
    CPPUNIT_ASSERT(!ShouldStart(*plan, engines));
  }

  void ShouldStart_LateWhileFleetIsCalm_Starts() {
    auto engines = Engines(4);
    StreamRequirements needs = LongStream();
    needs.objective_ms = 1;
    const auto plan = PlaceStream(needs, engines);
    CPPUNIT_ASSERT(plan && !plan->meets_objective);
    CPPUNIT_ASSERT(ShouldStart(*plan, engines));
  }

  void ShouldStart_WaitedLong_StartsWhereItHarmsNobody() {
    auto engines = Engines(4);
    for (size_t i = 1; i < 4; ++i) engines[i].load.backlog_ms = 900;
    StreamRequirements needs = ShortStream();
    needs.objective_ms = 1;
    const auto plan = PlaceStream(needs, engines);
    CPPUNIT_ASSERT(plan && !plan->meets_objective);
    CPPUNIT_ASSERT(!ShouldStart(*plan, engines));
    CPPUNIT_ASSERT(ShouldStart(*plan, engines, /*has_waited_long=*/true));
  }

  /// Short streams at a steady rate beside long prompts: what callers get, in
  /// value on time, against the engine with the least to read.
  void PlaceStream_MixedLoad_KeepsMorePausesThanLeastBacklog() {
    const double by_value = PlayMixedLoad(/*least_backlog=*/false);
    const double by_backlog = PlayMixedLoad(/*least_backlog=*/true);
    CPPUNIT_ASSERT(by_value > by_backlog + 0.05);
  }

 private:
  struct Running {
    size_t engine = 0;
    double ends_ms = 0;
    DecodingRequest writer;
    double value = 0;
    bool is_late = false;
  };

  std::vector<EngineCandidate> Engines(size_t count) const {
    std::vector<EngineCandidate> engines(count);
    for (size_t i = 0; i < count; ++i) {
      engines[i].engine = std::to_string(i);
      engines[i].model = &m_model;
      engines[i].is_same_domain = true;
    }
    return engines;
  }

  static void AddWriters(EngineCandidate& engine, int32_t count,
                         Millis max_pause) {
    constexpr int64_t kTokens = 6000;
    EngineLoad& load = engine.load;
    load.running += count;
    load.memory_tokens += count * kTokens;
    load.context_tokens += count * kTokens;
    for (int32_t i = 0; i < count; ++i) {
      DecodingRequest writer;
      writer.max_pause_ms = max_pause;
      writer.patience_ms = 2000;
      writer.value = 1.5;
      load.decoding_requests.push_back(writer);
      load.ends.push_back(kNow + std::chrono::seconds(1));
    }
  }

  static StreamPlan LeastBacklog(const StreamRequirements& needs,
                                 const std::vector<EngineCandidate>& engines) {
    StreamPlan plan;
    for (size_t i = 1; i < engines.size(); ++i) {
      const auto& best = engines[plan.first].load;
      const auto& load = engines[i].load;
      if (std::make_pair(load.backlog_ms, load.running) <
          std::make_pair(best.backlog_ms, best.running)) {
        plan.first = i;
      }
    }
    const EngineModel& model = *engines[plan.first].model;
    plan.prefill_shard_ms = model.PrefillDuration(needs.prompt_tokens);
    plan.first_event_ms = engines[plan.first].load.backlog_ms +
                          plan.prefill_shard_ms +
                          model.IterationDuration(1, needs.prompt_tokens);
    return plan;
  }

  /// The share of value that is on time: 5 short streams each 100 ms and one
  /// long prompt each 400 ms, for 8 s, at 16 engines.
  double PlayMixedLoad(bool least_backlog) {
    constexpr double kStepMs = 20;
    constexpr double kEndMs = 8000;
    auto engines = Engines(16);
    std::vector<Running> running;
    double owed = 0;
    double earned = 0;
    for (double now = 0; now < kEndMs; now += kStepMs) {
      for (EngineCandidate& engine : engines) {
        engine.load.backlog_ms =
            std::max(0.0, engine.load.backlog_ms - kStepMs);
      }
      std::erase_if(running, [&](const Running& stream) {
        if (stream.ends_ms > now) return false;
        if (!stream.is_late) earned += stream.value;
        return true;
      });
      Describe(running, engines);
      const auto step = std::lround(now / kStepMs);
      const bool is_long = step % 20 == 0;
      StreamRequirements needs = is_long ? LongStream() : ShortStream();
      owed += needs.value;
      StreamPlan plan = least_backlog
                            ? LeastBacklog(needs, engines)
                            : PlaceStream(needs, engines)
                                  .value_or(LeastBacklog(needs, engines));
      Begin(plan, needs, now, engines, running);
    }
    for (const Running& stream : running) {
      if (!stream.is_late) earned += stream.value;
    }
    return earned / owed;
  }

  static void Describe(const std::vector<Running>& running,
                       std::vector<EngineCandidate>& engines) {
    for (EngineCandidate& engine : engines) {
      const Millis backlog = engine.load.backlog_ms;
      engine.load = {};
      engine.load.backlog_ms = backlog;
    }
    for (const Running& stream : running) {
      EngineLoad& load = engines[stream.engine].load;
      ++load.running;
      load.memory_tokens += 6000;
      load.context_tokens += 6000;
      DecodingRequest writer = stream.writer;
      writer.is_late = stream.is_late;
      load.decoding_requests.push_back(writer);
    }
  }

  void Begin(const StreamPlan& plan, const StreamRequirements& needs,
             double now, std::vector<EngineCandidate>& engines,
             std::vector<Running>& running) const {
    std::vector<size_t> parts = plan.helpers;
    parts.push_back(plan.first);
    for (const size_t index : parts) {
      engines[index].load.backlog_ms += plan.prefill_shard_ms;
      const Millis pause =
          engines[index].load.backlog_ms +
          m_model.IterationDuration(engines[index].load.running,
                                    engines[index].load.context_tokens);
      for (Running& stream : running) {
        if (stream.engine == index && pause > stream.writer.max_pause_ms) {
          stream.is_late = true;
        }
      }
    }
    Running stream;
    stream.engine = plan.first;
    stream.ends_ms = now + plan.first_event_ms + 1500;
    stream.writer = {needs.max_pause_ms, 2000, false, needs.value};
    stream.value = needs.value;
    stream.is_late = plan.first_event_ms > needs.objective_ms;
    running.push_back(stream);
  }

  EngineModel m_model{UsualSpeed()};
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamPlacementTest);

class EngineModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineModelTest);
  CPPUNIT_TEST(ReadTime_LongerPrompt_GrowsFasterThanItsLength);
  CPPUNIT_TEST(MaxReadPerPass_PromptOverOnePass_IsAPart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadTime_LongerPrompt_GrowsFasterThanItsLength() {
    const EngineModel model(UsualSpeed());
    // 100 tokens a half ms, and 1e5 * 1e5 / 2 pairs at 0.14 ms a million.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500 + 700, model.PrefillDuration(100000), 1);
    CPPUNIT_ASSERT(model.PrefillDuration(200000) >
                   2 * model.PrefillDuration(100000));
  }
  void MaxReadPerPass_PromptOverOnePass_IsAPart() {
    const EngineModel model(UsualSpeed());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(model.PrefillDuration(20000),
                                 model.MaxPrefillPerIteration(20000), 1e-9);
    CPPUNIT_ASSERT(model.MaxPrefillPerIteration(200000) <
                   model.PrefillDuration(200000) / 2);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineModelTest);

}  // namespace
}  // namespace peridotshelf::scheduling
