#include "peridotshelf/wire/channel.h"

#include <chrono>
#include <future>
#include <mutex>
#include <thread>

#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/raw_server.h"
#include "peridotshelf/testing/test.h"
#include "peridotshelf/wire/codec.h"
#include "wire/open_attempts.h"

namespace peridotshelf::wire {
namespace {

Frame MakeReserveFrame(const std::string& request) {
  Frame frame;
  frame.reserve.attempt = ToWire({RequestId(request), 1});
  frame.__isset.reserve = true;
  return frame;
}

Frame MakeRefusedFrame(const std::string& request) {
  Frame frame;
  frame.refused.attempt = ToWire({RequestId(request), 1});
  frame.__isset.refused = true;
  return frame;
}

class OpenAttemptsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpenAttemptsTest);
  CPPUNIT_TEST(Connection_FirstAttempt_IsInUse);
  CPPUNIT_TEST(Connection_LastAttemptEnded_IsIdle);
  CPPUNIT_TEST(Frame_WithoutAttempt_ChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Connection_FirstAttempt_IsInUse() {
    OpenAttempts attempts;
    CPPUNIT_ASSERT(
        attempts.Apply(FindAttemptChange(MakeReserveFrame("a")).value()));
    CPPUNIT_ASSERT(
        !attempts.Apply(FindAttemptChange(MakeReserveFrame("b")).value()));
    CPPUNIT_ASSERT(attempts.in_use());
  }
  void Connection_LastAttemptEnded_IsIdle() {
    OpenAttempts attempts;
    attempts.Apply(FindAttemptChange(MakeReserveFrame("a")).value());
    attempts.Apply(FindAttemptChange(MakeReserveFrame("b")).value());
    attempts.Apply(FindAttemptChange(MakeRefusedFrame("a")).value());
    CPPUNIT_ASSERT(attempts.in_use());
    attempts.Apply(FindAttemptChange(MakeRefusedFrame("b")).value());
    CPPUNIT_ASSERT(!attempts.in_use());
  }
  void Frame_WithoutAttempt_ChangesNothing() {
    Frame frame;
    frame.__set_heartbeat({});
    CPPUNIT_ASSERT(!FindAttemptChange(frame).has_value());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OpenAttemptsTest);

/// One end of a connection: records what it receives and lets the test wait for
/// it.
struct TestPeer {
  std::promise<ChannelPtr> opened;
  std::promise<std::string> closed;
  std::promise<void> got_request;
  std::once_flag request_once;
  /// Control version that this end reports, and the last one received from the
  /// peer.
  std::atomic<int64_t> version{0};
  std::atomic<int64_t> received_version{0};
  std::shared_ptr<Traffic> traffic = std::make_shared<Traffic>();

  ChannelCallbacks MakeCallbacks() {
    ChannelCallbacks callbacks;
    callbacks.on_open = [this](const ChannelPtr& channel) {
      opened.set_value(channel);
    };
    callbacks.on_frame = [this](const ChannelPtr&, const Frame& frame) {
      if (frame.__isset.heartbeat) {
        received_version = frame.heartbeat.control_version;
      }
      if (!frame.__isset.reserve) return;
      std::call_once(request_once, [this] { got_request.set_value(); });
    };
    callbacks.on_closed = [this](const ChannelPtr&, const Error& reason) {
      closed.set_value(reason.detail);
    };
    return callbacks;
  }
  HelloSource MakeHelloSource() const {
    return [this] {
      Hello hello;
      hello.protocol_version = kProtocolVersion;
      hello.control_version = version;
      return hello;
    };
  }
};

/// Says that it is idle, also after `request_sent`, and then nothing more.
void SayIdleThenNothing(testing::RawConnection& connection,
                        const std::shared_future<void>& request_sent) {
  Frame hello;
  hello.__set_hello({});
  hello.hello.protocol_version = kProtocolVersion;
  Frame heartbeat;
  heartbeat.__set_heartbeat({});
  heartbeat.heartbeat.next_ms = 2000;
  connection.Write(Encode(hello) + Encode(heartbeat));
  request_sent.wait();
  connection.Write(Encode(heartbeat));
  connection.WaitForEnd();
}

class ChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChannelTest);
  CPPUNIT_TEST(Peer_UnresponsiveAfterAttempt_IsDroppedWithinTimeout);
  CPPUNIT_TEST(Peer_SilentAfterLateIdleHeartbeat_IsDroppedWithinTimeout);
  CPPUNIT_TEST(Version_ChangedDuringShortAttempts_IsReceived);
  CPPUNIT_TEST(Bytes_OfControlAndRequests_AreCountedSeparately);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that waits for many times the receive timeout on a
  // silent connection: a heartbeat that its peer sent while idle, and that came
  // after the request was sent, counted as a reply and allowed the long
  // interval.
  void Peer_SilentAfterLateIdleHeartbeat_IsDroppedWithinTimeout() {
    std::promise<void> sent;
    const std::shared_future<void> request_sent = sent.get_future().share();
    const testing::RawServer server([&](testing::RawConnection& connection) {
      SayIdleThenNothing(connection, request_sent);
    });
    const std::string address = server.Address();
    const size_t colon = address.find(':');
    ChannelOptions options;
    options.heartbeat_interval = std::chrono::milliseconds(20);
    options.idle_heartbeat_interval = std::chrono::seconds(2);
    options.receive_timeout = std::chrono::milliseconds(300);
    io::IoThreads threads(1);
    TestPeer client;
    Connect(threads,
            {address.substr(0, colon),
             static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))},
            options, client.MakeHelloSource(), client.MakeCallbacks());
    client.opened.get_future().get()->Send(MakeReserveFrame("a"));
    std::promise<void> reserve_sent;
    // The frame is queued in a task of the channel.
    threads.RunAfter(std::chrono::milliseconds(20),
                     [&] { reserve_sent.set_value(); });
    reserve_sent.get_future().get();
    sent.set_value();
    auto closed = client.closed.get_future();
    const bool is_dropped =
        closed.wait_for(std::chrono::seconds(5)) == std::future_status::ready;
    threads.Stop();
    CPPUNIT_ASSERT(is_dropped);
    CPPUNIT_ASSERT_EQUAL(std::string("peer is unresponsive"), closed.get());
  }
  // Guards against a request that waits too long for an unresponsive peer. The
  // idle heartbeat interval that the listener announces gives the client a
  // receive timeout of 18 s. Then the listener's threads stop while the
  // connection stays open. The client, which opens an attempt, must apply its
  // configured, shorter timeout.
  void Peer_UnresponsiveAfterAttempt_IsDroppedWithinTimeout() {
    constexpr auto kDropTimeout = std::chrono::seconds(10);
    ChannelOptions listener;
    listener.idle_heartbeat_interval = std::chrono::hours(1);
    ChannelOptions caller;
    caller.receive_timeout = std::chrono::milliseconds(300);
    const ChannelPtr channel = OpenConnection(listener, caller);
    auto closed = m_client.closed.get_future();
    channel->Send(MakeReserveFrame("earlier"));
    channel->Send(MakeRefusedFrame("earlier"));
    // An idle connection is kept beyond the timeout of a connection in use.
    CPPUNIT_ASSERT(closed.wait_for(std::chrono::milliseconds(1500)) ==
                   std::future_status::timeout);
    m_server_threads.Stop();
    channel->Send(MakeReserveFrame("a"));
    CPPUNIT_ASSERT(closed.wait_for(kDropTimeout) == std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(std::string("peer is unresponsive"), closed.get());
  }
  void Version_ChangedDuringShortAttempts_IsReceived() {
    constexpr int kMaxAttempts = 1000;
    const ChannelPtr channel = OpenConnection({}, {});
    m_server.version = 7;
    for (int i = 0; i < kMaxAttempts && m_client.received_version != 7; ++i) {
      channel->Send(MakeReserveFrame(std::to_string(i)));
      channel->Send(MakeRefusedFrame(std::to_string(i)));
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, m_client.received_version.load());
  }
  void Bytes_OfControlAndRequests_AreCountedSeparately() {
    const ChannelPtr channel = OpenConnection({}, {});
    channel->Send(MakeReserveFrame("a"));
    m_server.got_request.get_future().wait();
    const size_t request_bytes = Encode(MakeReserveFrame("a")).size();
    CPPUNIT_ASSERT_EQUAL(uint64_t{request_bytes},
                         m_server.traffic->request_received.load());
    CPPUNIT_ASSERT(m_server.traffic->control_received.load() > 0);
    channel->Close({ErrorCode::kConnectionLost, "done", false, {}});
    m_client.closed.get_future().wait();
  }

  // Sockets must be closed before the threads' context is destroyed. No
  // callback runs once the threads have stopped.
  void tearDown() override {
    m_listener.reset();
    m_server_threads.Stop();
    m_client_threads.Stop();
  }

 private:
  ChannelPtr OpenConnection(ChannelOptions server, ChannelOptions client) {
    server.traffic = m_server.traffic;
    client.traffic = m_client.traffic;
    const Endpoint endpoint{"127.0.0.1", testing::FindFreePort()};
    auto listener =
        Listener::Create(m_server_threads, endpoint, server,
                         m_server.MakeHelloSource(), m_server.MakeCallbacks());
    CPPUNIT_ASSERT(listener.has_value());
    m_listener = std::move(*listener);
    Connect(m_client_threads, endpoint, client, m_client.MakeHelloSource(),
            m_client.MakeCallbacks());
    return m_client.opened.get_future().get();
  }

  io::IoThreads m_server_threads{1};
  io::IoThreads m_client_threads{1};
  TestPeer m_server;
  TestPeer m_client;
  std::unique_ptr<Listener> m_listener;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChannelTest);

}  // namespace
}  // namespace peridotshelf::wire
