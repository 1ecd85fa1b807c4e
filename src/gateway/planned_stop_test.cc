#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

/// A gateway whose process stops.
class PlannedStopTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(RefuseLongRequests_StreamAndCall_OnlyStreamIsRefused);
  CPPUNIT_TEST(RefuseLongRequests_CallMayLastLonger_IsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefuseLongRequests_StreamAndCall_OnlyStreamIsRefused() {
    AddEngine(&RespondOk);
    Configure();
    RefuseRequestsLongerThan(std::chrono::minutes(1));
    CPPUNIT_ASSERT_EQUAL(503, Call("/stream/x").status);
    CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
  }
  // Guards against a call that is cut at the end of a planned stop.
  void RefuseLongRequests_CallMayLastLonger_IsRefused() {
    AddEngine(&RespondOk);
    Configure();
    RefuseRequestsLongerThan(seconds(9));
    CPPUNIT_ASSERT_EQUAL(503, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(503, Call("/post/x", {{"Left", "15000"}}).status);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, EngineAt(0).Count());
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x", {{"Left", "3000"}}).status);
  }

 private:
  void RefuseRequestsLongerThan(Duration left) {
    RunOnLoop([this, left] {
      m_gateway->RefuseLongRequests(SteadyClock().Now() + left);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

}  // namespace
}  // namespace peridotshelf::gateway
