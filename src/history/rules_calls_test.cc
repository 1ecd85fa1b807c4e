#include "history/history_builder.h"
#include "peridotshelf/history/rules.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::history {
namespace {

Invocation MakeInvocationExpecting(const std::string& text) {
  Invocation invocation;
  invocation.expected_text = text;
  return invocation;
}

Invocation MakeUnrepeatableInvocation(const std::string& key) {
  Invocation invocation;
  invocation.unrepeatable = true;
  invocation.idempotency_key = key;
  return invocation;
}

class AnsweredInTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnsweredInTimeTest);
  CPPUNIT_TEST(Call_AnsweredOrBeforeItsDeadline_Passes);
  CPPUNIT_TEST(Call_WithoutOutcomeByItsDeadline_Fails);
  CPPUNIT_TEST(Call_AnsweredAfterItsDeadline_Fails);
  CPPUNIT_TEST(Call_WithTwoOutcomes_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Call_AnsweredOrBeforeItsDeadline_Passes() {
    HistoryBuilder history;
    history.Call("a").At(10'400).Add(Answer{CallId("a")}).Call("b");
    CPPUNIT_ASSERT(history.Check<AnsweredInTime>().empty());
  }
  void Call_WithoutOutcomeByItsDeadline_Fails() {
    HistoryBuilder history;
    history.Call("a").At(10'600).Call("b");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AnsweredInTime>().size());
  }
  void Call_AnsweredAfterItsDeadline_Fails() {
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
  CPPUNIT_TEST(Answer_CompleteOrRefusedMidway_Passes);
  CPPUNIT_TEST(Answer_WithoutItsEnd_Fails);
  CPPUNIT_TEST(Answer_WithDuplicateChunk_Fails);
  CPPUNIT_TEST(Answer_WithAnotherCallersChunk_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Answer_CompleteOrRefusedMidway_Passes() {
    HistoryBuilder history;
    history.Call("a", MakeInvocationExpecting("onetwo"))
        .Call("b", MakeInvocationExpecting("xy"));
    Receive(history, "a", 0, "one");
    Receive(history, "b", 0, "x");
    Receive(history, "a", 1, "two");
    history.Add(Answer{CallId("a")});
    history.Add(Refusal{CallId("b"), ErrorCode::kBackendFailed, false});
    CPPUNIT_ASSERT(history.Check<WholeAnswer>().empty());
  }
  void Answer_WithoutItsEnd_Fails() {
    HistoryBuilder history;
    history.Call("a", MakeInvocationExpecting("onetwo"));
    Receive(history, "a", 0, "one");
    history.Add(Answer{CallId("a")});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<WholeAnswer>().size());
  }
  void Answer_WithDuplicateChunk_Fails() {
    HistoryBuilder history;
    history.Call("a", MakeInvocationExpecting("oneone"));
    Receive(history, "a", 0, "one");
    Receive(history, "a", 0, "one");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<WholeAnswer>().size());
  }
  void Answer_WithAnotherCallersChunk_Fails() {
    HistoryBuilder history;
    history.Call("a", MakeInvocationExpecting("onetwo"))
        .Call("b", MakeInvocationExpecting("xy"));
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
  CPPUNIT_TEST(NotRunRefusal_OfRequestNeverRun_Passes);
  CPPUNIT_TEST(OtherRefusal_OfRequestRun_Passes);
  CPPUNIT_TEST(NotRunRefusal_OfRequestRunBefore_Fails);
  CPPUNIT_TEST(NotRunRefusal_OfRequestRunLater_Fails);
  CPPUNIT_TEST(NotRunRefusal_OfRequestRunUnderItsKey_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NotRunRefusal_OfRequestNeverRun_Passes() {
    HistoryBuilder history;
    history.Call("a").Call("b").Begin("b", "m1");
    Refuse(history, "a", true);
    CPPUNIT_ASSERT(history.Check<NotRunTrue>().empty());
  }
  void OtherRefusal_OfRequestRun_Passes() {
    HistoryBuilder history;
    history.Call("a").Begin("a", "m1");
    Refuse(history, "a", false);
    CPPUNIT_ASSERT(history.Check<NotRunTrue>().empty());
  }
  void NotRunRefusal_OfRequestRunBefore_Fails() {
    HistoryBuilder history;
    history.Call("a").Begin("a", "m1").End("a", "m1");
    Refuse(history, "a", true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<NotRunTrue>().size());
  }
  void NotRunRefusal_OfRequestRunLater_Fails() {
    HistoryBuilder history;
    history.Call("a");
    Refuse(history, "a", true);
    history.At(9'000).Begin("a", "m1", 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<NotRunTrue>().size());
  }
  void NotRunRefusal_OfRequestRunUnderItsKey_Fails() {
    HistoryBuilder history;
    history.Call("a", MakeUnrepeatableInvocation("k"));
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
  CPPUNIT_TEST(Unrepeatable_RunAgainForCallWithoutId_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Unrepeatable_RunOnceForTwoCalls_Passes() {
    HistoryBuilder history;
    history.Call("a", MakeUnrepeatableInvocation("k"))
        .Call("b", MakeUnrepeatableInvocation("k"));
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
    history.Call("a", MakeUnrepeatableInvocation(""))
        .Begin("a", "m1")
        .Begin("a", "m2", 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AtMostOnce>().size());
  }
  void Unrepeatable_RunForTwoCallsOfOneKey_Fails() {
    HistoryBuilder history;
    history.Call("a", MakeUnrepeatableInvocation("k"))
        .Call("b", MakeUnrepeatableInvocation("k"));
    history.Begin("a", "m1").Begin("b", "m2");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AtMostOnce>().size());
  }
  void Unrepeatable_RunAgainForCallWithoutId_Fails() {
    HistoryBuilder history;
    history.Call("a", MakeUnrepeatableInvocation("k")).Begin("a", "m1", 1, "k");
    history.Begin("unheard", "m1", 1, "k");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<AtMostOnce>().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

class GivenUpAtOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GivenUpAtOnceTest);
  CPPUNIT_TEST(GivenUp_RefusedWithinTheBound_Passes);
  CPPUNIT_TEST(GivenUp_RefusedAtDeadline_Fails);
  CPPUNIT_TEST(UnknownModel_RefusedLate_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GivenUp_RefusedWithinTheBound_Passes() {
    HistoryBuilder history;
    history.Call("a").At(5'000).Add(GivenUp{RequestId("r-a")});
    history.At(5'400);
    history.Add(Refusal{CallId("a"), ErrorCode::kOverloaded, true});
    history.At(9'000).Call("b");
    CPPUNIT_ASSERT(history.Check<GivenUpAtOnce>().empty());
  }
  void GivenUp_RefusedAtDeadline_Fails() {
    HistoryBuilder history;
    history.Call("a").At(5'000).Add(GivenUp{RequestId("r-a")});
    history.At(10'000);
    history.Add(Refusal{CallId("a"), ErrorCode::kDeadlineExceeded, true});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<GivenUpAtOnce>().size());
  }
  void UnknownModel_RefusedLate_Fails() {
    HistoryBuilder history;
    history.Call("a").At(2'000);
    history.Add(Refusal{CallId("a"), ErrorCode::kUnknownModel, true});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, history.Check<GivenUpAtOnce>().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GivenUpAtOnceTest);

}  // namespace
}  // namespace peridotshelf::history
