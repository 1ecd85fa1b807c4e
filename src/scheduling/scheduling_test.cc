#include <rapidcheck.h>

#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/engine_health.h"
#include "peridotshelf/scheduling/request_queue.h"
#include "peridotshelf/scheduling/service_placement.h"
#include "peridotshelf/scheduling/sliding_window_retry_budget.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

class LoadBoardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadBoardTest);
  CPPUNIT_TEST(LoadOf_OwnAndPeersWork_AddsUp);
  CPPUNIT_TEST(LoadOf_PartOfReading_TakesNoPlace);
  CPPUNIT_TEST(LoadOf_PeerWorkPastItsEnd_IsLeftOut);
  CPPUNIT_TEST(SetPeer_NewerList_ReplacesTheOlder);
  CPPUNIT_TEST(DropPeer_PeerWithWork_ForgetsIt);
  CPPUNIT_TEST(Remove_LastWork_LeavesTheEngineEmpty);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LoadOf_OwnAndPeersWork_AddsUp() {
    m_active_request_table.Put("e", MakeWork(1, 300));
    m_active_request_table.SetPeerRequests(
        "p", "e", {MakeWork(1, 700), MakeWork(2, 100)});
    const EngineLoad load = m_active_request_table.ComputeLoad("e", kNow);
    CPPUNIT_ASSERT_EQUAL(3, load.running);
    CPPUNIT_ASSERT_EQUAL(int64_t{3000}, load.memory_tokens);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(700, load.backlog_ms, 1e-6);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, load.decoding_requests.size());
  }
  void LoadOf_PartOfReading_TakesNoPlace() {
    ActiveRequest part = MakeWork(1, 200);
    part.is_part = true;
    m_active_request_table.Put("e", part);
    const EngineLoad load = m_active_request_table.ComputeLoad("e", kNow);
    CPPUNIT_ASSERT_EQUAL(0, load.running);
    CPPUNIT_ASSERT_EQUAL(1, load.parts);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, load.backlog_ms, 1e-6);
  }
  void LoadOf_PeerWorkPastItsEnd_IsLeftOut() {
    m_active_request_table.SetPeerRequests("p", "e", {MakeWork(1, 100)});
    CPPUNIT_ASSERT_EQUAL(
        1, m_active_request_table.ComputeLoad("e", kNow + seconds(2)).running);
    CPPUNIT_ASSERT_EQUAL(
        0, m_active_request_table.ComputeLoad("e", kNow + seconds(9)).running);
  }
  void SetPeer_NewerList_ReplacesTheOlder() {
    m_active_request_table.SetPeerRequests(
        "p", "e", {MakeWork(1, 100), MakeWork(2, 100)});
    m_active_request_table.SetPeerRequests("p", "e", {MakeWork(3, 100)});
    CPPUNIT_ASSERT_EQUAL(1,
                         m_active_request_table.ComputeLoad("e", kNow).running);
  }
  void DropPeer_PeerWithWork_ForgetsIt() {
    m_active_request_table.SetPeerRequests("p", "e", {MakeWork(1, 100)});
    m_active_request_table.RemovePeer("p");
    CPPUNIT_ASSERT_EQUAL(0,
                         m_active_request_table.ComputeLoad("e", kNow).running);
  }
  void Remove_LastWork_LeavesTheEngineEmpty() {
    m_active_request_table.Put("e", MakeWork(1, 100));
    m_active_request_table.Remove("e", 1);
    CPPUNIT_ASSERT(m_active_request_table.EnginesWithLocalRequests().empty());
  }

 private:
  static ActiveRequest MakeWork(uint64_t id, int read_left_ms) {
    ActiveRequest work;
    work.id = id;
    work.memory_tokens = 1000;
    work.prefill_end = kNow + milliseconds(read_left_ms);
    work.end = kNow + seconds(1);
    return work;
  }

  ActiveRequestTable m_active_request_table;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoadBoardTest);

class EngineHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineHealthTest);
  CPPUNIT_TEST(MayTry_Unreachable_PausesLongerEachTime);
  CPPUNIT_TEST(MayTry_ManyFailuresAtOnce_CountAsOne);
  CPPUNIT_TEST(MayTry_SuccessAfterPause_EndsIt);
  CPPUNIT_TEST(SuccessRate_AfterFailures_FallsAndRecoversWithTime);
  CPPUNIT_TEST(Pace_SlowAnswers_RisesAndFades);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MayTry_Unreachable_PausesLongerEachTime() {
    m_health.NoteUnreachable(kNow);
    CPPUNIT_ASSERT(!m_health.IsAvailable(kNow + milliseconds(300)));
    CPPUNIT_ASSERT(m_health.IsAvailable(kNow + milliseconds(500)));
    m_health.NoteUnreachable(kNow + milliseconds(500));
    CPPUNIT_ASSERT(!m_health.IsAvailable(kNow + milliseconds(1200)));
    CPPUNIT_ASSERT(m_health.IsAvailable(kNow + milliseconds(1400)));
  }
  void MayTry_ManyFailuresAtOnce_CountAsOne() {
    for (int i = 0; i < 20; ++i) m_health.NoteUnreachable(kNow);
    CPPUNIT_ASSERT(m_health.IsAvailable(kNow + milliseconds(500)));
  }
  void MayTry_SuccessAfterPause_EndsIt() {
    m_health.NoteUnreachable(kNow);
    m_health.NoteSuccess(kNow + milliseconds(100));
    CPPUNIT_ASSERT(m_health.IsAvailable(kNow + milliseconds(100)));
  }
  void SuccessRate_AfterFailures_FallsAndRecoversWithTime() {
    for (int i = 0; i < 6; ++i) m_health.NoteFailure(kNow);
    CPPUNIT_ASSERT(m_health.SuccessRate(kNow) < 0.3);
    CPPUNIT_ASSERT(m_health.SuccessRate(kNow + seconds(10)) > 0.9);
  }
  void Pace_SlowAnswers_RisesAndFades() {
    for (int i = 0; i < 6; ++i) m_health.NoteSlowdown(5, kNow);
    CPPUNIT_ASSERT(m_health.SlowdownFactor(kNow) > 3.5);
    CPPUNIT_ASSERT(m_health.SlowdownFactor(kNow + seconds(20)) < 1.1);
  }

 private:
  EngineHealth m_health;
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineHealthTest);

class RepeatBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepeatBudgetTest);
  CPPUNIT_TEST(TrySpend_AnyMixOfEntries_KeepsTheLimitInEachWindow);
  CPPUNIT_TEST(TrySpend_WindowPassed_AllowsAnew);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// However requests and repeats come at three entries, all repeats of a
  /// window stay within the common limit.
  void TrySpend_AnyMixOfEntries_KeepsTheLimitInEachWindow() {
    testing::CheckProperty("common limit", [] {
      const RetryLimits limits{0.2, 30, seconds(10)};
      std::vector<SlidingWindowRetryBudget> entries(
          3, SlidingWindowRetryBudget(limits));
      std::vector<std::pair<TimePoint, bool>> history;
      TimePoint now = kNow;
      const auto steps =
          *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 100));
      for (const int step : steps) {
        now += milliseconds(step);
        SlidingWindowRetryBudget& entry =
            entries[static_cast<size_t>(step) % 3];
        if (step % 5 < 2) {
          entry.NoteRequest(now);
          history.emplace_back(now, false);
        } else if (entry.TrySpend(now, 3)) {
          history.emplace_back(now, true);
        }
      }
      for (const auto& [end, unused] : history) {
        double requests = 0;
        double repeats = 0;
        for (const auto& [at, is_repeat] : history) {
          if (at > end || at < end - limits.window) continue;
          (is_repeat ? repeats : requests) += 1;
        }
        RC_ASSERT(repeats <= limits.ratio * requests + limits.slack);
      }
    });
  }
  void TrySpend_WindowPassed_AllowsAnew() {
    SlidingWindowRetryBudget budget({0, 2, seconds(10)});
    CPPUNIT_ASSERT(budget.TrySpend(kNow, 1));
    CPPUNIT_ASSERT(!budget.TrySpend(kNow, 1));
    CPPUNIT_ASSERT(budget.TrySpend(kNow + seconds(11), 1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RepeatBudgetTest);

class WaitQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitQueueTest);
  CPPUNIT_TEST(InOrder_MixedRequests_PriorityThenOnTimeThenDensity);
  CPPUNIT_TEST(TakeExpired_PatienceOver_TakesJustThose);
  CPPUNIT_TEST(DecideWait_PlaceFreeInTime_Waits);
  CPPUNIT_TEST(DecideWait_PlaceFreeTooLate_RefusesWithItsTime);
  CPPUNIT_TEST(DecideWait_NoEngine_Refuses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InOrder_MixedRequests_PriorityThenOnTimeThenDensity() {
    m_queue.Add(MakeWaiting(1, /*priority=*/1, /*density=*/1, seconds(5)));
    m_queue.Add(MakeWaiting(2, 1, 9, -seconds(1)));
    m_queue.Add(MakeWaiting(3, 1, 3, seconds(5)));
    m_queue.Add(MakeWaiting(4, 0, 0.1, -seconds(1)));
    const std::vector<uint64_t> expected = {4, 3, 1, 2};
    CPPUNIT_ASSERT(m_queue.SchedulingOrder(kNow) == expected);
  }
  void TakeExpired_PatienceOver_TakesJustThose() {
    QueuedRequest gone = MakeWaiting(1, 1, 1, seconds(1));
    gone.give_up_at = kNow;
    m_queue.Add(gone);
    m_queue.Add(MakeWaiting(2, 1, 1, seconds(1)));
    CPPUNIT_ASSERT(m_queue.TakeExpired(kNow) == std::vector<uint64_t>{1});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_queue.size());
  }
  void DecideWait_PlaceFreeInTime_Waits() {
    const auto engines = FullEngines();
    CPPUNIT_ASSERT(
        DecideQueueing(engines, 0, milliseconds(600), kNow).should_queue);
  }
  void DecideWait_PlaceFreeTooLate_RefusesWithItsTime() {
    const auto engines = FullEngines();
    const auto decision = DecideQueueing(engines, 1, milliseconds(600), kNow);
    CPPUNIT_ASSERT(!decision.should_queue);
    CPPUNIT_ASSERT(decision.predicted_slot_wait == Duration(seconds(2)));
  }
  void DecideWait_NoEngine_Refuses() {
    CPPUNIT_ASSERT(!DecideQueueing({}, 0, seconds(1), kNow).should_queue);
  }

 private:
  static QueuedRequest MakeWaiting(uint64_t id, int32_t priority,
                                   double density, Duration on_time_for) {
    QueuedRequest waiting;
    waiting.id = id;
    waiting.priority = priority;
    waiting.value_density = density;
    waiting.since = kNow;
    waiting.latest_on_time_start = kNow + on_time_for;
    waiting.give_up_at = kNow + seconds(9);
    return waiting;
  }
  /// One engine of two places, which end in 0.5 and 2 s.
  std::vector<EngineCandidate> FullEngines() const {
    EngineCandidate engine;
    engine.model = &m_model;
    engine.load.running = 2;
    engine.load.ends = {kNow + milliseconds(500), kNow + seconds(2)};
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
CPPUNIT_TEST_SUITE_REGISTRATION(WaitQueueTest);

class ServicePlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServicePlacementTest);
  CPPUNIT_TEST(PlaceCall_BusyAndIdle_PrefersIdle);
  CPPUNIT_TEST(PlaceCall_FailingServer_PrefersOthers);
  CPPUNIT_TEST(PlaceCall_NoServer_ReturnsNothing);
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
  void PlaceCall_NoServer_ReturnsNothing() { CPPUNIT_ASSERT(!PlaceCall({})); }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ServicePlacementTest);

}  // namespace
}  // namespace peridotshelf::scheduling
