#include <thread>

#include "gateway_fixture.h"
#include "peridotshelf/testing/raw_server.h"

namespace peridotshelf::gateway {
namespace {

using testing::RawConnection;
using testing::RawServer;

constexpr int64_t kStart = 1700000000000;

/// An engine that breaks each request off; then a process answers at its
/// address that started when the test says.
class ReplacedEngineTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(ReplacedEngineTest);
  CPPUNIT_TEST(Call_EngineIsBackAtOnce_CountsAsCrashed);
  CPPUNIT_TEST(Call_EngineRunsOn_DoesNotCountAsCrashed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that crashes engines and is not recognized, as
  // something listens at their addresses again at once.
  void Call_EngineIsBackAtOnce_CountsAsCrashed() {
    CallBreaksOff(kStart + 450);
    WaitForMetric("peridotshelf_engine_crashes_total 1");
  }
  void Call_EngineRunsOn_DoesNotCountAsCrashed() {
    CallBreaksOff(kStart);
    // Any later than the query, the crash would have been counted.
    WaitForQuery();
    RunOnLoop([] {});
    const std::string metrics = m_registry->Render();
    CPPUNIT_ASSERT(metrics.find("peridotshelf_engine_crashes_total 1") ==
                   std::string::npos);
  }

  void setUp() override {
    GatewayFixture::setUp();
    m_server = std::make_unique<RawServer>(
        [this](RawConnection& connection) { Serve(connection); });
  }
  void tearDown() override {
    m_server.reset();
    GatewayFixture::tearDown();
  }

 private:
  void CallBreaksOff(int64_t answering_start) {
    m_answering_start = answering_start;
    RunOnLoop([&] { m_directory->BeginRead(SteadyClock().Now()); });
    Register("raw", m_server->Address(), "calls", kStart);
    Configure();
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
  }

  void Serve(RawConnection& connection) {
    const std::string request = connection.ReadRequest();
    if (request.find("/identity") == std::string::npos) {
      m_has_broken = true;
      return;
    }
    const bool has_broken = m_has_broken;
    connection.Write(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: "
        "close\r\nStarted: " +
        std::to_string(has_broken ? m_answering_start : kStart) + "\r\n\r\n");
    // The client closes its connection when it has read the answer.
    connection.WaitForEnd();
    m_is_answered = has_broken;
  }

  template <class Condition>
  static void WaitUntil(Condition condition) {
    const TimePoint deadline = SteadyClock().Now() + seconds(5);
    while (!condition()) {
      CPPUNIT_ASSERT(SteadyClock().Now() < deadline);
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  void WaitForMetric(const std::string& line) {
    WaitUntil(
        [&] { return m_registry->Render().find(line) != std::string::npos; });
  }
  void WaitForQuery() {
    WaitUntil([&] { return m_is_answered.load(); });
  }

  int64_t m_answering_start = 0;
  std::atomic<bool> m_has_broken{false};
  /// A query after that was answered.
  std::atomic<bool> m_is_answered{false};
  std::unique_ptr<RawServer> m_server;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReplacedEngineTest);

}  // namespace
}  // namespace peridotshelf::gateway
