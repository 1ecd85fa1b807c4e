#include "side/admission.h"

#include <chrono>
#include <memory>

#include "peridotshelf/testing/test.h"
#include "peridotshelf/wire/codec.h"

namespace peridotshelf::side {
namespace {

using std::chrono::seconds;

constexpr int64_t kEpoch = 3;

control::EngineConfig MakeEngine(int64_t memory_tokens) {
  control::EngineConfig engine;
  engine.id = EngineId("e");
  engine.model = "m";
  engine.memory_tokens = memory_tokens;
  engine.slots = 4;
  return engine;
}

class SideAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SideAdmissionTest);
  CPPUNIT_TEST(Reserve_BeforeRebuild_IsRefusedAsNotReady);
  CPPUNIT_TEST(Reserve_FreeEngine_IsGrantedWithLoadAndEpoch);
  CPPUNIT_TEST(Reserve_FullEngine_IsQueuedThenGrantedByTick);
  CPPUNIT_TEST(Reserve_WhileRunning_IsFailedNotRefused);
  CPPUNIT_TEST(Tick_UnresponsiveEntry_RequestsCancel);
  CPPUNIT_TEST(ApplyState_PresetAndCapacity_TakeEffect);
  CPPUNIT_TEST_SUITE_END();

  ManualClock m_clock;
  const ProcessId m_entry{"entry"};
  Admission m_admission{MakeEngine(100'000), kEpoch, seconds(3)};

  wire::Frame Reserve(int32_t number, int64_t prompt_tokens) {
    wire::Reserve reserve;
    reserve.attempt = wire::ToWire({RequestId("r"), number});
    reserve.engine = "e";
    reserve.prompt_tokens = prompt_tokens;
    reserve.max_tokens = 10;
    reserve.remaining_ms = 60'000;
    return m_admission.Reserve(reserve, m_entry, m_clock.Now());
  }
  Result<void> Commit(int32_t number) {
    return m_admission.Commit({RequestId("r"), number}, kEpoch, m_clock.Now());
  }

 public:
  void setUp() override { m_admission.Rebuild({}, m_clock.Now()); }

  void Reserve_BeforeRebuild_IsRefusedAsNotReady() {
    Admission admission(MakeEngine(1000), kEpoch, seconds(3));
    wire::Reserve reserve;
    reserve.attempt = wire::ToWire({RequestId("r"), 1});
    const wire::Frame frame =
        admission.Reserve(reserve, m_entry, m_clock.Now());
    CPPUNIT_ASSERT(frame.__isset.refused);
    CPPUNIT_ASSERT(frame.refused.code == "not_ready");
  }
  void Reserve_FreeEngine_IsGrantedWithLoadAndEpoch() {
    const wire::Frame frame = Reserve(1, 990);
    CPPUNIT_ASSERT(frame.__isset.granted);
    CPPUNIT_ASSERT(frame.granted.epoch == kEpoch);
    CPPUNIT_ASSERT(frame.granted.load.engine == "e");
    CPPUNIT_ASSERT(frame.granted.load.free_tokens == 99'000);
    CPPUNIT_ASSERT(frame.granted.load.free_slots == 3);
  }
  void Reserve_FullEngine_IsQueuedThenGrantedByTick() {
    Reserve(1, 90'000);
    CPPUNIT_ASSERT(Commit(1).has_value());
    const wire::Frame frame = Reserve(2, 50'000);
    CPPUNIT_ASSERT(frame.__isset.queued);
    CPPUNIT_ASSERT(frame.queued.load.queued == 1);
    CPPUNIT_ASSERT(m_admission.Tick(m_clock.Now()).frames.empty());
    m_admission.Release({RequestId("r"), 1}, m_clock.Now());
    const AdmissionTick tick = m_admission.Tick(m_clock.Now());
    CPPUNIT_ASSERT(tick.frames.at(0).second.__isset.granted);
    CPPUNIT_ASSERT(tick.frames.at(0).first.number == 2);
  }
  void Reserve_WhileRunning_IsFailedNotRefused() {
    Reserve(1, 1000);
    CPPUNIT_ASSERT(Commit(1).has_value());
    const wire::Frame frame = Reserve(1, 1000);
    CPPUNIT_ASSERT(frame.__isset.failed && !frame.failed.not_run);
    CPPUNIT_ASSERT(!frame.__isset.refused);
  }
  void Tick_UnresponsiveEntry_RequestsCancel() {
    Reserve(1, 1000);
    CPPUNIT_ASSERT(Commit(1).has_value());
    m_clock.Advance(seconds(2));
    m_admission.Extend(m_entry, m_clock.Now());
    m_clock.Advance(seconds(2));
    CPPUNIT_ASSERT(m_admission.Tick(m_clock.Now()).cancels.empty());
    m_clock.Advance(seconds(1));
    CPPUNIT_ASSERT(m_admission.Tick(m_clock.Now()).cancels.size() == 1);
  }
  void ApplyState_PresetAndCapacity_TakeEffect() {
    auto configuration = std::make_shared<control::Configuration>();
    configuration->engines.push_back(MakeEngine(50'000));
    configuration->presets.resize(2);
    configuration->presets[0].name = "ordinary";
    configuration->presets[1].name = "peak";
    configuration->presets[1].short_reserve = 0.9;
    control::ControlState state;
    state.configuration = configuration;
    state.preset = "peak";
    m_admission.ApplyState(state);
    CPPUNIT_ASSERT(m_admission.Load().free_tokens == 50'000);
    CPPUNIT_ASSERT(Reserve(1, 10'000).__isset.granted);
    // A second medium request does not fit beside the preset's reserve for
    // short requests.
    CPPUNIT_ASSERT(Reserve(2, 10'000).__isset.queued);
    CPPUNIT_ASSERT(Reserve(3, 1'000).__isset.granted);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SideAdmissionTest);

}  // namespace
}  // namespace peridotshelf::side
