#include "gateway_hedge_fixture.h"

namespace peridotshelf::gateway {
namespace {

class GatewayHedgeTest : public HedgeFixture {
  CPPUNIT_TEST_SUITE(GatewayHedgeTest);
  CPPUNIT_TEST(Call_SlowFirstEngine_HedgeAnswersAndFirstIsCancelled);
  CPPUNIT_TEST(Call_BothAnswer_CallerGetsOneAnswer);
  CPPUNIT_TEST(Call_FirstAnswersFirst_HedgeIsCancelled);
  CPPUNIT_TEST(Call_HedgeNamesAnotherRequest_FirstAnswers);
  CPPUNIT_TEST(Call_FirstFailsWhileHedgeRuns_HedgeAnswersWithoutRetry);
  CPPUNIT_TEST(Call_HedgeFails_FirstAnswersWithoutRetry);
  CPPUNIT_TEST(Call_BothBreak_IsLostWithoutThirdRun);
  CPPUNIT_TEST(Call_BothProveNotRun_IsRetried);
  CPPUNIT_TEST(Call_NoneProvedToHaveRun_IsRefused);
  CPPUNIT_TEST(Call_OneMayHaveRun_IsNotRefused);
  CPPUNIT_TEST(Call_CallerLeaves_BothAreCancelled);
  CPPUNIT_TEST(Call_DeadlinePasses_BothAreCancelledAndNotRefused);
  CPPUNIT_TEST(Call_HedgedAndSlowAgain_IsNotHedgedTwice);
  CPPUNIT_TEST(Call_Unrepeatable_IsNotHedged);
  CPPUNIT_TEST(Call_OtherEngineStatesLimit_IsNotHedged);
  CPPUNIT_TEST(Call_OtherEngineLeaves_IsNotHedged);
  CPPUNIT_TEST(Call_OtherEnginePaused_IsNotHedged);
  CPPUNIT_TEST(Call_SlowAgainAndAgain_SlowEngineIsAvoided);
  CPPUNIT_TEST_SUITE_END();

 public:
  GatewayHedgeTest() : HedgeFixture(0.5) {}

