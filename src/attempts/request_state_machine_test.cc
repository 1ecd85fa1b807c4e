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
const C* FindCommand(const Commands& commands) {
  for (const Command& command : commands) {
    if (const C* found = std::get_if<C>(&command)) return found;
  }
  return nullptr;
}

class RequestStateMachineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestStateMachineTest);
  CPPUNIT_TEST(Grants_FromTwoSides_StartOneAndCancelOther);
  CPPUNIT_TEST(Refusal_WithAnotherCandidate_ReservesThereAtOnce);
  CPPUNIT_TEST(Queued_BeyondDeadline_FailsAtOnce);
  CPPUNIT_TEST(AnswerLost_Unrepeatable_IsNotRetried);
  CPPUNIT_TEST(AnswerLost_Retryable_IsRetriedElsewhere);
  CPPUNIT_TEST(Refusal_OfEveryAttempt_FailsAsNotRun);
  CPPUNIT_TEST(Refusals_WithoutRetryBudget_EndTheRequest);
  CPPUNIT_TEST(Failure_AfterFirstChunk_IsNotRetried);
  CPPUNIT_TEST(Connection_Restored_ResumesFromNextOffset);
  CPPUNIT_TEST(Chunks_Undeliverable_AreDroppedAndCounted);
  CPPUNIT_TEST(CallerDisconnect_WhileRunning_CancelsAtSide);
  CPPUNIT_TEST(NotRun_AfterDeadline_IsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Grants_FromTwoSides_StartOneAndCancelOther() {
    PlaceRequest(true);
    const Commands first = m_state_machine->On(Granted{kSecondId, 4}, m_now);
    CPPUNIT_ASSERT(FindCommand<Start>(first)->attempt == kSecondId);
    CPPUNIT_ASSERT(FindCommand<Start>(first)->epoch == 4);
    CPPUNIT_ASSERT(FindCommand<Cancel>(first)->attempt == kFirstId);
    const Commands second = m_state_machine->On(Granted{kFirstId, 9}, m_now);
    CPPUNIT_ASSERT(FindCommand<Start>(second) == nullptr);
    CPPUNIT_ASSERT(FindCommand<Cancel>(second)->attempt == kFirstId);
  }
  void Refusal_WithAnotherCandidate_ReservesThereAtOnce() {
    PlaceRequest(false, false);
    const Error refusal{ErrorCode::kOverloaded, {}, true, {}};
    const Commands out = m_state_machine->On(Refused{kFirstId, refusal}, m_now);
    CPPUNIT_ASSERT(FindCommand<Reserve>(out)->candidate == kSecond);
    CPPUNIT_ASSERT(m_retry_budget->tokens() == RetryBudget::kDefaultBurst);
  }
  void Queued_BeyondDeadline_FailsAtOnce() {
    PlaceRequest(true);
    m_state_machine->On(Queued{kFirstId, seconds(90)}, m_now);
    CPPUNIT_ASSERT(!m_state_machine->answered());
    const Error error =
        FindError(m_state_machine->On(Queued{kSecondId, seconds(70)}, m_now));
    CPPUNIT_ASSERT(error.code == ErrorCode::kOverloaded && error.not_run);
    CPPUNIT_ASSERT(error.retry_after == seconds(10));
  }
  void AnswerLost_Unrepeatable_IsNotRetried() {
    RunFirstAttempt(false);
    const Error error = FindError(m_state_machine->On(
        Failed{kFirstId, {ErrorCode::kBackendFailed, {}, false, {}}}, m_now));
    CPPUNIT_ASSERT(error.code == ErrorCode::kOutcomeUnknown && !error.not_run);
  }
  void AnswerLost_Retryable_IsRetriedElsewhere() {
    RunFirstAttempt(true);
    m_state_machine->On(ConnectionLost{kFirst.host}, m_now);
    m_now += milliseconds(500);
    CPPUNIT_ASSERT(FindCommand<Cancel>(m_state_machine->On(Tick{}, m_now)) !=
                   nullptr);
    m_now = m_state_machine->NextTickTime();
    const Commands again = m_state_machine->On(Tick{}, m_now);
    CPPUNIT_ASSERT(FindCommand<attempts::Place>(again)->avoid ==
                   std::vector<EngineId>{kFirst.engine});
  }
  void Refusal_OfEveryAttempt_FailsAsNotRun() {
    RunFirstAttempt(false);
    const Error refusal{ErrorCode::kTeamLimit, {}, true, {}};
    const Error error =
        FindError(m_state_machine->On(Refused{kFirstId, refusal}, m_now));
    CPPUNIT_ASSERT(error.code == ErrorCode::kTeamLimit && error.not_run);
    CPPUNIT_ASSERT(error.retry_after.has_value());
  }
  void Refusals_WithoutRetryBudget_EndTheRequest() {
    while (m_retry_budget->TrySpend()) {
    }
    PlaceRequest(true);
    const Error refusal{ErrorCode::kOverloaded, {}, false, seconds(3)};
    m_state_machine->On(Refused{kFirstId, refusal}, m_now);
    const Error error =
        FindError(m_state_machine->On(Refused{kSecondId, refusal}, m_now));
    CPPUNIT_ASSERT(error.not_run && error.retry_after == seconds(3));
  }
  void Failure_AfterFirstChunk_IsNotRetried() {
    RunFirstAttempt(true);
    m_state_machine->On(ChunkArrived{kFirstId, 0, "a"}, m_now);
    const Error error = FindError(m_state_machine->On(
        Failed{kFirstId, {ErrorCode::kBackendFailed, {}, false, {}}}, m_now));
    CPPUNIT_ASSERT(error.code == ErrorCode::kBackendFailed);
  }
  void Connection_Restored_ResumesFromNextOffset() {
    RunFirstAttempt(false);
    m_state_machine->On(ChunkArrived{kFirstId, 0, "a"}, m_now);
    m_state_machine->On(ConnectionLost{kFirst.host}, m_now);
    const Commands out =
        m_state_machine->On(ConnectionRestored{kFirst.host}, m_now);
    CPPUNIT_ASSERT(FindCommand<Resume>(out)->from_offset == 1);
    const Commands finished =
        m_state_machine->On(Finished{kFirstId, {2, 200, {}, 0, 0}}, m_now);
    CPPUNIT_ASSERT(FindCommand<Answer>(finished) == nullptr);
    CPPUNIT_ASSERT(FindCommand<Resume>(finished)->from_offset == 1);
  }
  void Chunks_Undeliverable_AreDroppedAndCounted() {
    RunFirstAttempt(true);
    const AttemptId other{RequestId("other"), 0};
    m_state_machine->On(ChunkArrived{other, 0, "x"}, m_now);
    m_state_machine->On(ChunkArrived{kFirstId, 0, "a"}, m_now);
    const auto duplicate_result =
        m_state_machine->On(ChunkArrived{kFirstId, 0, "a"}, m_now);
    const auto gap = m_state_machine->On(ChunkArrived{kFirstId, 2, "c"}, m_now);
    CPPUNIT_ASSERT(duplicate_result.empty() &&
                   FindCommand<Resume>(gap)->from_offset == 1);
    m_state_machine->On(Finished{kFirstId, {1, 200, {}, 0, 0}}, m_now);
    m_state_machine->On(ChunkArrived{kFirstId, 1, "b"}, m_now);
    const DroppedChunks& dropped = m_state_machine->dropped();
    CPPUNIT_ASSERT(dropped.wrong_attempt == 1 && dropped.duplicate == 1);
    CPPUNIT_ASSERT(dropped.gap == 1 && dropped.late == 1);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, m_state_machine->delivered());
  }
  void CallerDisconnect_WhileRunning_CancelsAtSide() {
    RunFirstAttempt(true);
    const Commands out = m_state_machine->On(CallerDisconnected{}, m_now);
    CPPUNIT_ASSERT(FindCommand<Cancel>(out)->host == kFirst.host);
    CPPUNIT_ASSERT(FindError(out).code == ErrorCode::kCancelled);
    CPPUNIT_ASSERT(m_state_machine->On(CallerDisconnected{}, m_now).empty());
  }
  void NotRun_AfterDeadline_IsIgnored() {
    RunFirstAttempt(false);
    m_now += seconds(61);
    const Error not_run_error{ErrorCode::kConnectionLost, {}, true, {}};
    const Error error =
        FindError(m_state_machine->On(Failed{kFirstId, not_run_error}, m_now));
    CPPUNIT_ASSERT(!error.not_run);
  }

 private:
  void PlaceRequest(bool retryable, bool tied = true) {
    RequestParameters parameters{
        RequestId("r"),
        "chat",
        RequestDeadline::FromRemaining(m_now, seconds(60)),
        retryable,
        true,
        tied,
        7};
    m_state_machine = std::make_unique<RequestStateMachine>(
        parameters, RequestOptions{}, m_retry_budget, m_now);
    m_state_machine->Begin(m_now);
    m_state_machine->On(PlacementReply{{kFirst, kSecond}, {}}, m_now);
  }
  void RunFirstAttempt(bool retryable) {
    PlaceRequest(retryable);
    m_state_machine->On(Granted{kFirstId, 1}, m_now);
  }
  static Error FindError(const Commands& commands) {
    const Answer* answer = FindCommand<Answer>(commands);
    CPPUNIT_ASSERT(answer != nullptr && !answer->result);
    return answer->result.error();
  }

  TimePoint m_now{seconds(100)};
  std::shared_ptr<RetryBudget> m_retry_budget =
      std::make_shared<RetryBudget>(0.1);
  std::unique_ptr<RequestStateMachine> m_state_machine;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestStateMachineTest);

}  // namespace
}  // namespace peridotshelf::attempts
