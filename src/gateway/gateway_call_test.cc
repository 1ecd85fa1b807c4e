#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class GatewayCallTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(GatewayCallTest);
  CPPUNIT_TEST(Handle_NoConfiguration_Answers503);
  CPPUNIT_TEST(Handle_UnknownRouteOrKey_Answers404And401);
  CPPUNIT_TEST(Call_EngineAnswers_CallerGetsItUnchanged);
  CPPUNIT_TEST(Call_EngineSaysNotRun_GoesToAnotherEngine);
  CPPUNIT_TEST(Call_AllEnginesSayNotRun_IsRefusedWithRetryAfter);
  CPPUNIT_TEST(Call_UnrepeatableConnectionLost_IsNotSentAgain);
  CPPUNIT_TEST(Call_IdempotentConnectionLost_IsSentAgain);
  CPPUNIT_TEST(Call_EngineUnreachable_GoesToAnotherEngine);
  CPPUNIT_TEST(Call_AnswerNamesAnotherRequest_IsNeverDelivered);
  CPPUNIT_TEST(Call_EngineFailsIdempotentTwice_CallerGetsItsFailure);
  CPPUNIT_TEST(Call_EngineSilent_IsAnsweredAtTheDeadline);
  CPPUNIT_TEST(HangUp_RequestRuns_EndsItAtTheEngine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Handle_NoConfiguration_Answers503() {
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
  }

  void Handle_UnknownRouteOrKey_Answers404And401() {
    Configure();
    CPPUNIT_ASSERT_EQUAL(404, Call("/nowhere/").status);
    CPPUNIT_ASSERT_EQUAL(401, Call("/call/x", {{"Key", "wrong"}}).status);
    CPPUNIT_ASSERT_EQUAL(401, Call("/call/x", {{"Key", ""}}).status);
  }

  void Call_EngineAnswers_CallerGetsItUnchanged() {
    AddEngine(&AnswerWell);
    Configure();
    const auto answer = Call("/call/x?q=%20a");
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/x?q=%20a"), answer.body);
    CPPUNIT_ASSERT(Engine(0).requests[0].FindHeader("Team") == "team");
    CPPUNIT_ASSERT(!Engine(0).requests[0].FindHeader("Key"));
  }

  void Call_EngineSaysNotRun_GoesToAnotherEngine() {
    AddEngine(&AnswerNotRun);
    AddEngine(&AnswerWell);
    Configure();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, Engine(1).Count());
  }

  void Call_AllEnginesSayNotRun_IsRefusedWithRetryAfter() {
    AddEngine(&AnswerNotRun);
    AddEngine(&AnswerNotRun);
    Configure();
    const auto answer = Call("/post/x");
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(!m_retry_after.empty());
  }

  void Call_UnrepeatableConnectionLost_IsNotSentAgain() {
    AddEngine(&BreakOff);
    AddEngine(&BreakOff);
    Configure();
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Engine(0).Count() + Engine(1).Count());
  }

  void Call_IdempotentConnectionLost_IsSentAgain() {
    AddEngine(&BreakOff);
    AddEngine(&AnswerWell);
    Configure();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
    }
  }

  void Call_EngineUnreachable_GoesToAnotherEngine() {
    AddEngine(&AnswerWell);
    Register("gone", "127.0.0.1:" + std::to_string(testing::FreePort()),
             "calls");
    Configure();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    }
  }

  void Call_AnswerNamesAnotherRequest_IsNeverDelivered() {
    AddEngine(&AnswerOfAnother);
    Configure();
    const auto answer = Call("/post/x");
    CPPUNIT_ASSERT_EQUAL(502, answer.status);
    CPPUNIT_ASSERT(answer.body.find("crossed") == std::string::npos);
  }

  void Call_EngineFailsIdempotentTwice_CallerGetsItsFailure() {
    const auto fail = [](const ServerRequest& request,
                         const ResponderPtr& responder) {
      responder->Reply(500, Signed(request), "failure");
    };
    AddEngine(fail);
    AddEngine(fail);
    Configure();
    const auto answer = Call("/call/x");
    CPPUNIT_ASSERT_EQUAL(500, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("failure"), answer.body);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Engine(0).Count() + Engine(1).Count());
  }

  void Call_EngineSilent_IsAnsweredAtTheDeadline() {
    AddEngine([this](const ServerRequest&, const ResponderPtr& responder) {
      m_held.push_back(responder);
    });
    Configure();
    const TimePoint began = SteadyClock().Now();
    CPPUNIT_ASSERT_EQUAL(504, Call("/post/x", {{"Left", "300"}}).status);
    const Duration took = SteadyClock().Now() - began;
    CPPUNIT_ASSERT(took >= milliseconds(300) && took < milliseconds(800));
  }

  void HangUp_RequestRuns_EndsItAtTheEngine() {
    std::promise<void> running;
    std::promise<void> ended;
    AddEngine([&](const ServerRequest&, const ResponderPtr& responder) {
      m_held.push_back(responder);
      responder->OnDisconnect([&ended] { ended.set_value(); });
      running.set_value();
    });
    Configure();
    const auto call = m_callers_client->Start(MakeRequest("/call/x", {}), {});
    running.get_future().get();
    m_callers_client->Cancel(call);
    CPPUNIT_ASSERT(ended.get_future().wait_for(milliseconds(500)) ==
                   std::future_status::ready);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayCallTest);

}  // namespace
}  // namespace peridotshelf::gateway
