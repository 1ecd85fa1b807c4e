#include <array>
#include <atomic>

#include "gateway_fixture.h"
#include "peridotshelf/testing/raw_server.h"

namespace peridotshelf::gateway {
namespace {

using testing::RawConnection;
using testing::RawServer;

const std::string kOwn = "Id: request-1\r\nSignature: s\r\n";
const std::string kEvents = "Content-Type: text/event-stream\r\n";

std::string WithLength(const std::string& status, const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeChunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string Chunked(const std::string& status, const std::string& headers,
                    const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Transfer-Encoding: chunked\r\n\r\n" +
         (body.empty() ? "" : MakeChunk(body)) + "0\r\n\r\n";
}

std::string WithoutLength(const std::string& status, const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "\r\n" + body;
}

const std::string kBegin = MakeEvent(1) + MakeEvent(2);
const std::string kRest = MakeEvent(3) + MakeEvent(4);
const std::string kErrorBody = "{\"error\":\"engine is full\"}";

/// Two engines of which the first one breaks off after event 2 and the other
/// one is asked for the rest.
class ResumedStreamTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(ResumedStreamTest);
  CPPUNIT_TEST(Stream_Continued_IsWhole);
  CPPUNIT_TEST(Stream_ContinuedByAnotherStatus_IsCut);
  CPPUNIT_TEST(Stream_ContinuedByAnotherKindOfBody_IsCut);
  CPPUNIT_TEST(Stream_ContinuedByAnErrorEvent_IsCut);
  CPPUNIT_TEST(Stream_ContinuedByAHeadInTheBody_IsCut);
  CPPUNIT_TEST(Stream_ContinuedByANewRun_IsCut);
  CPPUNIT_TEST(Stream_ContinuedWithWrongNumbers_IsCutBeforeThem);
  CPPUNIT_TEST(Stream_ContinuedWithRepeatedEvents_HasEachOnce);
  CPPUNIT_TEST(Stream_ContinuationCut_IsCut);
  CPPUNIT_TEST(Stream_ContinuationNeverComes_IsCutAtDeadline);
  CPPUNIT_TEST(Stream_BrokenBetweenEventsContinuedByNothing_IsWhole);
  CPPUNIT_TEST(Stream_BrokenInsideAnEventContinuedByNothing_IsCut);
  CPPUNIT_TEST(Stream_BrokenBeforeItsLengthContinuedByNothing_IsCut);
  CPPUNIT_TEST(Stream_ContinuedByNothingWithoutLength_IsCut);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guard against a stream with bytes of an answer that does not continue it,
  // or that ends as complete although events are missing.
  void Stream_Continued_IsWhole() {
    const std::string early = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                              Chunked("200 OK", kOwn + kEvents, kRest);
    for (const char* partial : {"", "id: 3\nda"}) {
      m_partial = partial;
      CheckWhole(WithLength("200 OK", kOwn + kEvents, kRest), kRest);
      CheckWhole(Chunked("200 OK", kOwn + kEvents, kRest), kRest);
      CheckWhole(early, kRest);
      CheckWhole(Chunked("200 OK",
                         kOwn + "Content-Type: Text/Event-Stream;charset=x\r\n",
                         kRest),
                 kRest);
    }
  }
  void Stream_ContinuedByAnotherStatus_IsCut() {
    for (const char* status :
         {"201 Created", "202 Accepted", "204 No Content", "206 Partial",
          "301 Moved", "304 Not Modified", "400 Bad Request", "401 No Key",
          "404 Not Found", "408 Timeout", "413 Too Large", "421 Misdirected",
          "429 Too Many", "431 Too Large", "500 Failed", "502 Bad Gateway",
          "503 Unavailable", "504 Timeout"}) {
      CheckCut(WithLength(status, kOwn + kEvents, MakeEvent(3)));
      CheckCut(WithLength(status, kOwn + kEvents, ""));
      CheckCut(Chunked(status, kOwn + kEvents, ""));
      CheckCut(WithoutLength(status, kOwn + kEvents, MakeEvent(3)));
    }
    CheckCut(WithLength("503 Unavailable", kOwn + "Not-Run: 1\r\n", ""));
  }
  void Stream_ContinuedByAnotherKindOfBody_IsCut() {
    const std::string json = kOwn + "Content-Type: application/json\r\n";
    for (const std::string& body :
         {kErrorBody, kErrorBody + "\n\n", "\nid: 3\n" + kErrorBody + "\n\n",
          std::string()}) {
      CheckCut(WithLength("200 OK", json, body));
      CheckCut(Chunked("200 OK", json, body));
      CheckCut(WithoutLength("200 OK", json, body));
      CheckCut(WithLength("200 OK", kOwn, body));
    }
    CheckCut(WithLength("200 OK", kOwn + kEvents, kErrorBody));
    CheckCut(WithLength("200 OK", kOwn + kEvents, kErrorBody + "\n\n"));
    CheckCut(WithLength("200 OK", kEvents + "Signature: s\r\n", MakeEvent(3)));
    CheckCut(WithLength("200 OK", kEvents + "Id: request-1\r\n", MakeEvent(3)));
    CheckCut(WithLength("200 OK", kEvents + "Id: another\r\nSignature: s\r\n",
                        MakeEvent(3)));
  }
  void Stream_ContinuedByAnErrorEvent_IsCut() {
    for (const char* event :
         {"event: error\ndata: full\n\n", "id: 3\nevent: error\ndata: x\n\n",
          "event:error\r\nid: 3\r\ndata: x\r\n\r\n"}) {
      CheckCut(WithLength("200 OK", kOwn + kEvents, event));
      CheckCut(Chunked("200 OK", kOwn + kEvents, event));
    }
  }
  void Stream_ContinuedByAHeadInTheBody_IsCut() {
    const std::string error = WithLength("500 Failed", kOwn, kErrorBody);
    CheckCut(WithoutLength("200 OK", kOwn + kEvents, error));
    CheckCut("HTTP/1.1 200 OK\r\n" + kOwn + kEvents +
             "Transfer-Encoding: chunked\r\n\r\n" + error);
    m_answer = WithoutLength("200 OK", kOwn + kEvents, MakeEvent(3) + error);
    CheckBegins(MakeEvent(3));
  }
  void Stream_ContinuedByANewRun_IsCut() {
    CheckCut(Chunked("200 OK", kOwn + kEvents, MakeEvent(0) + kBegin + kRest));
    CheckCut(Chunked("200 OK", kOwn + kEvents, kBegin + kRest));
    CheckCut(Chunked("200 OK", kOwn + kEvents, MakeEvent(1)));
  }
  void Stream_ContinuedWithWrongNumbers_IsCutBeforeThem() {
    for (const char* id : {"x", "3x", "", "3 4", "0x3", "+3", "-3", "3.0", "4",
                           "99", "3\nid: 4", "99999999999999999999"}) {
      const std::string event = std::string("id: ") + id + "\ndata: x\n\n";
      CheckCut(Chunked("200 OK", kOwn + kEvents, event));
    }
    m_answer = Chunked("200 OK", kOwn + kEvents, MakeEvent(3) + MakeEvent(5));
    CheckBegins(MakeEvent(3));
  }
  void Stream_ContinuedWithRepeatedEvents_HasEachOnce() {
    CheckWhole(Chunked("200 OK", kOwn + kEvents,
                       MakeEvent(2) + MakeEvent(3) + MakeEvent(3) +
                           MakeEvent(2) + MakeEvent(4)),
               kRest);
  }
  void Stream_ContinuationCut_IsCut() {
    const std::string whole = Chunked("200 OK", kOwn + kEvents, kRest);
    for (size_t size = 0; size + 1 < whole.size(); ++size) {
      m_answer = whole.substr(0, size);
      CheckBegins("");
    }
  }
  void Stream_ContinuationNeverComes_IsCutAtDeadline() {
    m_stays_open = true;
    m_answer = "";
    CheckBegins("", {{"Left", "300"}});
    m_answer = WithoutLength("200 OK", kOwn + kEvents, "");
    CheckBegins("", {{"Left", "300"}});
  }
  void Stream_BrokenBetweenEventsContinuedByNothing_IsWhole() {
    CheckWhole(Chunked("200 OK", kOwn + kEvents, ""), "");
    CheckWhole(WithLength("200 OK", kOwn + kEvents, ""), "");
  }
  void Stream_BrokenInsideAnEventContinuedByNothing_IsCut() {
    for (const char* partial : {"i", "id: 3\n", "id: 3\ndata: x\n"}) {
      m_partial = partial;
      CheckCut(Chunked("200 OK", kOwn + kEvents, ""));
      CheckCut(WithLength("200 OK", kOwn + kEvents, ""));
    }
  }
  void Stream_BrokenBeforeItsLengthContinuedByNothing_IsCut() {
    m_has_length = true;
    CheckCut(Chunked("200 OK", kOwn + kEvents, ""));
    CheckCut(WithLength("200 OK", kOwn + kEvents, ""));
  }
  void Stream_ContinuedByNothingWithoutLength_IsCut() {
    CheckCut(WithoutLength("200 OK", kOwn + kEvents, ""));
  }

  void setUp() override {
    GatewayFixture::setUp();
    for (size_t i = 0; i < m_servers.size(); ++i) {
      m_servers[i] = std::make_unique<RawServer>(
          [this](RawConnection& connection) { Serve(connection); });
      Register("raw-" + std::to_string(i), m_servers[i]->Address(), "calls");
    }
    Configure();
    RunOnLoop([this] {
      scheduling::RetryLimits limits = m_options.retry_limits;
      limits.ratio = 2 * kMaxCalls;
      m_gateway->SetRetryLimits(limits);
    });
  }
  void tearDown() override {
    for (auto& server : m_servers) server.reset();
    GatewayFixture::tearDown();
  }

 private:
  static constexpr int kMaxCalls = 1000;

  void Serve(RawConnection& connection) {
    const std::string request = connection.ReadRequest();
    if (request.empty() || request.find("/identity") != std::string::npos) {
      return;
    }
    if (++m_requests > 1) {
      m_is_resumption = request.find("After: 2\r\n") != std::string::npos;
      connection.Write(m_answer);
      if (m_stays_open) connection.WaitForEnd();
      return;
    }
    const std::string body = kBegin + m_partial;
    const std::string head = "HTTP/1.1 200 OK\r\n" + kOwn + kEvents;
    connection.Write(
        m_has_length
            ? head + "Content-Length: " + std::to_string(2 * body.size()) +
                  "\r\n\r\n" + body
            : head + "Transfer-Encoding: chunked\r\n\r\n" + MakeChunk(body));
  }

  /// Returns what the caller gets.
  std::string CallOnce(const std::vector<Header>& headers = {}) {
    m_requests = 0;
    m_is_resumption = false;
    const auto response = Call("/stream/x", headers);
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    CPPUNIT_ASSERT_MESSAGE(m_answer, m_requests >= 2);
    CPPUNIT_ASSERT(m_is_resumption);
    return response.body;
  }
  void CheckWhole(const std::string& answer, const std::string& rest) {
    m_answer = answer;
    const std::string body = CallOnce();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, kBegin + rest, body);
    CPPUNIT_ASSERT_MESSAGE(answer, !m_call_failed);
  }
  /// Expects that nothing of `answer` reaches the caller.
  void CheckCut(const std::string& answer) {
    m_answer = answer;
    const std::string body = CallOnce();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, kBegin, body);
    CPPUNIT_ASSERT_MESSAGE(answer, m_call_failed);
  }
  /// Expects a cut stream of whole events, at least the begin and `rest`.
  void CheckBegins(const std::string& rest,
                   const std::vector<Header>& headers = {}) {
    const std::string body = CallOnce(headers);
    CPPUNIT_ASSERT_MESSAGE(m_answer, m_call_failed);
    CPPUNIT_ASSERT_MESSAGE(m_answer, (kBegin + kRest).starts_with(body));
    CPPUNIT_ASSERT_MESSAGE(m_answer, body.starts_with(kBegin + rest));
    CPPUNIT_ASSERT_MESSAGE(m_answer, body.ends_with("\n\n"));
  }

  /// Bytes of the first answer after event 2.
  std::string m_partial;
  /// Whether the first answer states a length that it does not reach.
  bool m_has_length = false;
  /// The answer to the resumption, and whether its connection stays open.
  std::string m_answer;
  bool m_stays_open = false;
  std::atomic<int> m_requests = 0;
  std::atomic<bool> m_is_resumption = false;
  std::array<std::unique_ptr<RawServer>, 2> m_servers;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ResumedStreamTest);

}  // namespace
}  // namespace peridotshelf::gateway
