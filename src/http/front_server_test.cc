#include "peridotshelf/http/front_server.h"

#include <future>

#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"
#include "raw_caller.h"

namespace peridotshelf::http {
namespace {

using std::chrono::milliseconds;

class FrontServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrontServerTest);
  CPPUNIT_TEST(Request_OnKeepAliveConnection_IsAnsweredInOrder);
  CPPUNIT_TEST(Request_ChunkedBody_IsReadCompletely);
  CPPUNIT_TEST(Request_Malformed_IsAnswered400AndClosed);
  CPPUNIT_TEST(Request_ContentLengthAndChunked_IsAnswered400);
  CPPUNIT_TEST(Request_HeadersOverLimit_IsAnswered431);
  CPPUNIT_TEST(Request_BodyOverLimit_IsAnswered413);
  CPPUNIT_TEST(Request_SlowHead_IsAnswered408);
  CPPUNIT_TEST(Request_AnyBytes_NeverHangsTheServer);
  CPPUNIT_TEST(Abort_AfterPartOfStream_SendsItWithoutTheLastChunk);
  CPPUNIT_TEST(CloseAfterAnswers_NextAnswer_ClosesTheConnection);
  CPPUNIT_TEST(CloseIdle_IdleAndBusyConnection_ClosesOnlyTheIdleOne);
  CPPUNIT_TEST(OnDisconnect_CallerClosesWhileAnswering_IsCalled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_threads = std::make_unique<io::IoThreads>(1);
    m_port = testing::FindFreePort();
    m_server = std::move(*FrontServer::Create(
        *m_threads, "127.0.0.1", m_port,
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          m_handler(request, responder);
        }));
    m_handler = [](const ServerRequest& request,
                   const ResponderPtr& responder) {
      responder->Reply(200, {},
                       request.target + ":" + std::string(request.body));
    };
  }
  void tearDown() override {
    m_threads->Stop();
    m_responder.reset();
    m_server.reset();
  }

  void Request_OnKeepAliveConnection_IsAnsweredInOrder() {
    RawCaller caller(m_port);
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n");
    caller.Send("Host: h\r\nConnection: close\r\n\r\n");
    const std::string answers = caller.ReadAll();
    CPPUNIT_ASSERT(answers.find("/1:") < answers.find("/2:"));
    CPPUNIT_ASSERT(answers.find("/2:") != std::string::npos);
  }
  void Request_ChunkedBody_IsReadCompletely() {
    RawCaller caller(m_port);
    caller.Send(
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n");
    caller.Send("Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(caller.ReadAll().ends_with("/c:abcde"));
  }
  void Request_Malformed_IsAnswered400AndClosed() {
    CPPUNIT_ASSERT(
        SendAndReadAll("this is not HTTP\r\n\r\n").starts_with("HTTP/1.1 400"));
  }
  void Request_ContentLengthAndChunked_IsAnswered400() {
    const std::string answer = SendAndReadAll(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 400"));
  }
  void Request_HeadersOverLimit_IsAnswered431() {
    CallerLimits limits;
    limits.max_header_bytes = 100;
    SetLimits(limits);
    CPPUNIT_ASSERT(SendAndReadAll("GET / HTTP/1.1\r\nHost: h\r\nA: " +
                                  std::string(200, 'x') + "\r\n\r\n")
                       .starts_with("HTTP/1.1 431"));
  }
  void Request_BodyOverLimit_IsAnswered413() {
    CallerLimits limits;
    limits.max_body_bytes = 10;
    SetLimits(limits);
    CPPUNIT_ASSERT(
        SendAndReadAll(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n")
            .starts_with("HTTP/1.1 413"));
  }
  void Request_SlowHead_IsAnswered408() {
    CallerLimits limits;
    limits.header_timeout = milliseconds(50);
    SetLimits(limits);
    CPPUNIT_ASSERT(
        SendAndReadAll("GET / HTTP/1.1\r\n").starts_with("HTTP/1.1 408"));
  }
  void Request_AnyBytes_NeverHangsTheServer() {
    testing::CheckProperty("any bytes", [this](const std::string& bytes) {
      RawCaller caller(m_port);
      caller.Send(bytes + "\r\n\r\n");
      caller.Close();
    });
    CPPUNIT_ASSERT(
        SendAndReadAll(
            "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200"));
  }
  void Abort_AfterPartOfStream_SendsItWithoutTheLastChunk() {
    m_handler = [](const ServerRequest&, const ResponderPtr& responder) {
      responder->BeginStream(200, {});
      responder->Write("part");
      responder->Abort();
    };
    const std::string answer =
        SendAndReadAll("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(answer.ends_with("4\r\npart\r\n"));
  }
  void CloseAfterAnswers_NextAnswer_ClosesTheConnection() {
    m_threads->Post([this] { m_server->CloseAfterAnswers(); });
    const std::string answer =
        SendAndReadAll("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
  }
  void CloseIdle_IdleAndBusyConnection_ClosesOnlyTheIdleOne() {
    std::promise<void> begun;
    m_handler = [&](const ServerRequest&, const ResponderPtr& responder) {
      m_responder = responder;
      begun.set_value();
    };
    RawCaller idle(m_port);
    RawCaller busy(m_port);
    busy.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    begun.get_future().get();
    m_threads->Post([this] { m_server->CloseIdle(); });
    CPPUNIT_ASSERT(idle.ReadAll().empty());
    m_threads->Post([this] { m_responder->Reply(200, {}, "answer"); });
    CPPUNIT_ASSERT(busy.ReadUntil("answer").ends_with("answer"));
  }
  void OnDisconnect_CallerClosesWhileAnswering_IsCalled() {
    std::promise<void> begun;
    std::promise<void> disconnected;
    m_handler = [&](const ServerRequest&, const ResponderPtr& responder) {
      m_responder = responder;
      responder->OnDisconnect([&disconnected] { disconnected.set_value(); });
      begun.set_value();
    };
    RawCaller caller(m_port);
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    begun.get_future().get();
    caller.Close();
    CPPUNIT_ASSERT(disconnected.get_future().wait_for(
                       std::chrono::seconds(2)) == std::future_status::ready);
  }

 private:
  std::string SendAndReadAll(const std::string& bytes) const {
    RawCaller caller(m_port);
    caller.Send(bytes);
    return caller.ReadAll();
  }
  void SetLimits(const CallerLimits& limits) {
    std::promise<void> done;
    m_threads->Post([&] {
      m_server->SetLimits(limits);
      done.set_value();
    });
    done.get_future().get();
  }

  std::unique_ptr<io::IoThreads> m_threads;
  std::unique_ptr<FrontServer> m_server;
  Handler m_handler;
  ResponderPtr m_responder;
  uint16_t m_port = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(FrontServerTest);

}  // namespace
}  // namespace peridotshelf::http
