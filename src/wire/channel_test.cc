#include "peridotshelf/wire/channel.h"

#include <chrono>
#include <future>
#include <mutex>
#include <thread>

#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"
#include "wire/open_attempts.h"

namespace peridotshelf::wire {
namespace {

Frame ReserveFrame(const std::string& request) {
  Frame frame;
  frame.reserve.attempt = ToWire({RequestId(request), 1});
  frame.__isset.reserve = true;
  return frame;
}

Frame RefusedFrame(const std::string& request) {
  Frame frame;
  frame.refused.attempt = ToWire({RequestId(request), 1});
  frame.__isset.refused = true;
  return frame;
}

class OpenAttemptsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpenAttemptsTest);
  CPPUNIT_TEST(Connection_FirstAttempt_ComesIntoUse);
  CPPUNIT_TEST(Connection_LastAttemptEnded_IsIdle);
  CPPUNIT_TEST(Frame_OfNoAttempt_ChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Connection_FirstAttempt_ComesIntoUse() {
    OpenAttempts attempts;
    CPPUNIT_ASSERT(attempts.Apply(ChangeOf(ReserveFrame("a")).value()));
    CPPUNIT_ASSERT(!attempts.Apply(ChangeOf(ReserveFrame("b")).value()));
    CPPUNIT_ASSERT(attempts.in_use());
  }
  void Connection_LastAttemptEnded_IsIdle() {
    OpenAttempts attempts;
    attempts.Apply(ChangeOf(ReserveFrame("a")).value());
    attempts.Apply(ChangeOf(ReserveFrame("b")).value());
    attempts.Apply(ChangeOf(RefusedFrame("a")).value());
    CPPUNIT_ASSERT(attempts.in_use());
    attempts.Apply(ChangeOf(RefusedFrame("b")).value());
    CPPUNIT_ASSERT(!attempts.in_use());
  }
  void Frame_OfNoAttempt_ChangesNothing() {
    Frame frame;
    frame.__set_heartbeat({});
    CPPUNIT_ASSERT(!ChangeOf(frame).has_value());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OpenAttemptsTest);

/// One end of a connection in a test: counts what it hears and waits for it.
struct End {
  std::promise<ChannelPtr> opened;
  std::promise<std::string> closed;
  std::promise<void> got_request;
  std::once_flag request_once;
  /// What this end says of itself, and last heard of the other.
  std::atomic<int64_t> version{0};
  std::atomic<int64_t> heard_version{0};
  std::shared_ptr<Traffic> traffic = std::make_shared<Traffic>();

  ChannelCallbacks Callbacks() {
    ChannelCallbacks callbacks;
    callbacks.on_open = [this](const ChannelPtr& channel) {
      opened.set_value(channel);
    };
    callbacks.on_frame = [this](const ChannelPtr&, const Frame& frame) {
      if (frame.__isset.heartbeat) {
        heard_version = frame.heartbeat.control_version;
      }
      if (!frame.__isset.reserve) return;
      std::call_once(request_once, [this] { got_request.set_value(); });
    };
    callbacks.on_closed = [this](const ChannelPtr&, const Error& reason) {
      closed.set_value(reason.detail);
    };
    return callbacks;
  }
  HelloSource Source() const {
    return [this] {
      Hello hello;
      hello.protocol_version = kProtocolVersion;
      hello.control_version = version;
      return hello;
    };
  }
};

class ChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChannelTest);
  CPPUNIT_TEST(Peer_SilentAfterAttempt_IsDroppedWithinLimit);
  CPPUNIT_TEST(Version_ChangedWhileShortAttemptsFlow_IsHeard);
  CPPUNIT_TEST(Bytes_OfControlAndRequests_AreCountedApart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The listener has announced heartbeats so far apart that its silence would
  // show only after 18 s. Then its process stops while the connection stays
  // open: only the rule of the end that opens an attempt finds it sooner.
  void Peer_SilentAfterAttempt_IsDroppedWithinLimit() {
    constexpr auto kWellBeforeThat = std::chrono::seconds(10);
    ChannelOptions listener;
    listener.idle_heartbeat_interval = std::chrono::hours(1);
    ChannelOptions caller;
    caller.silence_limit = std::chrono::milliseconds(300);
    const ChannelPtr channel = Join(listener, caller);
    auto closed = m_client.closed.get_future();
    channel->Send(ReserveFrame("earlier"));
    channel->Send(RefusedFrame("earlier"));
    // Idle for longer than the limit that holds while in use: not dropped.
    CPPUNIT_ASSERT(closed.wait_for(std::chrono::milliseconds(1500)) ==
                   std::future_status::timeout);
    m_server_threads.Stop();
    channel->Send(ReserveFrame("a"));
    CPPUNIT_ASSERT(closed.wait_for(kWellBeforeThat) ==
                   std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(std::string("peer is silent"), closed.get());
  }
  void Version_ChangedWhileShortAttemptsFlow_IsHeard() {
    constexpr int kMostAttempts = 1000;
    const ChannelPtr channel = Join({}, {});
    m_server.version = 7;
    for (int i = 0; i < kMostAttempts && m_client.heard_version != 7; ++i) {
      channel->Send(ReserveFrame(std::to_string(i)));
      channel->Send(RefusedFrame(std::to_string(i)));
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, m_client.heard_version.load());
  }
  void Bytes_OfControlAndRequests_AreCountedApart() {
    const ChannelPtr channel = Join({}, {});
    channel->Send(ReserveFrame("a"));
    m_server.got_request.get_future().wait();
    const size_t request_bytes = Encode(ReserveFrame("a")).size();
    CPPUNIT_ASSERT_EQUAL(uint64_t{request_bytes},
                         m_server.traffic->request_received.load());
    CPPUNIT_ASSERT(m_server.traffic->control_received.load() > 0);
    channel->Close({ErrorCode::kConnectionLost, "done", false, {}});
    m_client.closed.get_future().wait();
  }

  // Sockets belong to the threads' context, so they are closed before it goes,
  // and no callback runs once the threads have stopped.
  void tearDown() override {
    m_listener.reset();
    m_server_threads.Stop();
    m_client_threads.Stop();
  }

 private:
  ChannelPtr Join(ChannelOptions server, ChannelOptions client) {
    server.traffic = m_server.traffic;
    client.traffic = m_client.traffic;
    const Endpoint endpoint{"127.0.0.1", testing::FreePort()};
    auto listener = Listener::Create(m_server_threads, endpoint, server,
                                     m_server.Source(), m_server.Callbacks());
    CPPUNIT_ASSERT(listener.has_value());
    m_listener = std::move(*listener);
    Connect(m_client_threads, endpoint, client, m_client.Source(),
            m_client.Callbacks());
    return m_client.opened.get_future().get();
  }

  io::IoThreads m_server_threads{1};
  io::IoThreads m_client_threads{1};
  End m_server;
  End m_client;
  std::unique_ptr<Listener> m_listener;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChannelTest);

}  // namespace
}  // namespace peridotshelf::wire
