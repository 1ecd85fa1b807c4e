#include "peridotshelf/http/front_server.h"
#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"
#include "raw_caller.h"

namespace peridotshelf::http {
namespace {

class FrontPipeliningTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrontPipeliningTest);
  CPPUNIT_TEST(Request_BehindACutAnswer_IsNotRunAndHasNoAnswer);
  CPPUNIT_TEST(Request_BehindAnAnswer_GetsItsOwn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_threads = std::make_unique<io::IoThreads>(1);
    m_port = testing::FindFreePort();
    m_server = std::move(*FrontServer::Create(
        *m_threads, "127.0.0.1", m_port,
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          Answer(request, responder);
        }));
  }
  void tearDown() override {
    m_threads->Stop();
    m_server.reset();
  }

  // Guards against an answer to the next request that continues a cut stream.
  void Request_BehindACutAnswer_IsNotRunAndHasNoAnswer() {
    RawCaller caller(m_port);
    caller.Send(MakeRequest("/cut") + MakeRequest("/next"));
    const std::string bytes = caller.ReadAll();
    CPPUNIT_ASSERT(bytes.ends_with("\r\n\r\n5\r\nbegin\r\n"));
    m_threads->Stop();
    CPPUNIT_ASSERT_EQUAL(std::string("/cut"), m_targets);
  }

  void Request_BehindAnAnswer_GetsItsOwn() {
    RawCaller caller(m_port);
    caller.Send(MakeRequest("/first") + MakeRequest("/cut"));
    const std::string bytes = caller.ReadAll();
    const size_t first = bytes.find("body of /first");
    CPPUNIT_ASSERT(first != std::string::npos);
    CPPUNIT_ASSERT(bytes.find("begin") > first);
    m_threads->Stop();
    CPPUNIT_ASSERT_EQUAL(std::string("/first/cut"), m_targets);
  }

 private:
  static std::string MakeRequest(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: host\r\n\r\n";
  }

  void Answer(const ServerRequest& request, const ResponderPtr& responder) {
    m_targets += request.target;
    if (request.target != "/cut") {
      responder->Reply(200, {}, "body of " + request.target);
      return;
    }
    responder->BeginStream(200, {});
    responder->Write("begin");
    responder->Abort();
  }

  std::unique_ptr<io::IoThreads> m_threads;
  std::unique_ptr<FrontServer> m_server;
  /// Targets of the requests that ran.
  std::string m_targets;
  uint16_t m_port = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(FrontPipeliningTest);

}  // namespace
}  // namespace peridotshelf::http
