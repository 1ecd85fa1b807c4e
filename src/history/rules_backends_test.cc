#include "history/history_builder.h"
#include "peridotshelf/history/rules.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::history {
namespace {

constexpr size_t kOneViolation = 1;

class NoMemoryHeldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NoMemoryHeldTest);
  CPPUNIT_TEST(Engine_WithMemoryReleased_Passes);
  CPPUNIT_TEST(Engine_KilledWithMemoryHeld_Passes);
  CPPUNIT_TEST(Engine_WithMemoryHeldAtEnd_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Engine_WithMemoryReleased_Passes() {
    HistoryBuilder history;
    history.Add(MemoryHeld{BackendId("m1"), 40});
    history.At(1).Add(MemoryHeld{BackendId("m1"), 0});
    CPPUNIT_ASSERT(history.Check<NoMemoryHeld>().empty());
  }
  void Engine_KilledWithMemoryHeld_Passes() {
    HistoryBuilder history;
    history.Add(MemoryHeld{BackendId("m1"), 40});
    history.At(1).Add(ProcessKilled{ProcessId("m1"), {BackendId("m1")}});
    CPPUNIT_ASSERT(history.Check<NoMemoryHeld>().empty());
  }
  void Engine_WithMemoryHeldAtEnd_Fails() {
    HistoryBuilder history;
    history.Add(MemoryHeld{BackendId("m1"), 0});
    history.At(1).Add(MemoryHeld{BackendId("m1"), 40});
    CPPUNIT_ASSERT_EQUAL(kOneViolation, history.Check<NoMemoryHeld>().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NoMemoryHeldTest);

class OrphansReleasedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrphansReleasedTest);
  CPPUNIT_TEST(Execution_EndedWithinTheBound_Passes);
  CPPUNIT_TEST(Execution_EndedAfterTheBound_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Execution_EndedWithinTheBound_Passes() {
    CPPUNIT_ASSERT(MakeHistoryEndedAt(5'900).Check<OrphansReleased>().empty());
  }
  void Execution_EndedAfterTheBound_Fails() {
    CPPUNIT_ASSERT_EQUAL(
        kOneViolation,
        MakeHistoryEndedAt(6'100).Check<OrphansReleased>().size());
  }

 private:
  /// The entry dies at 1,000 ms; the execution ends at `milliseconds`.
  static HistoryBuilder MakeHistoryEndedAt(int64_t milliseconds) {
    HistoryBuilder history;
    history.Call("a").Begin("a", "m1");
    history.At(1'000).Add(ProcessKilled{ProcessId("e1"), {}});
    history.At(milliseconds).End("a", "m1").At(9'000).Call("b");
    return history;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrphansReleasedTest);

class LeavingTakesNoWorkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingTakesNoWorkTest);
  CPPUNIT_TEST(Begin_WithinTheBoundOrAtAnotherServer_Passes);
  CPPUNIT_TEST(Begin_WithinTheBoundAfterThaw_Passes);
  CPPUNIT_TEST(Begin_AfterTheBound_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Begin_WithinTheBoundOrAtAnotherServer_Passes() {
    HistoryBuilder history;
    history.Call("a").Call("b").Add(LeaveMark{BackendId("m1")});
    history.At(2'900).Begin("a", "m1").At(3'100).Begin("b", "m2");
    CPPUNIT_ASSERT(history.Check<LeavingTakesNoWork>().empty());
  }
  void Begin_WithinTheBoundAfterThaw_Passes() {
    HistoryBuilder history;
    history.Call("a").Add(LeaveMark{BackendId("m1")});
    history.Add(ProcessFrozen{ProcessId("s1"), {BackendId("m1")}});
    history.At(5'000).Add(ProcessThawed{ProcessId("s1")});
    history.At(7'900).Begin("a", "m1");
    CPPUNIT_ASSERT(history.Check<LeavingTakesNoWork>().empty());
    history.At(8'100).Begin("a", "m1", 2);
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<LeavingTakesNoWork>().size());
  }
  void Begin_AfterTheBound_Fails() {
    HistoryBuilder history;
    history.Call("a").Add(LeaveMark{BackendId("m1")});
    history.At(3'100).Begin("a", "m1");
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<LeavingTakesNoWork>().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTakesNoWorkTest);

class StopCutsNothingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopCutsNothingTest);
  CPPUNIT_TEST(Call_AnsweredDuringStop_Passes);
  CPPUNIT_TEST(Call_FailedByKillDuringStop_Passes);
  CPPUNIT_TEST(Call_RefusedWhileItsSideStops_Fails);
  CPPUNIT_TEST(Call_RefusedWhileItsEntryStops_Fails);
  CPPUNIT_TEST(Connection_LostWithoutFault_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Call_AnsweredDuringStop_Passes() {
    HistoryBuilder history = MakeHistoryWithStop("s1");
    history.At(2'000).Add(Answer{CallId("a")});
    CPPUNIT_ASSERT(history.Check<StopCutsNothing>().empty());
  }
  void Call_FailedByKillDuringStop_Passes() {
    HistoryBuilder history = MakeHistoryWithStop("s1");
    history.Add(ProcessKilled{ProcessId("s1"), {BackendId("m1")}});
    RefuseCall(history);
    CPPUNIT_ASSERT(history.Check<StopCutsNothing>().empty());
  }
  void Call_RefusedWhileItsSideStops_Fails() {
    HistoryBuilder history = MakeHistoryWithStop("s1");
    RefuseCall(history);
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<StopCutsNothing>().size());
  }
  void Call_RefusedWhileItsEntryStops_Fails() {
    HistoryBuilder history = MakeHistoryWithStop("e1");
    RefuseCall(history);
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<StopCutsNothing>().size());
  }
  void Connection_LostWithoutFault_Fails() {
    HistoryBuilder history;
    history.Call("a").At(5).Add(CallerConnectionLost{CallId("a")});
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<StopCutsNothing>().size());
  }

 private:
  /// `process` gets a planned stop while m1 runs call "a" for entry e1.
  static HistoryBuilder MakeHistoryWithStop(const std::string& process) {
    HistoryBuilder history;
    history.Call("a").At(100).Begin("a", "m1").At(1'000);
    std::vector<BackendId> backends;
    if (process == "s1") backends.emplace_back("m1");
    history.Add(PlannedStop{ProcessId(process), backends});
    return history;
  }
  static void RefuseCall(HistoryBuilder& history) {
    history.At(2'000);
    history.Add(Refusal{CallId("a"), ErrorCode::kConnectionLost, false});
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StopCutsNothingTest);

class NoAnswerLostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NoAnswerLostTest);
  CPPUNIT_TEST(Refusal_AfterKillOrDeadline_Passes);
  CPPUNIT_TEST(Refusal_BeforeFrozenServerBegins_Passes);
  CPPUNIT_TEST(Refusal_WithoutFault_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Refusal_AfterKillOrDeadline_Passes() {
    HistoryBuilder history;
    history.Call("a").Call("b").Begin("a", "m1").Begin("b", "m2");
    history.At(5).Add(ProcessKilled{ProcessId("m1"), {BackendId("m1")}});
    Refuse(history, "a", ErrorCode::kBackendFailed);
    history.At(10'000);
    Refuse(history, "b", ErrorCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(history.Check<NoAnswerLost>().empty());
  }
  void Refusal_BeforeFrozenServerBegins_Passes() {
    HistoryBuilder history;
    history.Add(ProcessFrozen{ProcessId("m1"), {BackendId("m1")}});
    history.At(1).Call("a").At(2'000);
    Refuse(history, "a", ErrorCode::kOutcomeUnknown);
    history.At(3'000).Add(ProcessThawed{ProcessId("m1")});
    history.At(3'100).Begin("a", "m1");
    CPPUNIT_ASSERT(history.Check<NoAnswerLost>().empty());
  }
  void Refusal_WithoutFault_Fails() {
    HistoryBuilder history;
    history.Call("a").Begin("a", "m1").At(5);
    Refuse(history, "a", ErrorCode::kConnectionLost);
    CPPUNIT_ASSERT_EQUAL(kOneViolation, history.Check<NoAnswerLost>().size());
  }

 private:
  static void Refuse(HistoryBuilder& history, const std::string& call,
                     ErrorCode code) {
    history.Add(Refusal{CallId(call), code, false});
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NoAnswerLostTest);

class ShortNotStarvedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShortNotStarvedTest);
  CPPUNIT_TEST(Short_OvertakenWithinTheBound_Passes);
  CPPUNIT_TEST(Short_OvertakenBeyondTheBound_Fails);
  CPPUNIT_TEST(Short_NeverRunWhileLongOnesBegin_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Short_OvertakenWithinTheBound_Passes() {
    HistoryBuilder history = MakeHistoryWithBypasses(2);
    history.Begin("short", "m1");
    CPPUNIT_ASSERT(history.Check<ShortNotStarved>(kTwoBypasses).empty());
  }
  void Short_OvertakenBeyondTheBound_Fails() {
    HistoryBuilder history = MakeHistoryWithBypasses(3);
    history.Begin("short", "m1");
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<ShortNotStarved>(kTwoBypasses).size());
  }
  void Short_NeverRunWhileLongOnesBegin_Fails() {
    HistoryBuilder history = MakeHistoryWithBypasses(3);
    history.Add(Refusal{CallId("short"), ErrorCode::kDeadlineExceeded, true});
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<ShortNotStarved>(kTwoBypasses).size());
  }

 private:
  static constexpr Limits kTwoBypasses{.max_bypasses = 2};

  static HistoryBuilder MakeHistoryWithBypasses(int64_t times) {
    HistoryBuilder history;
    history.Call("short");
    Invocation invocation;
    invocation.size = RequestSize::kLong;
    for (int64_t i = 1; i <= times; ++i) {
      const std::string name = "long" + std::to_string(i);
      history.At(i).Call(name, invocation).Begin(name, "m1");
    }
    history.At(times + 1);
    return history;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ShortNotStarvedTest);

}  // namespace
}  // namespace peridotshelf::history
