#include "gateway_hedge_fixture.h"
#include "peridotshelf/testing/raw_server.h"

namespace peridotshelf::gateway {
namespace {

using testing::RawConnection;
using testing::RawServer;

const std::string kOwn = "Id: request-1\r\nSignature: s\r\n";
const std::string kHead = "HTTP/1.1 200 OK\r\n" + kOwn;
const std::string kEarlyHead = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
const std::string kRefusal = "HTTP/1.1 503 Full\r\n" + kOwn + "Not-Run: 1\r\n";
const std::string kIdentity =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nStarted: 1\r\n\r\n";

/// Start of the process that the engine's registration states.
constexpr int64_t kStart = 1;

/// An engine that ends inside the head of its answer.
class BrokenHeadTest : public HedgeFixture {
  CPPUNIT_TEST_SUITE(BrokenHeadTest);
  CPPUNIT_TEST(Call_CutAfterInformationalHead_IsNeverASuccess);
  CPPUNIT_TEST(Call_CutInHeadOfIdentity_IsNeverASuccess);
  CPPUNIT_TEST(Call_CutInHeadAfterHalfARefusal_IsNeverASuccess);
  CPPUNIT_TEST(Call_HedgeCutInItsHead_FirstAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  BrokenHeadTest() : HedgeFixture(0.5) {}

  // Guard against a head that broke off and reaches a caller as a whole answer.
  void Call_CutAfterInformationalHead_IsNeverASuccess() {
    const std::string whole =
        kEarlyHead + kHead + "Content-Length: 5\r\n\r\nwhole";
    for (size_t size = 0; size < whole.size(); ++size) {
      CheckNoSuccess(whole.substr(0, size), kIdentity);
    }
    CheckSuccess(whole, kIdentity);
  }
  // The start of the process decides whether an answer without length is whole.
  void Call_CutInHeadOfIdentity_IsNeverASuccess() {
    const std::string answer = kHead + "\r\nwhole";
    for (size_t size = 0; size < kIdentity.size(); ++size) {
      CheckNoSuccess(answer, kIdentity.substr(0, size));
    }
    CheckSuccess(answer, kIdentity);
  }
  void Call_CutInHeadAfterHalfARefusal_IsNeverASuccess() {
    for (const std::string& begin :
         {kRefusal + "Content-Length: 500\r\n\r\nfull",
          kRefusal + "Transfer-Encoding: chunked\r\n\r\n5\r\nfu",
          kRefusal.substr(0, kRefusal.size() / 2)}) {
      for (size_t size = 0; size < kHead.size(); size += 3) {
        CheckNoSuccess(begin + kHead.substr(0, size), kIdentity);
      }
    }
  }
  void Call_HedgeCutInItsHead_FirstAnswers() {
    AddEngines(1);
    Prepare("/call/a");
    AddRawEngine();
    // The raw engine is the busier one, so that it gets the hedge.
    SetRawLoad(3);
    const std::string whole = kHead + "Content-Length: 5\r\n\r\nwrong";
    int hedged = 0;
    for (size_t size = 0; size + 5 < whole.size(); size += 7) {
      m_answer = whole.substr(0, size);
      const int before = m_requests;
      Script({Hold()});
      auto answer = StartCall("/call/b");
      WaitForArrivals(1);
      const TimePoint deadline = SteadyClock().Now() + kTimeForHedge;
      while (m_requests == before && SteadyClock().Now() < deadline) {
        std::this_thread::sleep_for(milliseconds(2));
      }
      if (m_requests > before) ++hedged;
      RunOnLoop([&] { RespondOk(m_held[0].request, m_held[0].responder); });
      CPPUNIT_ASSERT_EQUAL(std::string("body of /call/b"),
                           answer.get().value_or("cut"));
    }
    CPPUNIT_ASSERT(hedged > 0);
  }
  void tearDown() override {
    m_server.reset();
    HedgeFixture::tearDown();
  }

 private:
  void AddRawEngine() {
    m_server = std::make_unique<RawServer>(
        [this](RawConnection& connection) { Serve(connection); });
    Register("raw", m_server->Address(), "calls", kStart);
    Configure();
  }
  void Serve(RawConnection& connection) {
    const std::string request = connection.ReadRequest();
    if (request.empty()) return;
    if (request.find("/identity") != std::string::npos) {
      connection.Write(m_identity);
    } else {
      ++m_requests;
      connection.Write(m_answer);
    }
  }
  /// Another entry uses `running` of the four slots of the raw engine.
  void SetRawLoad(size_t running) {
    RunOnLoop([this, running] {
      std::vector<scheduling::ActiveRequest> requests(running);
      for (scheduling::ActiveRequest& request : requests) {
        request.end = SteadyClock().Now() + seconds(60);
      }
      m_active_request_table->SetPeerRequests("peer", "raw@1", requests);
    });
  }
  void CheckNoSuccess(const std::string& answer, const std::string& identity) {
    const int before = m_requests;
    Ask(answer, identity);
    CPPUNIT_ASSERT(m_requests > before);
    CPPUNIT_ASSERT_MESSAGE("cut after " + answer + " and " + identity,
                           m_status != 200 || m_call_failed);
  }
  void CheckSuccess(const std::string& answer, const std::string& identity) {
    Ask(answer, identity);
    CPPUNIT_ASSERT_EQUAL(200, m_status);
    CPPUNIT_ASSERT(!m_call_failed);
  }
  void Ask(const std::string& answer, const std::string& identity) {
    m_answer = answer;
    m_identity = identity;
    if (!m_server) AddRawEngine();
    m_status = Call("/post/x").status;
  }

  std::string m_answer;
  std::string m_identity = kIdentity;
  int m_status = 0;
  std::atomic<int> m_requests = 0;
  std::unique_ptr<RawServer> m_server;
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrokenHeadTest);

}  // namespace
}  // namespace peridotshelf::gateway
