#include "peridotshelf/standin/relay.h"

#include "peridotshelf/http/client.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::standin {
namespace {

std::string Url(uint16_t port, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

/// Calls an HTTP server through a relay, from clients that keep their
/// connections open between calls.
class RelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(Call_ThroughRelay_Succeeds);
  CPPUNIT_TEST(OpenConnection_Stalled_TimesOutWhileNewConnectionWorks);
  CPPUNIT_TEST(OpenConnection_Cut_IsReplaced);
  CPPUNIT_TEST(Command_Unknown_IsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_threads = std::make_unique<io::IoThreads>(2);
    http::ServerOptions options;
    options.port = m_target_port;
    auto target = http::Server::Create(
        *m_threads, options,
        [](const http::ServerRequest&, const http::ResponderPtr& responder) {
          responder->Reply(200, {}, "ok");
        });
    CPPUNIT_ASSERT(target.has_value());
    m_target = std::move(*target);
    RelayOptions relay_options;
    relay_options.port = m_relay_port;
    relay_options.target_port = m_target_port;
    relay_options.control_port = m_control_port;
    auto relay = Relay::Create(*m_threads, relay_options);
    CPPUNIT_ASSERT(relay.has_value());
    m_relay = std::move(*relay);
  }
  void tearDown() override {
    m_relay.reset();
    m_target.reset();
    m_threads.reset();
  }

  void Call_ThroughRelay_Succeeds() {
    http::Client client;
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Call(client)->body);
  }
  void OpenConnection_Stalled_TimesOutWhileNewConnectionWorks() {
    http::Client old_client;
    CPPUNIT_ASSERT(Call(old_client).has_value());
    CPPUNIT_ASSERT_EQUAL(200, PostCommand(R"({"action":"silence"})"));
    const auto response = Call(old_client);
    CPPUNIT_ASSERT(!response.has_value());
    CPPUNIT_ASSERT(response.error().code == ErrorCode::kDeadlineExceeded);
    http::Client new_client;
    CPPUNIT_ASSERT(Call(new_client).has_value());
  }
  void OpenConnection_Cut_IsReplaced() {
    http::Client client;
    CPPUNIT_ASSERT(Call(client).has_value());
    CPPUNIT_ASSERT_EQUAL(200, PostCommand(R"({"action":"cut"})"));
    CPPUNIT_ASSERT(Call(client).has_value());
  }
  void Command_Unknown_IsRefused() {
    CPPUNIT_ASSERT_EQUAL(400, PostCommand(R"({"action":"mend"})"));
    CPPUNIT_ASSERT_EQUAL(400, PostCommand("[]"));
  }

 private:
  const uint16_t m_target_port = testing::FindFreePort();
  const uint16_t m_relay_port = testing::FindFreePort();
  const uint16_t m_control_port = testing::FindFreePort();
  Result<http::ClientResponse> Call(http::Client& client) const {
    http::ClientRequest request;
    request.url = Url(m_relay_port, "/");
    request.timeout = std::chrono::seconds(2);
    return client.FetchAndWait(request);
  }
  int PostCommand(const std::string& body) const {
    http::Client client;
    http::ClientRequest request;
    request.method = "POST";
    request.url = Url(m_control_port, "/control");
    request.body = body;
    return client.FetchAndWait(request)->status;
  }

  std::unique_ptr<io::IoThreads> m_threads;
  std::unique_ptr<http::Server> m_target;
  std::unique_ptr<Relay> m_relay;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
}  // namespace peridotshelf::standin
