#include "peridotshelf/attempts/request_state_machine.h"

#include <algorithm>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::attempts {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Candidate kFirst{EngineId("e0"), HostId("h0")};
const Candidate kSecond{EngineId("e1"), HostId("h1")};
const AttemptId kFirstId{RequestId("r"), 0};
const AttemptId kSecondId{RequestId("r"), 1};

template <class C>
const C* Get(const Commands& commands) {
  for (const Command& command : commands) {
    if (const C* found = std::get_if<C>(&command)) return found;
  }
  return nullptr;
}

class RequestLifeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestLifeTest);
  CPPUNIT_TEST(Grants_FromTwoSides_StartOneAndCancelTheOther);
  CPPUNIT_TEST(Refusal_WithAnotherCandidate_AsksItAtOnce);
  CPPUNIT_TEST(Queue_BeyondBudget_IsGivenUpAtOnce);
  CPPUNIT_TEST(AnswerLost_Unrepeatable_IsNotRunAgain);
  CPPUNIT_TEST(AnswerLost_Repeatable_RunsElsewhere);
  CPPUNIT_TEST(Refusal_OfEveryAttempt_ProvesNotRun);
  CPPUNIT_TEST(Refusals_WithoutRetryBudget_EndTheRequest);
  CPPUNIT_TEST(Failure_AfterBytes_IsATypedErrorAndNoRetry);
  CPPUNIT_TEST(Connection_Replaced_ResumesFromLastOffset);
  CPPUNIT_TEST(Chunks_CrossedLateAndDouble_AreDroppedAndCounted);
  CPPUNIT_TEST(HangUp_WhileRunning_CancelsAtTheSide);
  CPPUNIT_TEST(Proof_AfterTheBudget_IsNotTrusted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Grants_FromTwoSides_StartOneAndCancelTheOther() {
    Place(true);
    const Commands first = m_state_machine->On(Granted{kSecondId, 4}, m_now);
    CPPUNIT_ASSERT(Get<Start>(first)->attempt == kSecondId);
    CPPUNIT_ASSERT(Get<Start>(first)->epoch == 4);
    CPPUNIT_ASSERT(Get<Cancel>(first)->attempt == kFirstId);
    const Commands second = m_state_machine->On(Granted{kFirstId, 9}, m_now);
    CPPUNIT_ASSERT(Get<Start>(second) == nullptr);
    CPPUNIT_ASSERT(Get<Cancel>(second)->attempt == kFirstId);
  }
  void Refusal_WithAnotherCandidate_AsksItAtOnce() {
    Place(false, false);
    const Error refusal{ErrorCode::kOverloaded, {}, true, {}};
    const Commands out = m_state_machine->On(Refused{kFirstId, refusal}, m_now);
    CPPUNIT_ASSERT(Get<Reserve>(out)->candidate == kSecond);
    CPPUNIT_ASSERT(m_retry_budget->tokens() == RetryBudget::kDefaultBurst);
  }
  void Queue_BeyondBudget_IsGivenUpAtOnce() {
    Place(true);
    m_state_machine->On(Queued{kFirstId, seconds(90)}, m_now);
    CPPUNIT_ASSERT(!m_state_machine->answered());
    const Error error =
        AnswerOf(m_state_machine->On(Queued{kSecondId, seconds(70)}, m_now));
    CPPUNIT_ASSERT(error.code == ErrorCode::kOverloaded && error.not_run);
    CPPUNIT_ASSERT(error.retry_after == seconds(10));
  }
  void AnswerLost_Unrepeatable_IsNotRunAgain() {
    Run(false);
    const Error error = AnswerOf(m_state_machine->On(
        Failed{kFirstId, {ErrorCode::kBackendFailed, {}, false, {}}}, m_now));
    CPPUNIT_ASSERT(error.code == ErrorCode::kOutcomeUnknown && !error.not_run);
  }
  void AnswerLost_Repeatable_RunsElsewhere() {
    Run(true);
    m_state_machine->On(ConnectionLost{kFirst.host}, m_now);
    m_now += milliseconds(500);
    CPPUNIT_ASSERT(Get<Cancel>(m_state_machine->On(Tick{}, m_now)) != nullptr);
    m_now = m_state_machine->NextTickTime();
    const Commands again = m_state_machine->On(Tick{}, m_now);
    CPPUNIT_ASSERT(Get<attempts::Place>(again)->avoid ==
                   std::vector<EngineId>{kFirst.engine});
  }
  void Refusal_OfEveryAttempt_ProvesNotRun() {
    Run(false);
    const Error refusal{ErrorCode::kTeamLimit, {}, true, {}};
    const Error error =
        AnswerOf(m_state_machine->On(Refused{kFirstId, refusal}, m_now));
    CPPUNIT_ASSERT(error.code == ErrorCode::kTeamLimit && error.not_run);
    CPPUNIT_ASSERT(error.retry_after.has_value());
  }
  void Refusals_WithoutRetryBudget_EndTheRequest() {
    while (m_retry_budget->TrySpend()) {
    }
    Place(true);
    const Error refusal{ErrorCode::kOverloaded, {}, false, seconds(3)};
    m_state_machine->On(Refused{kFirstId, refusal}, m_now);
    const Error error =
        AnswerOf(m_state_machine->On(Refused{kSecondId, refusal}, m_now));
    CPPUNIT_ASSERT(error.not_run && error.retry_after == seconds(3));
  }
  void Failure_AfterBytes_IsATypedErrorAndNoRetry() {
    Run(true);
    m_state_machine->On(ChunkArrived{kFirstId, 0, "a"}, m_now);
    const Error error = AnswerOf(m_state_machine->On(
        Failed{kFirstId, {ErrorCode::kBackendFailed, {}, false, {}}}, m_now));
    CPPUNIT_ASSERT(error.code == ErrorCode::kBackendFailed);
  }
  void Connection_Replaced_ResumesFromLastOffset() {
    Run(false);
    m_state_machine->On(ChunkArrived{kFirstId, 0, "a"}, m_now);
    m_state_machine->On(ConnectionLost{kFirst.host}, m_now);
    const Commands out =
        m_state_machine->On(ConnectionRestored{kFirst.host}, m_now);
    CPPUNIT_ASSERT(Get<Resume>(out)->from_offset == 1);
    const Commands finished =
        m_state_machine->On(Finished{kFirstId, {2, 200, {}, 0, 0}}, m_now);
    CPPUNIT_ASSERT(Get<Answer>(finished) == nullptr);
    CPPUNIT_ASSERT(Get<Resume>(finished)->from_offset == 1);
  }
  void Chunks_CrossedLateAndDouble_AreDroppedAndCounted() {
    Run(true);
    const AttemptId other{RequestId("other"), 0};
    m_state_machine->On(ChunkArrived{other, 0, "x"}, m_now);
    m_state_machine->On(ChunkArrived{kFirstId, 0, "a"}, m_now);
    const auto doubled =
        m_state_machine->On(ChunkArrived{kFirstId, 0, "a"}, m_now);
    const auto gap = m_state_machine->On(ChunkArrived{kFirstId, 2, "c"}, m_now);
    CPPUNIT_ASSERT(doubled.empty() && Get<Resume>(gap)->from_offset == 1);
    m_state_machine->On(Finished{kFirstId, {1, 200, {}, 0, 0}}, m_now);
    m_state_machine->On(ChunkArrived{kFirstId, 1, "b"}, m_now);
    const DroppedChunks& dropped = m_state_machine->dropped();
    CPPUNIT_ASSERT(dropped.crossed == 1 && dropped.duplicate == 1);
    CPPUNIT_ASSERT(dropped.gap == 1 && dropped.late == 1);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, m_state_machine->delivered());
  }
  void HangUp_WhileRunning_CancelsAtTheSide() {
    Run(true);
    const Commands out = m_state_machine->On(CallerDisconnected{}, m_now);
    CPPUNIT_ASSERT(Get<Cancel>(out)->host == kFirst.host);
    CPPUNIT_ASSERT(AnswerOf(out).code == ErrorCode::kCancelled);
    CPPUNIT_ASSERT(m_state_machine->On(CallerDisconnected{}, m_now).empty());
  }
  void Proof_AfterTheBudget_IsNotTrusted() {
    Run(false);
    m_now += seconds(61);
    const Error proof{ErrorCode::kConnectionLost, {}, true, {}};
    const Error error =
        AnswerOf(m_state_machine->On(Failed{kFirstId, proof}, m_now));
    CPPUNIT_ASSERT(!error.not_run);
  }

 private:
  void Place(bool retryable, bool tied = true) {
    RequestParameters plan{RequestId("r"),
                           "chat",
                           RequestDeadline::FromRemaining(m_now, seconds(60)),
                           retryable,
                           true,
                           tied,
                           7};
    m_state_machine = std::make_unique<RequestStateMachine>(
        plan, RequestOptions{}, m_retry_budget, m_now);
    m_state_machine->Begin(m_now);
    m_state_machine->On(PlacementReply{{kFirst, kSecond}, {}}, m_now);
  }
  void Run(bool retryable) {
    Place(retryable);
    m_state_machine->On(Granted{kFirstId, 1}, m_now);
  }
  static Error AnswerOf(const Commands& commands) {
    const Answer* answer = Get<Answer>(commands);
    CPPUNIT_ASSERT(answer != nullptr && !answer->result);
    return answer->result.error();
  }

  TimePoint m_now{seconds(100)};
  std::shared_ptr<RetryBudget> m_retry_budget =
      std::make_shared<RetryBudget>(0.1);
  std::unique_ptr<RequestStateMachine> m_state_machine;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestLifeTest);

}  // namespace
}  // namespace peridotshelf::attempts
