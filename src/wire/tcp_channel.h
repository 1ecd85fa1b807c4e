/// The channel over a TCP socket, shared by those that accept and those that
/// connect.
#pragma once

#include <algorithm>
#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "peridotshelf/wire/channel.h"
#include "wire/open_attempts.h"

namespace peridotshelf::wire::detail {

using asio::ip::tcp;

/// How often an idle connection looks for a newer control version to tell.
inline constexpr Duration kIdleTick = std::chrono::seconds(1);
/// A peer cannot announce a longer interval.
inline constexpr Duration kLongestInterval = std::chrono::seconds(30);

/// Read at once, unless more is missing to a frame.
inline constexpr size_t kReadBytes = size_t{16} * 1024;

/// Whether the frame serves the processes themselves and no request.
inline bool IsControl(const Frame& frame) {
  return frame.__isset.hello || frame.__isset.heartbeat ||
         frame.__isset.pull_control || frame.__isset.control_state;
}

/// A `Channel` over a TCP socket. All its work runs on one strand.
class TcpChannel : public Channel,
                   public std::enable_shared_from_this<TcpChannel> {
 public:
  TcpChannel(asio::io_context& context, ChannelOptions options,
             HelloSource hello, ChannelCallbacks callbacks)
      : m_strand(asio::make_strand(context)),
        m_socket(m_strand),
        m_timer(m_strand),
        m_options(std::move(options)),
        m_hello(std::move(hello)),
        m_callbacks(std::move(callbacks)) {}

  tcp::socket& socket() { return m_socket; }

  /// Opens a connection to `endpoint`, then runs.
  void ConnectTo(const tcp::endpoint& endpoint) {
    auto self = shared_from_this();
    m_timer.expires_after(m_options.connect_timeout);
    m_timer.async_wait([self](const asio::error_code& error) {
      if (!error)
        self->End({ErrorCode::kConnectionLost, "connect timed out", false, {}});
    });
    m_socket.async_connect(endpoint, [self](const asio::error_code& error) {
      if (error) {
        self->End({ErrorCode::kConnectionLost, error.message(), false, {}});
      } else {
        self->Run();
      }
    });
  }

  /// Sends our Hello and starts reading.
  void Run() {
    asio::post(m_strand, [self = shared_from_this()] { self->Begin(); });
  }

  void Send(const Frame& frame) override {
    asio::post(m_strand, [self = shared_from_this(), bytes = Encode(frame),
                          control = IsControl(frame),
                          change = ChangeOf(frame)]() mutable {
      self->Enqueue(std::move(bytes), control);
      if (change) self->Apply(*change, /*sent=*/true);
    });
  }

  void Close(Error reason) override {
    asio::post(m_strand, [self = shared_from_this(),
                          reason = std::move(reason)] { self->End(reason); });
  }

  const Hello& peer() const override { return m_peer; }

 private:
  void Begin() {
    if (m_ended) return;
    asio::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_last_heard = std::chrono::steady_clock::now();
    m_last_heartbeat = m_last_heard;
    Frame frame;
    frame.__set_hello(m_hello());
    m_sent_version = frame.hello.control_version;
    Enqueue(Encode(frame), /*control=*/true);
    // Says how long this end may be silent while idle.
    SendHeartbeat(m_last_heard, m_sent_version);
    Read();
    Tick();
  }

  Duration Interval() const {
    return m_attempts.in_use() ? m_options.heartbeat_interval
                               : m_options.idle_heartbeat_interval;
  }

  /// How long the peer may be silent, given the interval that it announced.
  Duration SilenceLimit() const {
    return m_options.silence_limit *
           std::max<int64_t>(1, m_peer_interval / m_options.heartbeat_interval);
  }

  /// Sends a heartbeat when due and drops the connection when it is silent.
  void Tick() {
    const Duration step =
        m_attempts.in_use() ? m_options.heartbeat_interval / 2 : kIdleTick;
    m_check_at = std::chrono::steady_clock::now() + step;
    m_timer.expires_at(m_check_at);
    m_timer.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (error || self->m_ended) return;
          self->Check();
        });
  }

  void Check() {
    const TimePoint now = std::chrono::steady_clock::now();
    const bool unanswered = m_answer_due && now > *m_answer_due;
    if (unanswered || now - m_last_heard > SilenceLimit()) {
      End({ErrorCode::kConnectionLost, "peer is silent", false, {}});
      return;
    }
    // Also on a busy connection: heartbeats carry the control version.
    const int64_t version = m_hello().control_version;
    if (now - m_last_heartbeat >= Interval() || version != m_sent_version) {
      SendHeartbeat(now, version);
    }
    Tick();
  }

  void SendHeartbeat(TimePoint now, int64_t version) {
    m_last_heartbeat = now;
    m_sent_version = version;
    Heartbeat heartbeat;
    heartbeat.control_version = version;
    heartbeat.next_ms = ToMilliseconds(Interval());
    Frame frame;
    frame.__set_heartbeat(heartbeat);
    Enqueue(Encode(frame), /*control=*/true);
  }

  /// Follows the attempts that the connection carries. When the first one
  /// opens, heartbeats become frequent at both ends; the end that sent it
  /// expects to hear from the other soon, whatever interval that announced.
  void Apply(const AttemptChange& change, bool sent) {
    const bool was_in_use = m_attempts.in_use();
    m_attempts.Apply(change);
    const bool in_use = m_attempts.in_use();
    if (m_ended || in_use == was_in_use) return;
    const TimePoint now = std::chrono::steady_clock::now();
    if (sent && in_use) m_answer_due = now + m_options.silence_limit;
    // The other end must know of a longer interval too, or it would drop a
    // connection that has become idle.
    SendHeartbeat(now, m_hello().control_version);
    // Attempts that come and go must not put the check off for ever.
    if (m_check_at - now > m_options.heartbeat_interval / 2) Tick();
  }

  /// Reads what has come, be it many small frames or a part of a large one.
  void Read() {
    const size_t wanted = std::max(kReadBytes, m_missing_bytes);
    const size_t held = m_received.size();
    m_received.resize(held + wanted);
    m_socket.async_read_some(asio::buffer(m_received.data() + held, wanted),
                             [self = shared_from_this(), held](
                                 const asio::error_code& error, size_t bytes) {
                               if (self->Failed(error)) return;
                               self->m_received.resize(held + bytes);
                               self->m_last_heard =
                                   std::chrono::steady_clock::now();
                               self->m_answer_due.reset();
                               self->TakeFrames();
                               if (!self->m_ended) self->Read();
                             });
  }

  /// Dispatches all whole frames and keeps the rest.
  void TakeFrames() {
    std::span<const unsigned char> rest = m_received;
    m_missing_bytes = 0;
    while (!m_ended && rest.size() >= kLengthBytes) {
      const Result<size_t> length = DecodeLength(rest.first<kLengthBytes>());
      if (!length) return End(length.error());
      const size_t whole = kLengthBytes + *length;
      if (rest.size() < whole) {
        m_missing_bytes = whole - rest.size();
        break;
      }
      Result<Frame> frame = Decode(rest.subspan(kLengthBytes, *length));
      if (!frame) return End(frame.error());
      CountReceived(*frame, whole);
      Dispatch(std::move(*frame));
      rest = rest.subspan(whole);
    }
    const auto taken =
        static_cast<std::ptrdiff_t>(m_received.size() - rest.size());
    m_received.erase(m_received.begin(), m_received.begin() + taken);
  }

  void Dispatch(Frame frame) {
    if (!m_open) {
      OpenWith(frame);
      return;
    }
    if (frame.__isset.heartbeat && frame.heartbeat.next_ms > 0) {
      m_peer_interval = std::min<Duration>(
          std::chrono::milliseconds(frame.heartbeat.next_ms), kLongestInterval);
    }
    if (const auto change = ChangeOf(frame)) Apply(*change, /*sent=*/false);
    m_callbacks.on_frame(shared_from_this(), std::move(frame));
  }

  void CountReceived(const Frame& frame, size_t bytes) {
    if (!m_options.traffic) return;
    Traffic& traffic = *m_options.traffic;
    auto& counter =
        IsControl(frame) ? traffic.control_received : traffic.request_received;
    counter += bytes;
  }

  void OpenWith(const Frame& frame) {
    if (!frame.__isset.hello) {
      End({ErrorCode::kProtocol, "the first frame is not a Hello", false, {}});
      return;
    }
    if (frame.hello.protocol_version != kProtocolVersion) {
      End({ErrorCode::kProtocol,
           "protocol version " + std::to_string(frame.hello.protocol_version),
           false,
           {}});
      return;
    }
    m_peer = frame.hello;
    m_open = true;
    m_callbacks.on_open(shared_from_this());
  }

  void Enqueue(std::string bytes, bool control) {
    if (m_ended) return;
    if (m_options.traffic) {
      Traffic& traffic = *m_options.traffic;
      (control ? traffic.control_sent : traffic.request_sent) += bytes.size();
    }
    m_queued_bytes += bytes.size();
    if (m_queued_bytes > m_options.max_queued_bytes) {
      End({ErrorCode::kConnectionLost, "peer reads too slowly", false, {}});
      return;
    }
    m_waiting.push_back(std::move(bytes));
    if (m_writing.empty()) WriteNext();
  }

  /// Writes all that waits in one call.
  void WriteNext() {
    m_writing.swap(m_waiting);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(m_writing.size());
    for (const std::string& bytes : m_writing) {
      buffers.push_back(asio::buffer(bytes));
    }
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this()](const asio::error_code& error,
                                                  size_t written) {
                        if (self->Failed(error)) return;
                        self->m_queued_bytes -= written;
                        self->m_writing.clear();
                        if (!self->m_waiting.empty()) self->WriteNext();
                      });
  }

  bool Failed(const asio::error_code& error) {
    if (!error) return m_ended;
    End({ErrorCode::kConnectionLost, error.message(), false, {}});
    return true;
  }

  void End(const Error& reason) {
    if (m_ended) return;
    m_ended = true;
    m_timer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
    m_callbacks.on_closed(shared_from_this(), reason);
  }

  asio::strand<asio::io_context::executor_type> m_strand;
  tcp::socket m_socket;
  asio::steady_timer m_timer;
  ChannelOptions m_options;
  HelloSource m_hello;
  ChannelCallbacks m_callbacks;
  Hello m_peer;
  /// What was read and does not make a whole frame yet, and how much is missing
  /// to one, as far as that is known.
  std::vector<unsigned char> m_received;
  size_t m_missing_bytes = 0;
  std::deque<std::string> m_waiting;
  std::deque<std::string> m_writing;
  size_t m_queued_bytes = 0;
  TimePoint m_last_heard;
  TimePoint m_last_heartbeat;
  /// The peer has to be heard of by then, if set.
  std::optional<TimePoint> m_answer_due;
  Duration m_peer_interval{};
  int64_t m_sent_version = 0;
  /// When the timer runs `Check`.
  TimePoint m_check_at{};
  OpenAttempts m_attempts;
  bool m_open = false;
  bool m_ended = false;
};

}  // namespace peridotshelf::wire::detail
