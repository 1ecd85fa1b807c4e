#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class GatewayCallTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(GatewayCallTest);
  CPPUNIT_TEST(Handle_NoConfiguration_Returns503);
  CPPUNIT_TEST(Handle_UnknownRouteOrKey_Returns404Or401);
  CPPUNIT_TEST(Call_EngineResponds_CallerGetsResponseUnchanged);
  CPPUNIT_TEST(Call_EngineReportsNotRun_IsSentToAnotherEngine);
  CPPUNIT_TEST(Call_EngineSaysThatItLeaves_GetsNoFurtherRequest);
  CPPUNIT_TEST(Call_RejectionSaysThatEngineLeaves_GetsNoFurtherRequest);
  CPPUNIT_TEST(Call_OnlyEngineLeaves_IsRefusedAtOnce);
  CPPUNIT_TEST(Call_EngineAsksForAPause_GetsNoRequestUntilItsEnd);
  CPPUNIT_TEST(Call_AllEnginesAskForAPause_IsRefusedUntilTheFirstEnd);
  CPPUNIT_TEST(Call_OneEngineStatesALimit_OthersGetTheRequests);
  CPPUNIT_TEST(Call_AllEnginesAtTheirLimits_IsRefusedAtOnce);
  CPPUNIT_TEST(Call_RepeatAtEngineAtItsLimit_IsRefused);
  CPPUNIT_TEST(Call_AllEnginesReportNotRun_IsRefusedWithRetryAfter);
  CPPUNIT_TEST(Call_UnrepeatableConnectionLost_IsNotRetried);
  CPPUNIT_TEST(Call_IdempotentConnectionLost_IsRetried);
  CPPUNIT_TEST(Call_EngineUnreachable_IsSentToAnotherEngine);
  CPPUNIT_TEST(Call_ResponseToAnotherRequest_IsNotDelivered);
  CPPUNIT_TEST(Call_IdempotentFailsTwice_CallerGetsEngineFailure);
  CPPUNIT_TEST(Call_EngineUnresponsive_Returns504AtDeadline);
  CPPUNIT_TEST(Disconnect_RequestRunning_CancelsItAtEngine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Handle_NoConfiguration_Returns503() {
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
  }

  void Handle_UnknownRouteOrKey_Returns404Or401() {
    Configure();
    CPPUNIT_ASSERT_EQUAL(404, Call("/nowhere/").status);
    CPPUNIT_ASSERT_EQUAL(401, Call("/call/x", {{"Key", "wrong"}}).status);
    CPPUNIT_ASSERT_EQUAL(401, Call("/call/x", {{"Key", ""}}).status);
  }

  void Call_EngineResponds_CallerGetsResponseUnchanged() {
    AddEngine(&RespondOk);
    Configure();
    const auto response = Call("/call/x?q=%20a");
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("body of /call/x?q=%20a"), response.body);
    CPPUNIT_ASSERT(EngineAt(0).requests[0].FindHeader("Team") == "team");
    CPPUNIT_ASSERT(!EngineAt(0).requests[0].FindHeader("Key"));
  }

  void Call_EngineReportsNotRun_IsSentToAnotherEngine() {
    AddEngine(&RespondNotRun);
    AddEngine(&RespondOk);
    Configure();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, EngineAt(1).Count());
  }

  // Guards against requests at an engine that leaves, while the store has it as
  // ready.
  void Call_EngineSaysThatItLeaves_GetsNoFurtherRequest() {
    AddEngine(&RespondLeaving);
    AddEngine(&RespondOk);
    Configure();
    for (int i = 0; i < 12; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
      Register("engine-0", EngineAt(0).address, "calls");
    }
    CPPUNIT_ASSERT(EngineAt(0).Count() <= 1);
  }
  void Call_RejectionSaysThatEngineLeaves_GetsNoFurtherRequest() {
    AddEngine([](const ServerRequest& request, const ResponderPtr& responder) {
      auto headers = NotRunHeaders(request);
      headers.push_back({"Leaving", "1"});
      responder->Reply(503, std::move(headers), "");
    });
    AddEngine(&RespondNotRun);
    Configure();
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count());
  }
  void Call_OnlyEngineLeaves_IsRefusedAtOnce() {
    AddEngine(&RespondLeaving);
    Configure();
    CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
    CPPUNIT_ASSERT(!m_retry_after.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count());
  }

  // Guards against repeats and new requests at an engine that rejected one with
  // a Retry-After.
  void Call_EngineAsksForAPause_GetsNoRequestUntilItsEnd() {
    AddEngine(&RespondWithPause);
    AddEngine(&RespondNotRun);
    Configure();
    const TimePoint begin = SteadyClock().Now();
    while (SteadyClock().Now() - begin < milliseconds(700)) Call("/call/x");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count());
    std::this_thread::sleep_for(milliseconds(500));
    for (int i = 0; i < 3; ++i) Call("/call/x");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, EngineAt(0).Count());
  }
  void Call_AllEnginesAskForAPause_IsRefusedUntilTheFirstEnd() {
    AddEngine(&RespondWithPause);
    AddEngine(&RespondWithPause);
    Configure();
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
    const double wait_s = std::stod(m_retry_after);
    CPPUNIT_ASSERT(wait_s > 0.5 && wait_s < 1.5);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, EngineAt(0).Count() + EngineAt(1).Count());
  }

  void Call_OneEngineStatesALimit_OthersGetTheRequests() {
    AddEngine(&RespondWithLimit);
    AddEngine(&RespondOk);
    Configure();
    for (int i = 0; i < 12; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
    }
    CPPUNIT_ASSERT(EngineAt(0).Count() <= 1);
  }

  void Call_AllEnginesAtTheirLimits_IsRefusedAtOnce() {
    AddEngine(&RespondWithLimit);
    Configure();
    // The first response states the limit; four requests are left in 4 s.
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
    }
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
    CPPUNIT_ASSERT(!m_retry_after.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{5}, EngineAt(0).Count());
  }

  // Guards against repeats that exceed an engine's limit.
  void Call_RepeatAtEngineAtItsLimit_IsRefused() {
    AddEngine(&RespondWithLimit);
    Configure();
    for (int i = 0; i < 5; ++i) Call("/call/x");
    AddEngine(&RespondNotRun);
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(1).Count());
    CPPUNIT_ASSERT_EQUAL(size_t{5}, EngineAt(0).Count());
  }

  void Call_AllEnginesReportNotRun_IsRefusedWithRetryAfter() {
    AddEngine(&RespondNotRun);
    AddEngine(&RespondNotRun);
    Configure();
    const auto response = Call("/post/x");
    CPPUNIT_ASSERT_EQUAL(503, response.status);
    CPPUNIT_ASSERT(!m_retry_after.empty());
  }

  void Call_UnrepeatableConnectionLost_IsNotRetried() {
    AddEngine(&AbortConnection);
    AddEngine(&AbortConnection);
    Configure();
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count() + EngineAt(1).Count());
  }

  void Call_IdempotentConnectionLost_IsRetried() {
    AddEngine(&AbortConnection);
    AddEngine(&RespondOk);
    Configure();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
    }
  }

  void Call_EngineUnreachable_IsSentToAnotherEngine() {
    AddEngine(&RespondOk);
    Register("gone", "127.0.0.1:" + std::to_string(testing::FindFreePort()),
             "calls");
    Configure();
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    }
  }

  void Call_ResponseToAnotherRequest_IsNotDelivered() {
    AddEngine(&RespondToAnotherRequest);
    Configure();
    const auto response = Call("/post/x");
    CPPUNIT_ASSERT_EQUAL(502, response.status);
    CPPUNIT_ASSERT(response.body.find("crossed") == std::string::npos);
  }

  void Call_IdempotentFailsTwice_CallerGetsEngineFailure() {
    const auto fail = [](const ServerRequest& request,
                         const ResponderPtr& responder) {
      responder->Reply(500, SignedHeaders(request), "failure");
    };
    AddEngine(fail);
    AddEngine(fail);
    Configure();
    const auto response = Call("/call/x");
    CPPUNIT_ASSERT_EQUAL(500, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("failure"), response.body);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, EngineAt(0).Count() + EngineAt(1).Count());
  }

  void Call_EngineUnresponsive_Returns504AtDeadline() {
    AddEngine([this](const ServerRequest&, const ResponderPtr& responder) {
      m_open_responders.push_back(responder);
    });
    Configure();
    const TimePoint start = SteadyClock().Now();
    CPPUNIT_ASSERT_EQUAL(504, Call("/post/x", {{"Left", "300"}}).status);
    const Duration elapsed = SteadyClock().Now() - start;
    CPPUNIT_ASSERT(elapsed >= milliseconds(300) && elapsed < milliseconds(800));
  }

  void Disconnect_RequestRunning_CancelsItAtEngine() {
    std::promise<void> running;
    std::promise<void> ended;
    AddEngine([&](const ServerRequest&, const ResponderPtr& responder) {
      m_open_responders.push_back(responder);
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
