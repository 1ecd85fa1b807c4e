#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/stream_placement.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::milliseconds;

/// Engines that do work which no entry knows of, such as the prompts of entries
/// that lost power, or that have stalled.
class OverdueEnginesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverdueEnginesTest);
  CPPUNIT_TEST(ComputeLoad_FirstEventOfPeerOverdue_TellsForHowLong);
  CPPUNIT_TEST(ComputeLoad_FirstEventSlightlyLate_IsNotOverdue);
  CPPUNIT_TEST(ComputeLoad_LongPrefillLate_AllowsForItsLength);
  CPPUNIT_TEST(ComputeLoad_FirstEventArrived_IsNotOverdue);
  CPPUNIT_TEST(PlaceStream_EngineOverdue_UsesAnother);
  CPPUNIT_TEST(PlaceStream_AllOverdue_UsesTheOneThatIsLeast);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against each entry finding a stalled engine with requests of its
  // own.
  void ComputeLoad_FirstEventOfPeerOverdue_TellsForHowLong() {
    m_table.SetPeerRequests("peer", "engine", {MakeRequest(milliseconds(900))});
    CPPUNIT_ASSERT_EQUAL(900.0, Overdue());
  }

  void ComputeLoad_FirstEventSlightlyLate_IsNotOverdue() {
    m_table.Put("engine", MakeRequest(milliseconds(200)));
    CPPUNIT_ASSERT_EQUAL(0.0, Overdue());
  }

  void ComputeLoad_LongPrefillLate_AllowsForItsLength() {
    ActiveRequest request = MakeRequest(milliseconds(900));
    request.prefill_ms = 2000;
    m_table.Put("engine", request);
    CPPUNIT_ASSERT_EQUAL(0.0, Overdue());
  }

  void ComputeLoad_FirstEventArrived_IsNotOverdue() {
    ActiveRequest request = MakeRequest(milliseconds(900));
    request.is_prefilling = false;
    m_table.Put("engine", request);
    CPPUNIT_ASSERT_EQUAL(0.0, Overdue());
  }

  void PlaceStream_EngineOverdue_UsesAnother() {
    auto engines = MakeEngines(2);
    engines[0].load.overdue_ms = 600;
    // All else speaks for the first engine.
    engines[1].preference = 1;
    engines[1].load.running = 4;
    const auto plan = PlaceStream(MakeStream(), engines);
    CPPUNIT_ASSERT(plan.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->primary);
    CPPUNIT_ASSERT(plan->helpers.empty());
  }

  // Guards against requests that wait although no engine is any better.
  void PlaceStream_AllOverdue_UsesTheOneThatIsLeast() {
    auto engines = MakeEngines(2);
    engines[0].load.overdue_ms = 900;
    engines[1].load.overdue_ms = 300;
    const auto plan = PlaceStream(MakeStream(), engines);
    CPPUNIT_ASSERT(plan.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->primary);
  }

 private:
  static constexpr TimePoint kNow{std::chrono::hours(1)};

  static ActiveRequest MakeRequest(Duration overdue) {
    ActiveRequest request;
    request.id = 1;
    request.prefill_ms = 20;
    request.first_event_at = kNow - overdue;
    request.end = kNow + std::chrono::seconds(2);
    return request;
  }
  static StreamRequirements MakeStream() {
    StreamRequirements stream;
    stream.prompt_tokens = 5000;
    stream.output_tokens = 400;
    stream.objective_ms = 300;
    stream.max_pause_ms = 200;
    return stream;
  }
  std::vector<EngineCandidate> MakeEngines(size_t count) const {
    std::vector<EngineCandidate> engines(count);
    for (EngineCandidate& engine : engines) engine.model = &m_model;
    return engines;
  }
  Millis Overdue() const {
    return m_table.ComputeLoad("engine", kNow).overdue_ms;
  }
  static routing::EngineSpeed MakeSpeed() {
    routing::EngineSpeed speed;
    speed.slots = 12;
    speed.memory_tokens = 200000;
    speed.step_ms = 1;
    speed.prefill_tokens_per_ms = 200;
    speed.prefill_tokens_per_step = 2048;
    speed.steps_per_iteration = 50;
    return speed;
  }

  ActiveRequestTable m_table;
  EngineModel m_model{MakeSpeed()};
};
CPPUNIT_TEST_SUITE_REGISTRATION(OverdueEnginesTest);

}  // namespace
}  // namespace peridotshelf::scheduling
