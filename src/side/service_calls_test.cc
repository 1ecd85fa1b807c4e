#include "side/service_calls.h"

#include <atomic>
#include <future>
#include <mutex>

#include "peridotshelf/testing/raw_server.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::side {
namespace {

using testing::RawConnection;
using testing::RawServer;

/// Collects the answer to the call that was started last.
class RecordingChannel : public wire::Channel {
 public:
  void Send(const wire::Frame& frame) override {
    const std::scoped_lock lock(m_mutex);
    if (frame.__isset.chunk) m_body += frame.chunk.data;
    if (frame.__isset.failed) m_body = "failed";
    if (frame.__isset.finished || frame.__isset.failed) {
      m_answer.set_value(m_body);
    }
  }
  void Close(Error /*reason*/) override {}
  const wire::Hello& peer() const override { return m_peer; }

  std::string WaitForAnswer() {
    std::string answer = m_answer.get_future().get();
    const std::scoped_lock lock(m_mutex);
    m_answer = {};
    m_body.clear();
    return answer;
  }

 private:
  wire::Hello m_peer;
  std::mutex m_mutex;
  std::promise<std::string> m_answer;
  std::string m_body;
};

/// Starts calls at a backend server and waits for their answers.
class CallStarter {
 public:
  explicit CallStarter(std::string address) : m_address(std::move(address)) {
    m_streams->AddConnection(m_channel);
  }

  std::string operator()(const std::string& request) const {
    wire::ServiceCall sent;
    sent.attempt = wire::ToWire({RequestId(request), 1});
    sent.method = "GET";
    sent.target = "/page";
    sent.remaining_ms = 5000;
    m_calls->Start({}, "http://" + m_address, m_channel, std::move(sent));
    return m_channel->WaitForAnswer();
  }

 private:
  std::string m_address;
  // The calls that the client ends on its thread hold the others.
  std::shared_ptr<AttemptStreams> m_streams =
      std::make_shared<AttemptStreams>(1, attempts::ExecutionOptions());
  std::shared_ptr<RecordingChannel> m_channel =
      std::make_shared<RecordingChannel>();
  std::unique_ptr<http::Client> m_client = std::make_unique<http::Client>();
  std::shared_ptr<ServiceCalls> m_calls = std::make_shared<ServiceCalls>(
      *m_client, m_streams,
      std::make_shared<IdempotencyService>(HostId("host")));
};

class ServiceCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceCallsTest);
  CPPUNIT_TEST(Start_AnswerRepeated_NextCallerGetsItsOwn);
  CPPUNIT_TEST(Start_AnswerEndsWithItsConnection_HasFailed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answer that reaches the caller of another, repeatable
  // call, because the backend server wrote it once more.
  void Start_AnswerRepeated_NextCallerGetsItsOwn() {
    std::atomic<int> calls = 0;
    const RawServer server([&](RawConnection& connection) {
      std::string copy;
      while (!connection.ReadRequest().empty()) {
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
            std::to_string(++calls);
        connection.Write(copy + answer);
        copy = answer;
      }
    });
    const CallStarter call(server.Address());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), call("first"));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), call("second"));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), call("third"));
  }

  // Guards against an answer that a crash cut and that counts as whole.
  void Start_AnswerEndsWithItsConnection_HasFailed() {
    const RawServer server([](RawConnection& connection) {
      if (connection.ReadRequest().empty()) return;
      connection.Write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
    });
    const CallStarter call(server.Address());
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), call("first"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ServiceCallsTest);

}  // namespace
}  // namespace peridotshelf::side