  void Call_SlowFirstEngine_HedgeAnswersAndFirstIsCancelled() {
    AddEngines(2);
    Prepare("/call/a");
    Script({Hold()});
    const auto answer = Call("/call/b");
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/b"), answer.body);
    CheckCancelled(1);
    CheckArrivals(2);
    CheckCounted("won");
    CheckNoLoadIsLeft();
  }
  // Guards against two answers on one connection of a caller.
  void Call_BothAnswer_CallerGetsOneAnswer() {
    AddEngines(2);
    Prepare("/call/a");
    Script({Hold(), BothRun(&RespondOk)});
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/b"), Call("/call/b").body);
    CPPUNIT_ASSERT_EQUAL(1, Counted("won") + Counted("lost"));
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/c"), Call("/call/c").body);
    CheckNoLoadIsLeft();
  }
  void Call_FirstAnswersFirst_HedgeIsCancelled() {
    AddEngines(2);
    Prepare("/call/a");
    Script({Hold(), Hold()});
    auto answer = StartCall("/call/b");
    WaitForArrivals(2);
    RunOnLoop([&] { RespondOk(m_held[0].request, m_held[0].responder); });
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/b"),
                         answer.get().value_or("cut"));
    CheckCancelled(1);
    CheckCounted("lost");
    CheckNoLoadIsLeft();
  }
  // Guards against an answer of the hedge that is taken unchecked.
  void Call_HedgeNamesAnotherRequest_FirstAnswers() {
    AddEngines(2);
    Prepare("/call/a");
    Script({Hold(), [this](const ServerRequest& request,
                           const ResponderPtr& responder) {
              RespondToAnotherRequest(request, responder);
              m_threads->RunAfter(milliseconds(50), [this] {
                RespondOk(m_held[0].request, m_held[0].responder);
              });
            }});
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/b"), Call("/call/b").body);
    CheckArrivals(2);
    CheckCounted("failed");
  }
  void Call_FirstFailsWhileHedgeRuns_HedgeAnswersWithoutRetry() {
    AddEngines(3);
    Prepare("/call/a");
    Script({Hold(), FailFirstThenRespond()});
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/b"), Call("/call/b").body);
    CheckArrivals(2);
    CheckCounted("won");
    CheckNoLoadIsLeft();
  }
  void Call_HedgeFails_FirstAnswersWithoutRetry() {
    AddEngines(3);
    Prepare("/call/a");
    Script({Hold(), FailThenRespondToFirst()});
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/b"), Call("/call/b").body);
    CheckArrivals(2);
    CheckCounted("failed");
    CheckNoLoadIsLeft();
  }
  void Call_BothBreak_IsLostWithoutThirdRun() {
    AddEngines(3);
    Prepare("/call/a");
    Script({Hold(), BothRun(&AbortConnection)});
    CPPUNIT_ASSERT_EQUAL(502, Call("/call/b").status);
    CheckArrivals(2);
    CheckCounted("failed");
    CheckNoLoadIsLeft();
  }
  void Call_BothProveNotRun_IsRetried() {
    AddEngines(3);
    Prepare("/call/a");
    Script({Hold(), BothRun(&RespondNotRun)});
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/b"), Call("/call/b").body);
    CheckArrivals(3);
  }
  void Call_NoneProvedToHaveRun_IsRefused() {
    AddEngines(3);
    Prepare("/call/a");
    Script({Hold(), BothRun(&RespondNotRun), &RespondNotRun, &RespondNotRun});
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/b").status);
    CheckArrivals(4);
  }
  // Guards against a 503 for a request that one of its attempts may have run.
  void Call_OneMayHaveRun_IsNotRefused() {
    AddEngines(3);
    Prepare("/call/a");
    Script(
        {Hold(),
         [this](const ServerRequest& request, const ResponderPtr& responder) {
           m_held[0].responder->Abort();
           RespondNotRun(request, responder);
         },
         &RespondNotRun, &RespondNotRun});
    CPPUNIT_ASSERT_EQUAL(502, Call("/call/b").status);
  }
  void Call_CallerLeaves_BothAreCancelled() {
    AddEngines(2);
    Prepare("/call/a");
    Script({Hold(), Hold()});
    http::ClientCallbacks callbacks;
    callbacks.on_head = [](const http::ClientResponseHead&) {};
    callbacks.on_data = [](std::string_view) {};
    callbacks.on_done = [](const Result<int>&) {};
    const auto call = m_callers_client->Start(MakeRequest("/call/b", {}),
                                              std::move(callbacks));
    WaitForArrivals(2);
    m_callers_client->Cancel(call);
    CheckCancelled(2);
    CheckCounted("cancelled");
    CheckNoLoadIsLeft();
  }
  void Call_DeadlinePasses_BothAreCancelledAndNotRefused() {
    AddEngines(2);
    Prepare("/call/a");
    Script({Hold(), Hold()});
    CPPUNIT_ASSERT_EQUAL(504, Call("/call/b", {{"Left", "900"}}).status);
    CheckCancelled(2);
    CheckArrivals(2);
    CheckCounted("cancelled");
    CheckNoLoadIsLeft();
  }
  void Call_HedgedAndSlowAgain_IsNotHedgedTwice() {
    AddEngines(4);
    Prepare("/call/a");
    Script({Hold(), Hold()});
    auto answer = StartCall("/call/b");
    WaitForArrivals(2);
    std::this_thread::sleep_for(kTimeForHedge);
    CheckArrivals(2);
    RunOnLoop([&] { RespondOk(m_held[1].request, m_held[1].responder); });
    CPPUNIT_ASSERT(answer.get().has_value());
  }
  void Call_Unrepeatable_IsNotHedged() {
    AddEngines(2);
    Prepare("/post/a");
    CheckNotHedged("/post/b");
  }
  void Call_OtherEngineStatesLimit_IsNotHedged() {
    AddEngines(1);
    Prepare("/call/a");
    AddEngine(&RespondWithLimit);
    SendToEngine(1);
    CheckNotHedged("/call/b");
    CheckCounted("not_sent_load");
  }
  void Call_OtherEngineLeaves_IsNotHedged() {
    AddEngines(1);
    Prepare("/call/a");
    AddEngine(&RespondLeaving);
    SendToEngine(1);
    CheckNotHedged("/call/b");
  }
  void Call_OtherEnginePaused_IsNotHedged() {
    AddEngines(1);
    Prepare("/call/a");
    AddEngine(&RespondWithPause);
    SendToEngine(1);
    CheckNotHedged("/call/b");
  }
  // Guards against hedges that hide from the placement that an engine is slow:
  // its cancelled calls have no duration.
  void Call_SlowAgainAndAgain_SlowEngineIsAvoided() {
    AddEngines(2);
    Prepare("/call/a");
    // The engine that was the fastest in the prepared calls is the first.
    Script({Hold()});
    Call("/call/b");
    const size_t slow = EngineAt(0).Count() > EngineAt(1).Count() ? 0 : 1;
    {
      std::scoped_lock lock(EngineAt(slow).mutex);
      EngineAt(slow).handler = Hold();
    }
    for (int i = 0; i < 10; ++i) Call("/call/b");
    const size_t before = EngineAt(slow).Count();
    for (int i = 0; i < 10; ++i) Call("/call/b");
    CPPUNIT_ASSERT(EngineAt(slow).Count() <= before + 2);
  }

 private:
  /// Sends calls until the engine has answered one, which tells the gateway its
  /// state.
  void SendToEngine(size_t index) {
    RunOnLoop([&] { m_steps.clear(); });
    for (int i = 0; i < 200 && EngineAt(index).Count() == 0; ++i) {
      // The other engine is slower than an unknown one, which is tried then.
      Script(
          {[this](const ServerRequest& request, const ResponderPtr& responder) {
            m_threads->RunAfter(milliseconds(60), [request, responder] {
              RespondOk(request, responder);
            });
          }});
      Call("/call/a");
    }
    CPPUNIT_ASSERT(EngineAt(index).Count() > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayHedgeTest);

}  // namespace
}  // namespace peridotshelf::gateway
