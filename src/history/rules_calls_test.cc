#include "history/history_builder.h"
#include "peridotshelf/history/rules.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::history {
namespace {

Invocation Expecting(const std::string& text) {
  Invocation invocation;
  invocation.expected_text = text;
  return invocation;
}

Invocation Unrepeatable(const std::string& key) {
  Invocation invocation;
  invocation.unrepeatable = true;
  invocation.idempotency_key = key;
  return invocation;
}

class AnsweredInTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnsweredInTimeTest);
  CPPUNIT_TEST(Call_AnsweredOrStillInItsTime_Passes);
  CPPUNIT_TEST(Call_WithoutOutcomeInItsTime_Fails);
  CPPUNIT_TEST(Call_AnsweredAfterItsTime_Fails);
  CPPUNIT_TEST(Call_WithTwoOutcomes_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Call_AnsweredOrStillInItsTime_Passes() {
    HistoryBuilder history;
    history.Call("a").At(10'400).Add(Answer{CallId("a")}).Call("b");
    CPPUNIT_ASSERT(history.Check<AnsweredInTime>().empty());
  }
  void Call_WithoutOutcomeInItsTime_Fails() {
    HistoryBuilder history;
    history.Call("a").At(10'600).Call("b");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AnsweredInTime>().size());
  }
  void Call_AnsweredAfterItsTime_Fails() {
    HistoryBuilder history;
    history.Call("a").At(10'600).Add(Answer{CallId("a")});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AnsweredInTime>().size());
  }
  void Call_WithTwoOutcomes_Fails() {
    HistoryBuilder history;
    history.Call("a").At(5).Add(Answer{CallId("a")});
    history.Add(Answer{CallId("a")});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AnsweredInTime>().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnsweredInTimeTest);

class WholeAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WholeAnswerTest);
  CPPUNIT_TEST(Answer_WholeOrRefusedMidway_Passes);
  CPPUNIT_TEST(Answer_WithoutItsEnd_Fails);
  CPPUNIT_TEST(Answer_WithARepeatedChunk_Fails);
  CPPUNIT_TEST(Answer_WithAnotherCallersChunk_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Answer_WholeOrRefusedMidway_Passes() {
    HistoryBuilder history;
    history.Call("a", Expecting("onetwo")).Call("b", Expecting("xy"));
    Receive(history, "a", 0, "one");
    Receive(history, "b", 0, "x");
    Receive(history, "a", 1, "two");
    history.Add(Answer{CallId("a")});
    history.Add(Refusal{CallId("b"), ErrorCode::kBackendFailed, false});
    CPPUNIT_ASSERT(history.Check<WholeAnswer>().empty());
  }
  void Answer_WithoutItsEnd_Fails() {
    HistoryBuilder history;
    history.Call("a", Expecting("onetwo"));
    Receive(history, "a", 0, "one");
    history.Add(Answer{CallId("a")});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<WholeAnswer>().size());
  }
  void Answer_WithARepeatedChunk_Fails() {
    HistoryBuilder history;
    history.Call("a", Expecting("oneone"));
    Receive(history, "a", 0, "one");
    Receive(history, "a", 0, "one");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<WholeAnswer>().size());
  }
  void Answer_WithAnotherCallersChunk_Fails() {
    HistoryBuilder history;
    history.Call("a", Expecting("onetwo")).Call("b", Expecting("xy"));
    Receive(history, "a", 0, "one");
    Receive(history, "a", 1, "y");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<WholeAnswer>().size());
  }

 private:
  static void Receive(HistoryBuilder& history, const std::string& call,
                      int64_t offset, const std::string& text) {
    history.Add(ChunkReceived{CallId(call), offset, text});
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WholeAnswerTest);

class NotRunTrueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NotRunTrueTest);
  CPPUNIT_TEST(Refusal_OfWhatNeverRan_Passes);
  CPPUNIT_TEST(Refusal_WithoutThePromise_MayHaveRun);
  CPPUNIT_TEST(Refusal_OfWhatRanBefore_Fails);
  CPPUNIT_TEST(Refusal_OfWhatRunsLater_Fails);
  CPPUNIT_TEST(Refusal_OfWhatRanUnderItsKey_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Refusal_OfWhatNeverRan_Passes() {
    HistoryBuilder history;
    history.Call("a").Call("b").Begin("b", "m1");
    Refuse(history, "a", true);
    CPPUNIT_ASSERT(history.Check<NotRunTrue>().empty());
  }
  void Refusal_WithoutThePromise_MayHaveRun() {
    HistoryBuilder history;
    history.Call("a").Begin("a", "m1");
    Refuse(history, "a", false);
    CPPUNIT_ASSERT(history.Check<NotRunTrue>().empty());
  }
  void Refusal_OfWhatRanBefore_Fails() {
    HistoryBuilder history;
    history.Call("a").Begin("a", "m1").End("a", "m1");
    Refuse(history, "a", true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<NotRunTrue>().size());
  }
  void Refusal_OfWhatRunsLater_Fails() {
    HistoryBuilder history;
    history.Call("a");
    Refuse(history, "a", true);
    history.At(9'000).Begin("a", "m1", 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<NotRunTrue>().size());
  }
  void Refusal_OfWhatRanUnderItsKey_Fails() {
    HistoryBuilder history;
    history.Call("a", Unrepeatable("k"));
    history.Add(ExecutionBegin{{}, BackendId("service"), "k"});
    Refuse(history, "a", true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<NotRunTrue>().size());
  }

 private:
  static void Refuse(HistoryBuilder& history, const std::string& call,
                     bool not_run) {
    history.Add(Refusal{CallId(call), ErrorCode::kOverloaded, not_run});
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NotRunTrueTest);

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(Unrepeatable_RunOnceForTwoCalls_Passes);
  CPPUNIT_TEST(Repeatable_RunTwice_Passes);
  CPPUNIT_TEST(Unrepeatable_RunTwiceInOneCall_Fails);
  CPPUNIT_TEST(Unrepeatable_RunForTwoCallsOfOneKey_Fails);
  CPPUNIT_TEST(Unrepeatable_RunAgainForACallThatLearntNoId_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Unrepeatable_RunOnceForTwoCalls_Passes() {
    HistoryBuilder history;
    history.Call("a", Unrepeatable("k")).Call("b", Unrepeatable("k"));
    history.Begin("b", "m1", 1, "k");
    CPPUNIT_ASSERT(history.Check<AtMostOnce>().empty());
  }
  void Repeatable_RunTwice_Passes() {
    HistoryBuilder history;
    history.Call("a").Begin("a", "m1").Begin("a", "m2", 2);
    CPPUNIT_ASSERT(history.Check<AtMostOnce>().empty());
  }
  void Unrepeatable_RunTwiceInOneCall_Fails() {
    HistoryBuilder history;
    history.Call("a", Unrepeatable("")).Begin("a", "m1").Begin("a", "m2", 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AtMostOnce>().size());
  }
  void Unrepeatable_RunForTwoCallsOfOneKey_Fails() {
    HistoryBuilder history;
    history.Call("a", Unrepeatable("k")).Call("b", Unrepeatable("k"));
    history.Begin("a", "m1").Begin("b", "m2");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AtMostOnce>().size());
  }
  void Unrepeatable_RunAgainForACallThatLearntNoId_Fails() {
    HistoryBuilder history;
    history.Call("a", Unrepeatable("k")).Begin("a", "m1", 1, "k");
    history.Begin("unheard", "m1", 1, "k");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AtMostOnce>().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

class GivenUpAtOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GivenUpAtOnceTest);
  CPPUNIT_TEST(Caller_ToldWithinTheBound_Passes);
  CPPUNIT_TEST(Caller_ToldOnlyAtItsDeadline_Fails);
  CPPUNIT_TEST(Caller_ToldLateOfAnUnknownModel_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Caller_ToldWithinTheBound_Passes() {
    HistoryBuilder history;
    history.Call("a").At(5'000).Add(GivenUp{RequestId("r-a")});
    history.At(5'400);
    history.Add(Refusal{CallId("a"), ErrorCode::kOverloaded, true});
    history.At(9'000).Call("b");
    CPPUNIT_ASSERT(history.Check<GivenUpAtOnce>().empty());
  }
  void Caller_ToldOnlyAtItsDeadline_Fails() {
    HistoryBuilder history;
    history.Call("a").At(5'000).Add(GivenUp{RequestId("r-a")});
    history.At(10'000);
    history.Add(Refusal{CallId("a"), ErrorCode::kDeadlineExceeded, true});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<GivenUpAtOnce>().size());
  }
  void Caller_ToldLateOfAnUnknownModel_Fails() {
    HistoryBuilder history;
    history.Call("a").At(2'000);
    history.Add(Refusal{CallId("a"), ErrorCode::kUnknownModel, true});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<GivenUpAtOnce>().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GivenUpAtOnceTest);

}  // namespace
}  // namespace peridotshelf::history
