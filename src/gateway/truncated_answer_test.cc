#include "gateway_fixture.h"
#include "peridotshelf/testing/raw_server.h"

namespace peridotshelf::gateway {
namespace {

using testing::RawConnection;
using testing::RawServer;

const std::string kHead =
    "HTTP/1.1 200 OK\r\nId: request-1\r\nSignature: s\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

constexpr int64_t kStart = 1;
const std::string kIdentity =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nStarted: 1\r\n\r\n";

class TruncatedAnswerTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(TruncatedAnswerTest);
  CPPUNIT_TEST(Call_LengthAnswerCutAtEachByte_IsNeverASuccess);
  CPPUNIT_TEST(Call_ChunkedAnswerCutAtEachByte_IsNeverASuccess);
  CPPUNIT_TEST(Call_ChunkedAnswerWithTrailerCutAtEachByte_IsNeverASuccess);
  CPPUNIT_TEST(Call_AnswerWithoutLengthCutInItsHead_IsNeverASuccess);
  CPPUNIT_TEST(Call_EmptyChunkedAnswerWithSignedTrailer_IsNotDelivered);
  CPPUNIT_TEST(Stream_ChunkedCutAtEachByte_IsNeverComplete);
  CPPUNIT_TEST(Stream_ResumedAtAnEngineThatRejectsIt_IsNotComplete);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guard against an answer that broke off and reaches its caller as complete.
  void Call_LengthAnswerCutAtEachByte_IsNeverASuccess() {
    CheckEachCut("/post/x", kHead + "Content-Length: 5\r\n\r\nwhole", "whole");
  }
  void Call_ChunkedAnswerCutAtEachByte_IsNeverASuccess() {
    CheckEachCut("/post/x", kChunkedHead + "2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
                 "whole", kLineFeed);
  }
  void Call_ChunkedAnswerWithTrailerCutAtEachByte_IsNeverASuccess() {
    CheckEachCut("/post/x",
                 kChunkedHead + "5\r\nwhole\r\n0\r\nTrailer: t\r\n\r\n",
                 "whole", kLineFeed);
  }
  // The end of the connection ends the body, so only the head can be checked.
  void Call_AnswerWithoutLengthCutInItsHead_IsNeverASuccess() {
    const std::string head = kHead + "\r\n";
    CheckEachCut("/post/x", head, "");
  }
  void Stream_ChunkedCutAtEachByte_IsNeverComplete() {
    const std::string events = MakeEvent(0) + MakeEvent(1);
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", events.size());
    CheckEachCut("/once/x", kChunkedHead + size + events + "\r\n0\r\n\r\n",
                 events, kLineFeed);
  }
  // Guards against a trailer that is taken for a header: a signature or a
  // statement "not run" after the body does not belong to the head.
  void Call_EmptyChunkedAnswerWithSignedTrailer_IsNotDelivered() {
    m_answer =
        "HTTP/1.1 200 OK\r\nId: request-1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\nSignature: s\r\n\r\n";
    AddRawEngine();
    CPPUNIT_ASSERT_EQUAL(502, Call("/post/x").status);
  }

  // Guards against a stream that broke off and is ended as if it were whole,
  // because the engine that should continue it answers with an error.
  void Stream_ResumedAtAnEngineThatRejectsIt_IsNotComplete() {
    for (const int status : {404, 429}) {
      int attempts = 0;
      const auto answer = [&](const ServerRequest& request,
                              const ResponderPtr& responder) {
        if (attempts++ > 0) {
          responder->Reply(status, SignedHeaders(request), "");
          return;
        }
        responder->BeginStream(200, SignedHeaders(request));
        responder->Write(MakeEvent(0));
        responder->Abort();
      };
      for (int i = 0; i < 2; ++i) AddEngine(answer);
      Configure();
      const auto response = Call("/stream/x");
      CPPUNIT_ASSERT_EQUAL(2, attempts);
      CPPUNIT_ASSERT_EQUAL(MakeEvent(0), response.body);
      CPPUNIT_ASSERT(m_call_failed);
      for (size_t i = 0; i < m_engines.size(); ++i) {
        RunOnLoop([&] {
          m_directory->Remove("engine-" + std::to_string(i),
                              SteadyClock().Now());
        });
      }
    }
  }

  void setUp() override {
    GatewayFixture::setUp();
    m_server = std::make_unique<RawServer>([this](RawConnection& connection) {
      const std::string request = connection.ReadRequest();
      if (request.empty()) return;
      const bool is_query = request.find("/identity") != std::string::npos;
      connection.Write(is_query ? kIdentity : m_answer);
    });
  }
  void tearDown() override {
    m_server.reset();
    GatewayFixture::tearDown();
  }

 private:
  void AddRawEngine() {
    Register("raw", m_server->Address(), "calls", kStart);
    Configure();
  }

  /// libcurl does not wait for the last line feed of a chunked answer, after
  /// which nothing can follow.
  static constexpr size_t kLineFeed = 1;

  /// Answers with each prefix of `whole` that is shorter by more than
  /// `ignorable_bytes`, then with all of it.
  void CheckEachCut(const std::string& target, const std::string& whole,
                    const std::string& body, size_t ignorable_bytes = 0) {
    AddRawEngine();
    for (size_t size = 0; size + ignorable_bytes < whole.size(); ++size) {
      m_answer = whole.substr(0, size);
      const auto response = Call(target);
      CPPUNIT_ASSERT_MESSAGE("cut after " + m_answer,
                             response.status != 200 || m_call_failed);
    }
    m_answer = whole;
    const auto response = Call(target);
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    CPPUNIT_ASSERT(!m_call_failed);
    CPPUNIT_ASSERT_EQUAL(body, response.body);
  }

  std::string m_answer;
  std::unique_ptr<RawServer> m_server;
};
CPPUNIT_TEST_SUITE_REGISTRATION(TruncatedAnswerTest);

}  // namespace
}  // namespace peridotshelf::gateway
