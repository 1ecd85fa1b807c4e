#include "peridotshelf/http/client.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>

#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/raw_server.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::http {
namespace {

using asio::ip::tcp;

/// Answers one call with a body of a given size, as fast as it is read.
class LargeBodyServer {
 public:
  explicit LargeBodyServer(size_t body_bytes)
      : m_port(testing::FindFreePort()),
        m_acceptor(m_context,
                   tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_port)),
        m_thread([this, body_bytes] { Serve(body_bytes); }) {}
  ~LargeBodyServer() { m_thread.join(); }
  LargeBodyServer(const LargeBodyServer&) = delete;
  LargeBodyServer& operator=(const LargeBodyServer&) = delete;

  [[nodiscard]] std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/";
  }

 private:
  void Serve(size_t body_bytes) {
    asio::error_code error;
    tcp::socket socket(m_context);
    m_acceptor.accept(socket, error);
    asio::streambuf head;
    asio::read_until(socket, head, "\r\n\r\n", error);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) +
        "\r\n\r\n" + std::string(body_bytes, 'x');
    asio::write(socket, asio::buffer(answer), error);
  }

  asio::io_context m_context;
  uint16_t m_port;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(Start_SlowConsumer_KeepsWithinTheReceiveWindow);
  CPPUNIT_TEST(Start_TextsThatHttpDoesNotAllow_AreNotSent);
  CPPUNIT_TEST(Start_MalformedHeader_IsNotPassedOn);
  CPPUNIT_TEST(Start_CallbackThrows_EndsThatCallOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gateway that holds all that a fast engine sends while its
  // own thread is busy.
  void Start_SlowConsumer_KeepsWithinTheReceiveWindow() {
    constexpr size_t kBody = size_t{4} * 1024 * 1024;
    constexpr size_t kWindow = size_t{64} * 1024;
    const LargeBodyServer server(kBody);
    Client client;
    std::atomic<size_t> received = 0;
    std::promise<Result<int>> outcome;
    ClientRequest request;
    request.url = server.Url();
    request.max_unread_bytes = kWindow;
    ClientCallbacks callbacks;
    callbacks.on_data = [&received](std::string_view data) {
      received += data.size();
    };
    callbacks.on_done = [&outcome](const Result<int>& result) {
      outcome.set_value(result);
    };
    const Client::CallId call =
        client.Start(std::move(request), std::move(callbacks));
    auto done = outcome.get_future();
    CPPUNIT_ASSERT(done.wait_for(std::chrono::milliseconds(300)) ==
                   std::future_status::timeout);
    CPPUNIT_ASSERT(received > 0);
    size_t consumed = 0;
    while (done.wait_for(std::chrono::milliseconds(1)) ==
           std::future_status::timeout) {
      const size_t unread = received - consumed;
      CPPUNIT_ASSERT(unread <= kWindow);
      client.Consume(call, unread);
      consumed += unread;
    }
    CPPUNIT_ASSERT(done.get().value() == 200);
    CPPUNIT_ASSERT_EQUAL(kBody, received.load());
  }

  // Guards against text of one record or caller that becomes another header, or
  // another request, at an engine.
  void Start_TextsThatHttpDoesNotAllow_AreNotSent() {
    const testing::RawServer server(&Answer);
    Client client;
    const auto send = [&](std::vector<Header> headers,
                          const std::string& target) {
      ClientRequest request;
      request.url = "http://" + server.Address() + "/";
      request.target = target;
      request.headers = std::move(headers);
      return client.FetchAndWait(std::move(request));
    };
    for (const char* value : {"a\r\nX-Other: 1", "a\nb", "\x7F", "\x1B"}) {
      const auto refused = send({{"X-Name", value}}, "/");
      CPPUNIT_ASSERT(!refused && refused.error().not_run);
      CPPUNIT_ASSERT(refused.error().code == ErrorCode::kInvalidField);
    }
    CPPUNIT_ASSERT(!send({{"X Name", "a"}}, "/"));
    CPPUNIT_ASSERT(!send({}, "/a b"));
    CPPUNIT_ASSERT(!send({}, "/\xE9"));
    CPPUNIT_ASSERT_EQUAL(0, server.CountConnections());
    CPPUNIT_ASSERT(send({{"X-Name", "\xE9\ta"}, {"X-Empty", ""}}, "/a"));
  }

  // Guards against a line end in an engine's header that reaches a caller.
  void Start_MalformedHeader_IsNotPassedOn() {
    for (const char* header :
         {"X-More: a\rb", "X More: a", ": a", " folded: a", "X-More: a\x01"}) {
      const testing::RawServer server([&](testing::RawConnection& peer) {
        peer.ReadRequest();
        peer.Write("HTTP/1.1 200 OK\r\nX-First: 1\r\n" + std::string(header) +
                   "\r\nContent-Length: 0\r\n\r\n");
      });
      Client client;
      ClientRequest request;
      request.url = "http://" + server.Address() + "/";
      const auto response = client.FetchAndWait(std::move(request));
      CPPUNIT_ASSERT(!response);
      CPPUNIT_ASSERT(!response.error().not_run);
    }
  }

  // Guards against an exception that passes through libcurl or ends its thread.
  void Start_CallbackThrows_EndsThatCallOnly() {
    const testing::RawServer server(&Answer);
    Client client;
    const auto fail = [] { throw std::runtime_error("test"); };
    for (int place = 0; place < 3; ++place) {
      ClientRequest request;
      request.url = "http://" + server.Address() + "/";
      ClientCallbacks callbacks;
      std::promise<bool> done;
      callbacks.on_head = [&](const ClientResponseHead&) {
        if (place == 0) fail();
      };
      callbacks.on_data = [&](std::string_view) {
        if (place == 1) fail();
      };
      callbacks.on_done = [&](const Result<int>& outcome) {
        done.set_value(outcome.has_value());
        if (place == 2) fail();
      };
      client.Start(std::move(request), std::move(callbacks));
      CPPUNIT_ASSERT_EQUAL(place == 2, done.get_future().get());
    }
    ClientRequest request;
    request.url = "http://" + server.Address() + "/";
    CPPUNIT_ASSERT(client.FetchAndWait(std::move(request)));
  }

 private:
  static void Answer(testing::RawConnection& peer) {
    while (!peer.ReadRequest().empty()) {
      peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}  // namespace
}  // namespace peridotshelf::http
