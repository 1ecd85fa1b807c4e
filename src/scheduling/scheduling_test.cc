#include <rapidcheck.h>

#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/engine_health.h"
#include "peridotshelf/scheduling/request_queue.h"
#include "peridotshelf/scheduling/service_placement.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

class ActiveRequestTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ActiveRequestTableTest);
  CPPUNIT_TEST(ComputeLoad_LocalAndPeerRequests_AreSummed);
  CPPUNIT_TEST(ComputeLoad_PrefillShard_TakesNoSlot);
  CPPUNIT_TEST(ComputeLoad_PeerRequestPastItsEnd_IsLeftOut);
  CPPUNIT_TEST(ComputeLoad_PrefillsInTurn_IsTimeUntilTheLastEnds);
  CPPUNIT_TEST(ComputeLoad_ConcurrentPlacements_BacklogsAddUp);
  CPPUNIT_TEST(SetPeerRequests_NewList_ReplacesOldList);
  CPPUNIT_TEST(RemovePeer_PeerWithRequests_RemovesThem);
  CPPUNIT_TEST(Remove_LastRequest_LeavesNoEngine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ComputeLoad_LocalAndPeerRequests_AreSummed() {
    m_active_request_table.Put("e", MakeRequest(1, 300));
    m_active_request_table.SetPeerRequests(
        "p", "e", {MakeRequest(1, 700), MakeRequest(2, 100)});
    const EngineLoad load = m_active_request_table.ComputeLoad("e", kNow);
    CPPUNIT_ASSERT_EQUAL(3, load.running);
    CPPUNIT_ASSERT_EQUAL(int64_t{3000}, load.memory_tokens);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(700, load.backlog_ms, 1e-6);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, load.decoding_requests.size());
  }
  void ComputeLoad_PrefillShard_TakesNoSlot() {
    ActiveRequest shard = MakeRequest(1, 200);
    shard.is_prefill_shard = true;
    m_active_request_table.Put("e", shard);
    const EngineLoad load = m_active_request_table.ComputeLoad("e", kNow);
    CPPUNIT_ASSERT_EQUAL(0, load.running);
    CPPUNIT_ASSERT_EQUAL(1, load.prefill_shards);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, load.backlog_ms, 1e-6);
  }
  void ComputeLoad_PeerRequestPastItsEnd_IsLeftOut() {
    m_active_request_table.SetPeerRequests("p", "e", {MakeRequest(1, 100)});
    CPPUNIT_ASSERT_EQUAL(
        1, m_active_request_table.ComputeLoad("e", kNow + seconds(2)).running);
    CPPUNIT_ASSERT_EQUAL(
        0, m_active_request_table.ComputeLoad("e", kNow + seconds(9)).running);
  }
  void ComputeLoad_PrefillsInTurn_IsTimeUntilTheLastEnds() {
    m_active_request_table.Put("e", MakePrefill(1, 300, 300));
    m_active_request_table.Put("e", MakePrefill(2, 700, 400));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(700, BacklogAt(kNow), 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(600, BacklogAt(kNow + milliseconds(100)),
                                 1e-6);
  }
  // Two entries that did not know of each other's prompts.
  void ComputeLoad_ConcurrentPlacements_BacklogsAddUp() {
    m_active_request_table.Put("e", MakePrefill(1, 300, 300));
    m_active_request_table.SetPeerRequests("p", "e",
                                           {MakePrefill(1, 400, 400)});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(700, BacklogAt(kNow), 1e-6);
  }
  void SetPeerRequests_NewList_ReplacesOldList() {
    m_active_request_table.SetPeerRequests(
        "p", "e", {MakeRequest(1, 100), MakeRequest(2, 100)});
    m_active_request_table.SetPeerRequests("p", "e", {MakeRequest(3, 100)});
    CPPUNIT_ASSERT_EQUAL(1,
                         m_active_request_table.ComputeLoad("e", kNow).running);
  }
  void RemovePeer_PeerWithRequests_RemovesThem() {
    m_active_request_table.SetPeerRequests("p", "e", {MakeRequest(1, 100)});
    m_active_request_table.RemovePeer("p");
    CPPUNIT_ASSERT_EQUAL(0,
                         m_active_request_table.ComputeLoad("e", kNow).running);
  }
  void Remove_LastRequest_LeavesNoEngine() {
    m_active_request_table.Put("e", MakeRequest(1, 100));
    m_active_request_table.Remove("e", 1);
    CPPUNIT_ASSERT(m_active_request_table.EnginesWithLocalRequests().empty());
  }

 private:
  static ActiveRequest MakeRequest(uint64_t id, int prefill_left_ms) {
    ActiveRequest request;
    request.id = id;
    request.memory_tokens = 1000;
    request.prefill_end = kNow + milliseconds(prefill_left_ms);
    request.end = kNow + seconds(1);
    return request;
  }
  static ActiveRequest MakePrefill(uint64_t id, int left_ms, Millis own_ms) {
    ActiveRequest request = MakeRequest(id, left_ms);
    request.prefill_ms = own_ms;
    return request;
  }
  Millis BacklogAt(TimePoint now) const {
    return m_active_request_table.ComputeLoad("e", now).backlog_ms;
  }

  ActiveRequestTable m_active_request_table;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ActiveRequestTableTest);

class EngineHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineHealthTest);
  CPPUNIT_TEST(IsAvailable_RepeatedlyUnreachable_DoublesBackoff);
  CPPUNIT_TEST(IsAvailable_ConcurrentFailures_CountAsOne);
  CPPUNIT_TEST(IsAvailable_SuccessDuringBackoff_EndsIt);
  CPPUNIT_TEST(SuccessRate_AfterFailures_DropsAndRecovers);
  CPPUNIT_TEST(SlowdownFactor_SlowResponses_RisesAndDecays);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IsAvailable_RepeatedlyUnreachable_DoublesBackoff() {
    m_health.NoteUnreachable(kNow);
    CPPUNIT_ASSERT(!m_health.IsAvailable(kNow + milliseconds(300)));
    CPPUNIT_ASSERT(m_health.IsAvailable(kNow + milliseconds(500)));
    m_health.NoteUnreachable(kNow + milliseconds(500));
    CPPUNIT_ASSERT(!m_health.IsAvailable(kNow + milliseconds(1200)));
    CPPUNIT_ASSERT(m_health.IsAvailable(kNow + milliseconds(1400)));
  }
  void IsAvailable_ConcurrentFailures_CountAsOne() {
    for (int i = 0; i < 20; ++i) m_health.NoteUnreachable(kNow);
    CPPUNIT_ASSERT(m_health.IsAvailable(kNow + milliseconds(500)));
  }
  void IsAvailable_SuccessDuringBackoff_EndsIt() {
    m_health.NoteUnreachable(kNow);
    m_health.NoteSuccess(kNow + milliseconds(100));
    CPPUNIT_ASSERT(m_health.IsAvailable(kNow + milliseconds(100)));
  }
  void SuccessRate_AfterFailures_DropsAndRecovers() {
    for (int i = 0; i < 6; ++i) m_health.NoteFailure(kNow);
    CPPUNIT_ASSERT(m_health.SuccessRate(kNow) < 0.3);
    CPPUNIT_ASSERT(m_health.SuccessRate(kNow + seconds(10)) > 0.9);
  }
  void SlowdownFactor_SlowResponses_RisesAndDecays() {
    for (int i = 0; i < 6; ++i) m_health.NoteSlowdown(5, kNow);
    CPPUNIT_ASSERT(m_health.SlowdownFactor(kNow) > 3.5);
    CPPUNIT_ASSERT(m_health.SlowdownFactor(kNow + seconds(20)) < 1.1);
  }

 private:
  EngineHealth m_health;
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineHealthTest);

class RequestQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestQueueTest);
  CPPUNIT_TEST(SchedulingOrder_MixedRequests_PriorityThenOnTimeThenDensity);
  CPPUNIT_TEST(TakeExpired_OneTimedOut_RemovesOnlyIt);
  CPPUNIT_TEST(DecideQueueing_SlotFreeInTime_Queues);
  CPPUNIT_TEST(DecideQueueing_SlotFreeTooLate_RefusesWithSlotWait);
  CPPUNIT_TEST(DecideQueueing_NoEngine_Refuses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SchedulingOrder_MixedRequests_PriorityThenOnTimeThenDensity() {
    m_queue.Add(
        MakeQueuedRequest(1, /*priority=*/1, /*density=*/1, seconds(5)));
    m_queue.Add(MakeQueuedRequest(2, 1, 9, -seconds(1)));
    m_queue.Add(MakeQueuedRequest(3, 1, 3, seconds(5)));
    m_queue.Add(MakeQueuedRequest(4, 0, 0.1, -seconds(1)));
    const std::vector<uint64_t> expected = {4, 3, 1, 2};
    CPPUNIT_ASSERT(m_queue.SchedulingOrder(kNow) == expected);
  }
  void TakeExpired_OneTimedOut_RemovesOnlyIt() {
    QueuedRequest timed_out = MakeQueuedRequest(1, 1, 1, seconds(1));
    timed_out.latest_useful_start = kNow;
    m_queue.Add(timed_out);
    m_queue.Add(MakeQueuedRequest(2, 1, 1, seconds(1)));
    CPPUNIT_ASSERT(m_queue.TakeExpired(kNow) == std::vector<uint64_t>{1});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_queue.size());
  }
  void DecideQueueing_SlotFreeInTime_Queues() {
    const auto engines = FullEngines();
    CPPUNIT_ASSERT(
        DecideQueueing(engines, 0, milliseconds(600), kNow).should_queue);
  }
  void DecideQueueing_SlotFreeTooLate_RefusesWithSlotWait() {
    const auto engines = FullEngines();
    const auto decision = DecideQueueing(engines, 1, milliseconds(600), kNow);
    CPPUNIT_ASSERT(!decision.should_queue);
    CPPUNIT_ASSERT(decision.predicted_slot_wait == Duration(seconds(2)));
  }
  void DecideQueueing_NoEngine_Refuses() {
    CPPUNIT_ASSERT(!DecideQueueing({}, 0, seconds(1), kNow).should_queue);
  }

 private:
  static QueuedRequest MakeQueuedRequest(uint64_t id, int32_t priority,
                                         double density, Duration on_time_for) {
    QueuedRequest request;
    request.id = id;
    request.priority = priority;
    request.value_density = density;
    request.arrived = kNow;
    request.latest_on_time_start = kNow + on_time_for;
    request.latest_useful_start = kNow + seconds(9);
    return request;
  }
  /// Returns one engine with two slots, which become free in 0.5 and 2 s.
  std::vector<EngineCandidate> FullEngines() const {
    EngineCandidate engine;
    engine.model = &m_model;
    engine.load.running = 2;
    engine.load.predicted_ends = {kNow + milliseconds(500), kNow + seconds(2)};
    return {engine};
  }
  static routing::EngineSpeed TwoSlots() {
    routing::EngineSpeed speed;
    speed.slots = 2;
    return speed;
  }

  EngineModel m_model{TwoSlots()};
  RequestQueue m_queue;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestQueueTest);

class ServicePlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServicePlacementTest);
  CPPUNIT_TEST(PlaceCall_BusyAndIdle_PrefersIdle);
  CPPUNIT_TEST(PlaceCall_FailingServer_PrefersOthers);
  CPPUNIT_TEST(PlaceCall_NoServer_ReturnsNullopt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PlaceCall_BusyAndIdle_PrefersIdle() {
    const std::vector<ServiceCandidate> servers = {{6, 6, 20, 1, true},
                                                   {0, 6, 20, 1, false}};
    CPPUNIT_ASSERT_EQUAL(size_t{1}, PlaceCall(servers).value());
  }
  void PlaceCall_FailingServer_PrefersOthers() {
    const std::vector<ServiceCandidate> servers = {{0, 6, 20, 0.5, true},
                                                   {3, 6, 20, 1, false}};
    CPPUNIT_ASSERT_EQUAL(size_t{1}, PlaceCall(servers).value());
  }
  void PlaceCall_NoServer_ReturnsNullopt() { CPPUNIT_ASSERT(!PlaceCall({})); }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ServicePlacementTest);

}  // namespace
}  // namespace peridotshelf::scheduling
