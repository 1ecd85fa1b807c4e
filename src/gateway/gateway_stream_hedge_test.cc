#include <algorithm>

#include "gateway_hedge_fixture.h"

namespace peridotshelf::gateway {
namespace {

std::string MakeNamedEvent(int64_t number, const std::string& data) {
  return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
}

class GatewayStreamHedgeTest : public HedgeFixture {
  CPPUNIT_TEST_SUITE(GatewayStreamHedgeTest);
  CPPUNIT_TEST(Stream_SlowFirstEngine_HedgeAnswersAndFirstIsCancelled);
  CPPUNIT_TEST(Stream_EventsOfLoserFollow_NeverReachTheCaller);
  CPPUNIT_TEST(Stream_HedgeSendsHalfAnEvent_FirstAnswers);
  CPPUNIT_TEST(Stream_WinnerBreaks_IsCutSinceAttemptsAreUsedUp);
  CPPUNIT_TEST(Stream_HasBegun_IsNotHedged);
  CPPUNIT_TEST(Stream_ResumedByCaller_IsNotHedged);
  CPPUNIT_TEST(Stream_NotResumable_IsNotHedged);
  CPPUNIT_TEST_SUITE_END();

 public:
  GatewayStreamHedgeTest() : HedgeFixture(0.5) {}

  void Stream_SlowFirstEngine_HedgeAnswersAndFirstIsCancelled() {
    PrepareStreams();
    Script({Hold()});
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1), Call("/model/b", kStream).body);
    CheckCancelled(1);
    CheckArrivals(2);
    CheckCounted("won");
    CheckNoLoadIsLeft();
  }
  // Guards against a stream joined from the pieces of two runs.
  void Stream_EventsOfLoserFollow_NeverReachTheCaller() {
    PrepareStreams();
    Script({Hold(), [this](const ServerRequest& request,
                           const ResponderPtr& responder) {
              responder->BeginStream(200, SignedHeaders(request));
              responder->Write(MakeNamedEvent(1, "hedge"));
              m_threads->RunAfter(milliseconds(5), [this] {
                const HeldRequest& first = m_held[0];
                first.responder->BeginStream(200, SignedHeaders(first.request));
                first.responder->Write(MakeNamedEvent(1, "first") +
                                       MakeNamedEvent(2, "first"));
              });
              m_threads->RunAfter(milliseconds(60), [responder] {
                responder->Write(MakeNamedEvent(2, "hedge"));
                responder->EndStream();
              });
            }});
    CPPUNIT_ASSERT_EQUAL(
        MakeNamedEvent(1, "hedge") + MakeNamedEvent(2, "hedge"),
        Call("/model/b", kStream).body);
    CheckCancelled(1);
    CheckCounted("won");
    CheckNoLoadIsLeft();
  }
  void Stream_HedgeSendsHalfAnEvent_FirstAnswers() {
    PrepareStreams();
    Script({Hold(), [this](const ServerRequest& request,
                           const ResponderPtr& responder) {
              // Without a holder of the responder the connection would close.
              m_held.push_back({request, responder});
              responder->BeginStream(200, SignedHeaders(request));
              responder->Write("id: 1\ndata: hal");
              m_threads->RunAfter(milliseconds(30), [this] {
                RespondWithStream(m_held[0].request, m_held[0].responder);
              });
            }});
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1), Call("/model/b", kStream).body);
    CheckCounted("lost");
    CheckNoLoadIsLeft();
  }
  // The route allows two attempts; the loser counts as one.
  void Stream_WinnerBreaks_IsCutSinceAttemptsAreUsedUp() {
    PrepareStreams();
    Script({Hold(), [this](const ServerRequest& request,
                           const ResponderPtr& responder) {
              responder->BeginStream(200, SignedHeaders(request));
              responder->Write(MakeEvent(1));
              m_threads->RunAfter(milliseconds(50),
                                  [responder] { responder->Abort(); });
            }});
    Call("/model/b", kStream);
    CPPUNIT_ASSERT(m_call_failed);
    CheckArrivals(2);
    CheckCounted("won");
    CheckNoLoadIsLeft();
  }
  void Stream_HasBegun_IsNotHedged() {
    PrepareStreams();
    Script(
        {[this](const ServerRequest& request, const ResponderPtr& responder) {
          responder->BeginStream(200, SignedHeaders(request));
          responder->Write(MakeEvent(1));
          m_threads->RunAfter(kTimeForHedge, [responder] {
            responder->Write(MakeEvent(2));
            responder->EndStream();
          });
        }});
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1) + MakeEvent(2),
                         Call("/model/b", kStream).body);
    CheckArrivals(1);
  }
  void Stream_ResumedByCaller_IsNotHedged() {
    PrepareStreams();
    auto headers = kStream;
    headers.push_back({"Resume", "0"});
    CheckStreamNotHedged("/model/b", headers);
  }
  void Stream_NotResumable_IsNotHedged() {
    AddEngines(2);
    Prepare("/once/a");
    CheckStreamNotHedged("/once/b");
  }

 private:
  inline static const std::vector<Header> kStream = {{"Tokens", "1000"}};

  void PrepareStreams() {
    AddEngines(2, "models");
    Prepare("/model/a", kStream);
  }
};

/// With a share of 0.02 the first hedge needs 50 requests.
class GatewayHedgeLimitTest : public HedgeFixture {
  CPPUNIT_TEST_SUITE(GatewayHedgeLimitTest);
  CPPUNIT_TEST(Call_LimitUsedUp_IsNotHedged);
  CPPUNIT_TEST(Call_LimitNotUsedUp_IsHedgedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  GatewayHedgeLimitTest() : HedgeFixture(0.02) {}

  void Call_LimitUsedUp_IsNotHedged() {
    AddEngines(2);
    Prepare("/call/a");
    CheckNotHedged("/call/b");
    CheckCounted("not_sent_limit");
  }
  void Call_LimitNotUsedUp_IsHedgedOnce() {
    AddEngines(2);
    Prepare("/call/a");
    Prepare("/call/a");
    Prepare("/call/a");
    Script({Hold()});
    CPPUNIT_ASSERT_EQUAL(200, Call("/call/b").status);
    CheckCounted("won");
    CheckNotHedged("/call/b");
  }
};

class GatewayWithoutHedgesTest : public HedgeFixture {
  CPPUNIT_TEST_SUITE(GatewayWithoutHedgesTest);
  CPPUNIT_TEST(Call_HedgingOff_IsNotHedged);
  CPPUNIT_TEST(Stream_HedgingOff_IsNotHedged);
  CPPUNIT_TEST(Metrics_HedgingOff_HaveNoCounter);
  CPPUNIT_TEST_SUITE_END();

 public:
  GatewayWithoutHedgesTest() : HedgeFixture(0) {}

  void Call_HedgingOff_IsNotHedged() {
    AddEngines(2);
    Prepare("/call/a");
    CheckNotHedged("/call/b");
  }
  void Stream_HedgingOff_IsNotHedged() {
    AddEngines(2, "models");
    Prepare("/model/a", {{"Tokens", "1000"}});
    CheckStreamNotHedged("/model/b", {{"Tokens", "1000"}});
  }
  void Metrics_HedgingOff_HaveNoCounter() {
    const auto names = m_registry->ListNames();
    CPPUNIT_ASSERT(std::find(names.begin(), names.end(),
                             "peridotshelf_hedges_total") == names.end());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStreamHedgeTest);
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayHedgeLimitTest);
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayWithoutHedgesTest);

}  // namespace
}  // namespace peridotshelf::gateway
