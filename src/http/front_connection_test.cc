#include <future>
#include <thread>

#include "peridotshelf/http/front_server.h"
#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"
#include "raw_caller.h"

namespace peridotshelf::http {
namespace {

using std::chrono::milliseconds;

constexpr int kSmallBuffer = 4096;
/// More than the socket buffers hold.
constexpr size_t kLargeBody = size_t{7} * 1024 * 1024;

size_t CountText(const std::string& bytes, const std::string& text) {
  size_t count = 0;
  for (size_t at = bytes.find(text); at != std::string::npos;
       at = bytes.find(text, at + 1)) {
    ++count;
  }
  return count;
}

class FrontConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrontConnectionTest);
  CPPUNIT_TEST(Request_WithTrailer_TrailerIsNoHeader);
  CPPUNIT_TEST(Request_MalformedHead_IsAnswered400);
  CPPUNIT_TEST(Request_BytesOver127InAValue_AreKept);
  CPPUNIT_TEST(Reject_EarlierAnswerUnread_IsSentOnce);
  CPPUNIT_TEST(Reject_BodyStillArriving_DoesNotResetTheConnection);
  CPPUNIT_TEST(CloseIdle_AnswerBeingSent_IsNotCut);
  CPPUNIT_TEST(CloseIdle_ConnectionWithoutRequestYet_IsServed);
  CPPUNIT_TEST(Shutdown_ConnectionsInTheListenQueue_AreAnswered);
  CPPUNIT_TEST(Shutdown_RequestReadInPart_IsAnswered503);
  CPPUNIT_TEST(IdleTimeout_AnswerBeingSent_IsNotCut);
  CPPUNIT_TEST(Request_BodySentByteByByte_IsAnswered408);
  CPPUNIT_TEST(Request_BodySentSteadily_IsServed);
  CPPUNIT_TEST(Answer_CallerDoesNotRead_ConnectionIsClosed);
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
      responder->Reply(200, {}, "body of " + request.target);
    };
  }
  void tearDown() override {
    m_threads->Stop();
    m_server.reset();
  }

  // Guards against a trailer that sets a header which the request does not
  // have.
  void Request_WithTrailer_TrailerIsNoHeader() {
    m_handler = [](const ServerRequest& request,
                   const ResponderPtr& responder) {
      responder->Reply(200, {}, request.FindHeader("Key") ? "key" : "none");
    };
    RawCaller caller(m_port);
    caller.Send(
        "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: "
        "chunked\r\n\r\n1\r\nx\r\n0\r\nKey: k\r\n\r\n");
    CPPUNIT_ASSERT(caller.ReadAll().ends_with("none"));
  }

  // Guards against a request that is read in another way than it was sent.
  void Request_MalformedHead_IsAnswered400() {
    for (const char* head :
         {"GET / HTTP/1.1\r\nKey: a\r\n\rA", "GET / HTTP/1.1\r\nKey: \r\xFF 0",
          "GET / HTTP/1.1\r\nKey: a\rb", "GET /  HTTP/1.1\r\nKey: a",
          "GET /\r\nKey: a", "GET /\xE9 HTTP/1.1\r\nKey: a",
          "GET /\t HTTP/1.1\r\nKey: a", "GET / HTTP/1.1\r\nKey : a",
          "GET / HTTP/1.1\r\nKey: a\r\n b"}) {
      RawCaller caller(m_port);
      caller.Send(head +
                  std::string("\r\nHost: h\r\nConnection: close\r\n\r\n"));
      CPPUNIT_ASSERT(caller.ReadAll().starts_with("HTTP/1.1 400 "));
    }
    RawCaller caller(m_port);
    caller.Send("GET / HTTP/2.0\r\nHost: h\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(caller.ReadAll().starts_with("HTTP/1.1 505 "));
  }
  void Request_BytesOver127InAValue_AreKept() {
    m_handler = [](const ServerRequest& request,
                   const ResponderPtr& responder) {
      responder->Reply(200, {}, std::string(*request.FindHeader("Key")));
    };
    RawCaller caller(m_port);
    caller.Send(
        "\r\nGET /%E9 HTTP/1.1\r\nHost: h\r\nKey:\t\xE9\t\xFF \r\n"
        "Connection: close\r\n\r\n");
    CPPUNIT_ASSERT(caller.ReadAll().ends_with("\r\n\r\n\xE9\t\xFF"));
  }

  // Guards against a second and third rejection of one request while an earlier
  // answer is still being sent.
  void Reject_EarlierAnswerUnread_IsSentOnce() {
    CallerLimits limits;
    limits.header_timeout = milliseconds(50);
    SetLimits(limits);
    AnswerWithLargeBody();
    RawCaller caller(m_port, kSmallBuffer);
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /second");
    std::this_thread::sleep_for(milliseconds(1800));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         CountText(caller.ReadAll(), "HTTP/1.1 408"));
  }

  // Guards against an early answer that its caller loses: closing a socket with
  // unread bytes resets the connection.
  void Reject_BodyStillArriving_DoesNotResetTheConnection() {
    CallerLimits limits;
    limits.max_body_bytes = 10;
    SetLimits(limits);
    RawCaller caller(m_port);
    caller.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(caller.TrySend(std::string(10000, 'x')));
      std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT(caller.ReadAll().starts_with("HTTP/1.1 413"));
  }

  // Guards against a planned stop that cuts an answer which is complete but not
  // yet sent.
  void CloseIdle_AnswerBeingSent_IsNotCut() {
    const auto answered = AnswerWithLargeBody();
    RawCaller caller(m_port, kSmallBuffer);
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    answered.wait();
    RunOnLoop([this] { m_server->CloseIdle(); });
    CPPUNIT_ASSERT(caller.ReadAll().ends_with("\r\n\r\n" + LargeBody()));
  }

  // Guards against a planned stop that closes a connection whose caller is
  // about to send its first request.
  void CloseIdle_ConnectionWithoutRequestYet_IsServed() {
    RawCaller first(m_port);
    CPPUNIT_ASSERT(first.TrySend("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"));
    first.ReadUntil("/1");
    RawCaller caller(m_port);
    WaitForAccepted(2);
    RunOnLoop([this] { m_server->CloseIdle(); });
    CPPUNIT_ASSERT(caller.TrySend("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
    CPPUNIT_ASSERT(caller.ReadUntil("/2").ends_with("body of /2"));
  }

  // Guards against connections that the system has accepted and that are reset
  // when the listening socket closes.
  void Shutdown_ConnectionsInTheListenQueue_AreAnswered() {
    std::vector<std::unique_ptr<RawCaller>> callers;
    RunOnLoop([&] {
      for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<RawCaller>(m_port));
        if (i % 2 == 0)
          callers.back()->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      }
      m_server->Shutdown();
    });
    for (size_t i = 1; i < callers.size(); i += 2) {
      CPPUNIT_ASSERT(callers[i]->TrySend("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
    }
    for (const auto& caller : callers) {
      const std::string answer = caller->ReadAll();
      CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(CountText(answer, "Connection: close") == 1);
    }
    CPPUNIT_ASSERT_THROW(RawCaller late(m_port), std::system_error);
  }

  // Guards against requests that were read in part and are cut by a planned
  // stop without an answer.
  void Shutdown_RequestReadInPart_IsAnswered503() {
    RawCaller in_head(m_port);
    in_head.Send("GET / HTTP/1.1\r\nHost:");
    RawCaller in_body(m_port);
    in_body.Send(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\npart");
    // Both are read before this request, which comes later.
    RawCaller last(m_port);
    last.Send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
    last.ReadUntil("/last");
    RunOnLoop([this] { m_server->Shutdown(); });
    for (RawCaller* caller : {&in_head, &in_body}) {
      const std::string answer = caller->ReadAll();
      CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 503"));
      CPPUNIT_ASSERT(CountText(answer, "Retry-After: ") == 1);
      CPPUNIT_ASSERT(CountText(answer, "Connection: close") == 1);
    }
  }

  // Guards against the idle timeout that cuts an answer whose caller reads
  // slowly.
  void IdleTimeout_AnswerBeingSent_IsNotCut() {
    CallerLimits limits;
    limits.idle_timeout = milliseconds(50);
    SetLimits(limits);
    AnswerWithLargeBody();
    RawCaller caller(m_port, kSmallBuffer);
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(1200));
    CPPUNIT_ASSERT(caller.ReadAll().ends_with("\r\n\r\n" + LargeBody()));
  }

  // Guards against a caller that keeps its connection for ever with a byte now
  // and then.
  void Request_BodySentByteByByte_IsAnswered408() {
    CallerLimits limits;
    limits.body_timeout = milliseconds(200);
    SetLimits(limits);
    RawCaller caller(m_port);
    caller.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n");
    for (int i = 0; i < 99; ++i) {
      if (!caller.TrySend("x")) break;
      std::this_thread::sleep_for(milliseconds(20));
    }
    CPPUNIT_ASSERT(caller.ReadAll().starts_with("HTTP/1.1 408"));
  }

  // Guards against a limit on the whole time of a body, which cuts large ones
  // on narrow links.
  void Request_BodySentSteadily_IsServed() {
    CallerLimits limits;
    limits.body_timeout = milliseconds(900);
    SetLimits(limits);
    RawCaller caller(m_port);
    caller.Send(
        "POST /steady HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n");
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(caller.TrySend(std::string(20000, 'x')));
      std::this_thread::sleep_for(milliseconds(100));
    }
    CPPUNIT_ASSERT(caller.ReadUntil("/steady").starts_with("HTTP/1.1 200"));
  }

  // Guards against a caller that does not read and holds its answer in the
  // gateway's memory.
  void Answer_CallerDoesNotRead_ConnectionIsClosed() {
    CallerLimits limits;
    limits.send_timeout = milliseconds(200);
    SetLimits(limits);
    AnswerWithLargeBody();
    RawCaller caller(m_port, kSmallBuffer);
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const TimePoint end = SteadyClock().Now() + std::chrono::seconds(10);
    uint64_t open = 1;
    while (open > 0 && SteadyClock().Now() < end) {
      std::this_thread::sleep_for(milliseconds(50));
      RunOnLoop([&] {
        open = m_server->counters().open +
               (m_server->counters().accepted == 0 ? 1 : 0);
      });
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, open);
  }

 private:
  static std::string LargeBody() { return std::string(kLargeBody, 'b'); }

  /// Answers each request with a large body. The future becomes ready with the
  /// first answer.
  std::shared_future<void> AnswerWithLargeBody() {
    auto answered = std::make_shared<std::promise<void>>();
    m_handler = [answered, is_first = true](
                    const ServerRequest&,
                    const ResponderPtr& responder) mutable {
      responder->Reply(200, {}, LargeBody());
      if (std::exchange(is_first, false)) answered->set_value();
    };
    return answered->get_future().share();
  }
  void RunOnLoop(const std::function<void()>& action) {
    std::promise<void> done;
    m_threads->Post([&] {
      action();
      done.set_value();
    });
    done.get_future().get();
  }
  void SetLimits(const CallerLimits& limits) {
    RunOnLoop([&] { m_server->SetLimits(limits); });
  }
  void WaitForAccepted(uint64_t connections) {
    uint64_t accepted = 0;
    while (accepted < connections) {
      RunOnLoop([&] { accepted = m_server->counters().accepted; });
    }
  }

  std::unique_ptr<io::IoThreads> m_threads;
  std::unique_ptr<FrontServer> m_server;
  Handler m_handler;
  uint16_t m_port = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(FrontConnectionTest);

}  // namespace
}  // namespace peridotshelf::http
