#include <random>

#include "peridotshelf/attempts/circuit_breaker.h"
#include "peridotshelf/attempts/execution_table.h"
#include "peridotshelf/attempts/request_state_machine.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::attempts {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const AttemptId kAttempt{RequestId("r"), 0};

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(Spend_BeyondFraction_IsRefused);
  CPPUNIT_TEST(Delay_AnyRetry_StaysInBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Spend_BeyondFraction_IsRefused() {
    RetryBudget budget(0.1, 2.0);
    while (budget.TrySpend()) {
    }
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.NoteFirstAttempt();
      if (budget.TrySpend()) ++retries;
    }
    CPPUNIT_ASSERT(retries >= 98 && retries <= 100);
  }
  void Delay_AnyRetry_StaysInBounds() {
    testing::CheckProperty("delay", [](uint32_t seed, int32_t retry) {
      std::minstd_rand random(seed);
      const BackoffOptions options;
      const auto delay =
          DrawFullJitterDelay(options, retry, milliseconds(200), random);
      if (delay) {
        RC_ASSERT(*delay >= Duration::zero() && *delay < milliseconds(200));
      }
      const auto first = DrawFullJitterDelay(options, 0, seconds(9), random);
      RC_ASSERT(first.has_value() && *first <= options.base);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

class CircuitBreakerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CircuitBreakerTest);
  CPPUNIT_TEST(Allow_AfterFailures_LetsOneProbeThrough);
  CPPUNIT_TEST(Probe_Failed_DoublesTheOpenInterval);
  CPPUNIT_TEST(Probe_WithoutResult_IsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(m_breaker.Allow(m_now));
      m_breaker.NoteFailure(m_now);
    }
  }
  void Allow_AfterFailures_LetsOneProbeThrough() {
    CPPUNIT_ASSERT(!m_breaker.Allow(m_now + milliseconds(499)));
    m_now += milliseconds(500);
    CPPUNIT_ASSERT(m_breaker.Allow(m_now));
    CPPUNIT_ASSERT(!m_breaker.Allow(m_now));
    m_breaker.NoteSuccess();
    CPPUNIT_ASSERT(m_breaker.Allow(m_now));
  }
  void Probe_Failed_DoublesTheOpenInterval() {
    m_now += milliseconds(500);
    CPPUNIT_ASSERT(m_breaker.Allow(m_now));
    m_breaker.NoteFailure(m_now);
    CPPUNIT_ASSERT(!m_breaker.WouldAllow(m_now + milliseconds(999)));
    CPPUNIT_ASSERT(m_breaker.WouldAllow(m_now + milliseconds(1000)));
  }
  void Probe_WithoutResult_IsReplaced() {
    m_now += milliseconds(500);
    CPPUNIT_ASSERT(m_breaker.Allow(m_now));
    CPPUNIT_ASSERT(!m_breaker.Allow(m_now + seconds(4)));
    CPPUNIT_ASSERT(m_breaker.Allow(m_now + seconds(5)));
  }

 private:
  TimePoint m_now{seconds(100)};
  CircuitBreaker m_breaker;
};
CPPUNIT_TEST_SUITE_REGISTRATION(CircuitBreakerTest);

class ExecutionTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExecutionTableTest);
  CPPUNIT_TEST(Start_AfterCancel_FailsAsNotRun);
  CPPUNIT_TEST(Start_Twice_RunsOnce);
  CPPUNIT_TEST(Start_OfEarlierEpoch_FailsWithoutNotRun);
  CPPUNIT_TEST(Start_AfterLeaseExpired_FailsAsNotRun);
  CPPUNIT_TEST(Resume_AfterFinish_ReturnsAnswerFromOffset);
  CPPUNIT_TEST(Resume_BeforeStart_FailsAsNotRun);
  CPPUNIT_TEST(Cancel_OfEarlierIncarnation_LeavesNotRunUnset);
  CPPUNIT_TEST(Recover_NotResumed_IsCancelledAtBackend);
  CPPUNIT_TEST(Tick_AfterRequestDeadline_RemovesRecord);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Admit(); }
  void Start_AfterCancel_FailsAsNotRun() {
    CPPUNIT_ASSERT(
        m_table.Cancel(kAttempt, ErrorCode::kCancelled, m_now).error.not_run);
    CPPUNIT_ASSERT(m_table.Start(kAttempt, kEpoch).error().not_run);
    CPPUNIT_ASSERT(!m_table.Admit(kAttempt, 1, seconds(60), m_now));
  }
  void Start_Twice_RunsOnce() {
    CPPUNIT_ASSERT(Start() == StartDecision::kRun);
    CPPUNIT_ASSERT(Start() == StartDecision::kDuplicate);
    CPPUNIT_ASSERT(
        !m_table.Cancel(kAttempt, ErrorCode::kCancelled, m_now).error.not_run);
  }
  void Start_OfEarlierEpoch_FailsWithoutNotRun() {
    const auto decision = m_table.Start(kAttempt, kEpoch - 1);
    CPPUNIT_ASSERT(!decision && !decision.error().not_run);
  }
  void Start_AfterLeaseExpired_FailsAsNotRun() {
    m_table.Detach(1, m_now);
    CPPUNIT_ASSERT(m_table.Tick(m_now + seconds(9)).empty());
    const auto expired = m_table.Tick(m_now + seconds(10));
    CPPUNIT_ASSERT(expired.size() == 1 && !expired[0].cancel_at_backend);
    const auto decision = m_table.Start(kAttempt, kEpoch);
    CPPUNIT_ASSERT(!decision && decision.error().not_run);
  }
  void Resume_AfterFinish_ReturnsAnswerFromOffset() {
    Start();
    m_table.Append(kAttempt, 0, "a");
    m_table.Detach(1, m_now);
    CPPUNIT_ASSERT(!m_table.Append(kAttempt, 1, "b"));
    CPPUNIT_ASSERT(!m_table.Append(kAttempt, 1, "again"));
    CPPUNIT_ASSERT(!m_table.Finish(kAttempt, Completion{}, m_now));
    const auto reply = m_table.Resume(kAttempt, 1, 2, true, m_now);
    CPPUNIT_ASSERT(reply.chunks == std::vector<std::string>{"b"});
    CPPUNIT_ASSERT(reply.outcome && *reply.outcome);
  }
  void Resume_BeforeStart_FailsAsNotRun() {
    const auto reply = m_table.Resume(kAttempt, 0, 2, true, m_now);
    CPPUNIT_ASSERT(reply.release_allocation && reply.outcome->error().not_run);
    CPPUNIT_ASSERT(m_table.Start(kAttempt, kEpoch).error().not_run);
    const AttemptId unknown{RequestId("other"), 0};
    const auto other = m_table.Resume(unknown, 0, 2, false, m_now);
    CPPUNIT_ASSERT(!other.outcome->error().not_run);
  }
  void Cancel_OfEarlierIncarnation_LeavesNotRunUnset() {
    const AttemptId unknown{RequestId("other"), 0};
    const auto cancel = [&](bool same_incarnation) {
      return m_table.Cancel(unknown, ErrorCode::kCancelled, m_now,
                            same_incarnation);
    };
    CPPUNIT_ASSERT(!cancel(false).error.not_run);
    CPPUNIT_ASSERT(!cancel(true).error.not_run);
    const auto decision = m_table.Start(unknown, kEpoch);
    CPPUNIT_ASSERT(!decision || *decision != StartDecision::kRun);
  }
  void Recover_NotResumed_IsCancelledAtBackend() {
    const std::vector<AttemptId> running = {{RequestId("x"), 0},
                                            {RequestId("y"), 0}};
    m_table.Recover(running, m_now);
    CPPUNIT_ASSERT(m_table.Resume(running[0], 3, 2, false, m_now).ask_engine);
    const auto expired = m_table.Tick(m_now + seconds(10));
    CPPUNIT_ASSERT(expired.size() == 1 && expired[0].cancel_at_backend);
    CPPUNIT_ASSERT(expired[0].attempt == running[1]);
  }
  void Tick_AfterRequestDeadline_RemovesRecord() {
    Start();
    m_table.Append(kAttempt, 0, "data");
    m_table.Finish(kAttempt, Completion{}, m_now);
    CPPUNIT_ASSERT(m_table.buffered_bytes() == 4);
    m_table.Tick(m_now + seconds(10));
    CPPUNIT_ASSERT(m_table.buffered_bytes() == 0 && m_table.size() == 1);
    m_table.Tick(m_now + seconds(60));
    CPPUNIT_ASSERT(m_table.size() == 0);
  }

 private:
  static constexpr int64_t kEpoch = 5;
  void Admit() {
    CPPUNIT_ASSERT(m_table.Admit(kAttempt, 1, seconds(60), m_now));
  }
  StartDecision Start() { return m_table.Start(kAttempt, kEpoch).value(); }

  TimePoint m_now{seconds(100)};
  ExecutionTable m_table{kEpoch};
};
CPPUNIT_TEST_SUITE_REGISTRATION(ExecutionTableTest);

class TraceRingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TraceRingTest);
  CPPUNIT_TEST(Add_BeyondCapacity_DropsOldest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Add_BeyondCapacity_DropsOldest() {
    TraceRing ring(2);
    for (const char* id : {"a", "b", "c", "c"}) {
      ring.Add({RequestId(id), "chat", {}});
    }
    CPPUNIT_ASSERT(ring.size() == 2 && !ring.Find(RequestId("a")));
    CPPUNIT_ASSERT(ring.Find(RequestId("b")) && ring.Find(RequestId("c")));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TraceRingTest);

}  // namespace
}  // namespace peridotshelf::attempts
