#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

/// A gateway with the ratio of a deployment, which has just started.
class RetryLimitTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(RetryLimitTest);
  CPPUNIT_TEST(Call_GatewayJustStarted_IsNotRetried);
  CPPUNIT_TEST(Call_RequestsEarnedARetry_IsRetriedOnce);
  CPPUNIT_TEST(Call_RetryReachesNoEngine_IsNotCharged);
  CPPUNIT_TEST(Stream_EndsBeforeItsRetryIsSent_ReturnsTheRetry);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    GatewayFixture::setUp();
    RunOnLoop([this] {
      m_gateway->SetRetryLimits({0.2, 0, std::chrono::minutes(10)});
    });
    AddEngine([this](const auto& request, const auto& responder) {
      Serve(request, responder);
    });
    AddEngine([this](const auto& request, const auto& responder) {
      Serve(request, responder);
    });
    Configure();
  }

  void Call_GatewayJustStarted_IsNotRetried() {
    m_are_sound = false;
    CPPUNIT_ASSERT_EQUAL(502, Call("/call/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountArrivals());
  }
  void Call_RequestsEarnedARetry_IsRetriedOnce() {
    EarnARetry("/call/x");
    Call("/call/x");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, CountArrivals());
    Call("/call/x");
    CPPUNIT_ASSERT_EQUAL(size_t{3}, CountArrivals());
  }
  void Call_RetryReachesNoEngine_IsNotCharged() {
    EarnARetry("/call/x");
    Register("absent", "127.0.0.1:" + std::to_string(testing::FindFreePort()),
             "calls");
    // Each of the two may try the absent engine.
    Call("/call/x");
    Call("/call/x");
    CPPUNIT_ASSERT_EQUAL(size_t{3}, CountArrivals());
  }
  void Stream_EndsBeforeItsRetryIsSent_ReturnsTheRetry() {
    Register("engine-0", EngineAt(0).address, "models");
    Register("engine-1", EngineAt(1).address, "models");
    EarnARetry("/model/x");
    RunOnLoop([this] { OccupySlots(1, 4); });
    Call("/model/x", {{"Tokens", "100"}, {"Left", "300"}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountArrivals());
    RunOnLoop([this] { OccupySlots(1, 0); });
    Call("/model/x", {{"Tokens", "100"}});
    CPPUNIT_ASSERT_EQUAL(size_t{3}, CountArrivals());
  }

 private:
  static constexpr int kRequestsForOneRetry = 12;

  void Serve(const ServerRequest& request, const ResponderPtr& responder) {
    if (!m_are_sound) {
      responder->Abort();
    } else if (request.target.starts_with("/model/")) {
      responder->BeginStream(200, SignedHeaders(request));
      responder->Write(MakeEvent(1));
      responder->EndStream();
    } else {
      RespondOk(request, responder);
    }
  }
  /// Sends as many requests as earn one retry; all later ones fail.
  void EarnARetry(const std::string& target) {
    for (int i = 0; i < kRequestsForOneRetry; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call(target, {{"Tokens", "100"}}).status);
    }
    m_arrivals_before = EngineAt(0).Count() + EngineAt(1).Count();
    m_are_sound = false;
  }
  /// Returns the arrivals at engines of requests that failed.
  size_t CountArrivals() {
    return EngineAt(0).Count() + EngineAt(1).Count() - m_arrivals_before;
  }

  std::atomic<bool> m_are_sound = true;
  size_t m_arrivals_before = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RetryLimitTest);

}  // namespace
}  // namespace peridotshelf::gateway
