#include <array>
#include <atomic>

#include "gateway_fixture.h"
#include "peridotshelf/testing/raw_server.h"

namespace peridotshelf::gateway {
namespace {

using testing::RawConnection;
using testing::RawServer;

const std::string kEmptyBody = "Content-Length: 0\r\n\r\n";
const std::string kOwnId = "Id: request-1\r\n";
const std::string kServed =
    "HTTP/1.1 200 OK\r\nId: request-1\r\nSignature: s\r\n"
    "Content-Length: 3\r\n\r\nran";

std::string MakeEmptyAnswer(int status, const std::string& headers) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         kEmptyBody;
}

std::string MakeRefusal(int status, const std::string& headers) {
  return MakeEmptyAnswer(status, "Not-Run: 1\r\n" + headers);
}

/// Two engines that run each request that they read, and write the bytes of an
/// earlier answer too.
class RepeatedRefusalTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(RepeatedRefusalTest);
  CPPUNIT_TEST(Post_RefusalOfAnotherRequestBeforeItsAnswer_IsNoProof);
  CPPUNIT_TEST(Post_RefusalWithoutIdBeforeItsAnswer_IsNoProof);
  CPPUNIT_TEST(Post_OtherEngineWithoutIdBeforeItsAnswer_IsNoProof);
  CPPUNIT_TEST(Post_PauseOfARefusalWithoutId_IsNotApplied);
  CPPUNIT_TEST(Post_RefusalWaitsOnNewConnection_IsNoProof);
  CPPUNIT_TEST(Post_InformationalAnswerSaysNotRun_IsNoProof);
  CPPUNIT_TEST(Post_SuccessThatSaysNotRun_IsNoProof);
  CPPUNIT_TEST(Post_OwnRefusalAfterItsAnswer_IsIgnored);
  CPPUNIT_TEST(Post_RefusalOfNextRequestAfterItsAnswer_IsIgnored);
  CPPUNIT_TEST(Post_OwnRefusal_RunsAtTheOtherEngine);
  CPPUNIT_TEST(Post_SignedRefusalWithoutNotRun_IsNotPassedOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guard against a request that was run and then refused, or run twice,
  // because its engine wrote an earlier refusal once more.
  void Post_RefusalOfAnotherRequestBeforeItsAnswer_IsNoProof() {
    m_before = MakeRefusal(503, "Id: another\r\n");
    CheckRunsOnce(502);
  }
  void Post_RefusalWithoutIdBeforeItsAnswer_IsNoProof() {
    for (const int status : {400, 408, 421, 429, 503}) {
      m_before = MakeRefusal(status, "");
      CheckRunsOnce(502);
    }
  }
  void Post_OtherEngineWithoutIdBeforeItsAnswer_IsNoProof() {
    m_before = "HTTP/1.1 421 Misdirected\r\nOther-Engine: 1\r\n" + kEmptyBody;
    CheckRunsOnce(502);
  }
  void Post_PauseOfARefusalWithoutId_IsNotApplied() {
    m_before = MakeRefusal(503, "Pause-Ms: 900\r\n");
    for (int i = 0; i < kCallsForBothEngines; ++i) CheckRunsOnce(502);
    m_before = "";
    CheckRunsOnce(200);
  }
  void Post_RefusalWaitsOnNewConnection_IsNoProof() {
    m_on_accept = MakeRefusal(503, "");
    CheckRunsAtMostOnce(502);
    m_on_accept = MakeRefusal(503, "Id: another\r\n");
    CheckRunsAtMostOnce(502);
  }
  void Post_InformationalAnswerSaysNotRun_IsNoProof() {
    m_before = "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n" + kOwnId + "\r\n";
    CheckRunsOnce(200);
    // No protocol was offered, so what follows is not read as an answer.
    m_before = "HTTP/1.1 101 Switching\r\nNot-Run: 1\r\n" + kOwnId + "\r\n";
    CheckRunsOnce(502);
  }
  void Post_SuccessThatSaysNotRun_IsNoProof() {
    m_before = MakeRefusal(200, kOwnId + "Signature: s\r\n");
    CheckRunsOnce(200);
    m_before = MakeRefusal(500, kOwnId + "Signature: s\r\n");
    CheckRunsOnce(500);
  }
  void Post_OwnRefusalAfterItsAnswer_IsIgnored() {
    m_after = MakeRefusal(503, kOwnId);
    CheckRunsOnce(200);
  }
  // A connection carries one request, so nothing of it reaches the next one.
  void Post_RefusalOfNextRequestAfterItsAnswer_IsIgnored() {
    m_after = MakeRefusal(503, kOwnId) + MakeRefusal(503, "") + kServed;
    for (int i = 0; i < kRepeats; ++i) CheckRunsOnce(200);
    m_waits_before_copy = true;
    for (int i = 0; i < kRepeats; ++i) CheckRunsOnce(200);
  }
  void Post_OwnRefusal_RunsAtTheOtherEngine() {
    m_first_answer = MakeRefusal(503, kOwnId);
    AddRawEngines();
    CPPUNIT_ASSERT_EQUAL(200, Call("/post/x").status);
    CPPUNIT_ASSERT_EQUAL(2, m_requests.load());
  }
  // Guards against a promise to the caller that its engine did not make.
  void Post_SignedRefusalWithoutNotRun_IsNotPassedOn() {
    for (const int status : {408, 429, 503}) {
      m_before = MakeEmptyAnswer(status, kOwnId + "Signature: s\r\n");
      CheckRunsOnce(502);
    }
  }

  void setUp() override {
    GatewayFixture::setUp();
    for (auto& server : m_servers) {
      server = std::make_unique<RawServer>(
          [this](RawConnection& connection) { Serve(connection); });
    }
  }
  void tearDown() override {
    for (auto& server : m_servers) server.reset();
    GatewayFixture::tearDown();
  }

 private:
  static constexpr int kRepeats = 40;
  static constexpr int kCallsForBothEngines = 6;

  void Serve(RawConnection& connection) {
    if (!m_on_accept.empty()) connection.Write(m_on_accept);
    const std::string request = connection.ReadRequest();
    if (request.empty() || request.find("/identity") != std::string::npos) {
      return;
    }
    if (++m_requests == 1 && !m_first_answer.empty()) {
      connection.Write(m_first_answer);
      return;
    }
    if (!m_waits_before_copy) {
      connection.Write(m_before + kServed + m_after);
      return;
    }
    connection.Write(m_before + kServed);
    std::this_thread::sleep_for(milliseconds(1));
    connection.Write(m_after);
  }

  void AddRawEngines() {
    if (m_is_configured) return;
    for (size_t i = 0; i < m_servers.size(); ++i) {
      Register("raw-" + std::to_string(i), m_servers[i]->Address(), "calls");
    }
    Configure();
    m_is_configured = true;
  }

  void CheckRunsAtMostOnce(int status) {
    AddRawEngines();
    m_requests = 0;
    const auto response = Call("/post/x");
    CPPUNIT_ASSERT_EQUAL(status, response.status);
    CPPUNIT_ASSERT(m_requests <= 1);
  }
  void CheckRunsOnce(int status) {
    CheckRunsAtMostOnce(status);
    CPPUNIT_ASSERT_EQUAL(1, m_requests.load());
  }

  /// Bytes that an engine writes: before it reads the request, before its
  /// answer, after it, and instead of the first answer.
  std::string m_on_accept;
  std::string m_before;
  std::string m_after;
  std::string m_first_answer;
  bool m_waits_before_copy = false;
  bool m_is_configured = false;
  std::atomic<int> m_requests = 0;
  std::array<std::unique_ptr<RawServer>, 2> m_servers;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedRefusalTest);

}  // namespace
}  // namespace peridotshelf::gateway
