/// A channel over a TCP socket, for accepted and outgoing connections.
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

/// Interval at which an idle connection checks for a newer control version to
/// report.
inline constexpr Duration kIdleCheckInterval = std::chrono::seconds(1);
/// Upper bound on the heartbeat interval that a peer can announce.
inline constexpr Duration kMaxPeerInterval = std::chrono::seconds(30);

/// Size of a read, unless the rest of a frame needs more.
inline constexpr size_t kReadBytes = size_t{16} * 1024;

/// Returns whether the frame is connection or control traffic that belongs to
/// no request.
inline bool IsControl(const Frame& frame) {
  return frame.__isset.hello || frame.__isset.heartbeat ||
         frame.__isset.pull_control || frame.__isset.control_state;
}

/// A `Channel` over a TCP socket. All handlers run on one strand.
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

  /// Connects to `endpoint`, then calls Run.
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

  /// Sends the Hello and starts reading.
  void Run() {
    asio::post(m_strand, [self = shared_from_this()] { self->Begin(); });
  }

  void Send(const Frame& frame) override {
    asio::post(m_strand, [self = shared_from_this(), bytes = Encode(frame),
                          is_control = IsControl(frame),
                          change = FindAttemptChange(frame)]() mutable {
      self->Enqueue(std::move(bytes), is_control);
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
    m_last_received = std::chrono::steady_clock::now();
    m_last_heartbeat = m_last_received;
    Frame frame;
    frame.__set_hello(m_hello());
    m_sent_version = frame.hello.control_version;
    Enqueue(Encode(frame), /*is_control=*/true);
    // Announces the heartbeat interval of this end while idle.
    SendHeartbeat(m_last_received, m_sent_version);
    Read();
    ScheduleCheck();
  }

  Duration HeartbeatInterval() const {
    return m_attempts.in_use() ? m_options.heartbeat_interval
                               : m_options.idle_heartbeat_interval;
  }

  /// Returns how long the peer may send nothing, given the heartbeat interval
  /// that it announced.
  Duration ReceiveTimeout() const {
    return m_options.receive_timeout *
           std::max<int64_t>(
               1, m_peer_heartbeat_interval / m_options.heartbeat_interval);
  }

  /// Schedules the next call of Check.
  void ScheduleCheck() {
    const Duration delay = m_attempts.in_use()
                               ? m_options.heartbeat_interval / 2
                               : kIdleCheckInterval;
    m_next_check = std::chrono::steady_clock::now() + delay;
    m_timer.expires_at(m_next_check);
    m_timer.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (error || self->m_ended) return;
          self->Check();
        });
  }

  /// Sends a heartbeat if due, and drops the connection if the peer is
  /// unresponsive.
  void Check() {
    const TimePoint now = std::chrono::steady_clock::now();
    const bool is_reply_overdue = m_reply_deadline && now > *m_reply_deadline;
    if (is_reply_overdue || now - m_last_received > ReceiveTimeout()) {
      End({ErrorCode::kConnectionLost, "peer is unresponsive", false, {}});
      return;
    }
    // Sent on a busy connection too: heartbeats carry the control version.
    const int64_t version = m_hello().control_version;
    if (now - m_last_heartbeat >= HeartbeatInterval() ||
        version != m_sent_version) {
      SendHeartbeat(now, version);
    }
    ScheduleCheck();
  }

  void SendHeartbeat(TimePoint now, int64_t version) {
    m_last_heartbeat = now;
    m_sent_version = version;
    Heartbeat heartbeat;
    heartbeat.control_version = version;
    heartbeat.next_ms = ToMilliseconds(HeartbeatInterval());
    Frame frame;
    frame.__set_heartbeat(heartbeat);
    Enqueue(Encode(frame), /*is_control=*/true);
  }

  /// Tracks the open attempts of the connection. When the first attempt opens,
  /// both ends send heartbeats at the shorter interval. The end that opened it
  /// must receive data within `receive_timeout`, even if the peer announced a
  /// longer interval.
  void Apply(const AttemptChange& change, bool sent) {
    const bool was_in_use = m_attempts.in_use();
    m_attempts.Apply(change);
    const bool in_use = m_attempts.in_use();
    if (sent && change.opens) m_has_opened_attempts = true;
    if (m_ended || in_use == was_in_use) return;
    const TimePoint now = std::chrono::steady_clock::now();
    if (sent && in_use) m_reply_deadline = now + m_options.receive_timeout;
    // The peer must also learn of a longer interval, or it would drop a
    // connection that has become idle.
    SendHeartbeat(now, m_hello().control_version);
    // Rescheduled only if the next check is too late: otherwise short attempts
    // could postpone the check forever.
    if (m_next_check - now > m_options.heartbeat_interval / 2) ScheduleCheck();
  }

  /// Called for each heartbeat. One that announces a longer interval was sent
  /// before the peer received this end's open attempt, and is no reply to it.
  void ExpectReplyIfInUse() {
    if (!m_has_opened_attempts || !m_attempts.in_use() ||
        m_peer_heartbeat_interval <= m_options.heartbeat_interval) {
      return;
    }
    m_reply_deadline =
        std::chrono::steady_clock::now() + m_options.receive_timeout;
  }

  /// Reads the available bytes: many small frames or a part of a large one.
  void Read() {
    const size_t read_size = std::max(kReadBytes, m_missing_bytes);
    const size_t buffered = m_received.size();
    m_received.resize(buffered + read_size);
    m_socket.async_read_some(
        asio::buffer(m_received.data() + buffered, read_size),
        [self = shared_from_this(), buffered](const asio::error_code& error,
                                              size_t bytes) {
          if (self->EndOnError(error)) return;
          self->m_received.resize(buffered + bytes);
          self->m_last_received = std::chrono::steady_clock::now();
          self->m_reply_deadline.reset();
          self->DispatchFrames();
          if (!self->m_ended) self->Read();
        });
  }

  /// Dispatches all complete frames and keeps the remaining bytes.
  void DispatchFrames() {
    std::span<const unsigned char> unread = m_received;
    m_missing_bytes = 0;
    while (!m_ended && unread.size() >= kLengthBytes) {
      const Result<size_t> length = DecodeLength(unread.first<kLengthBytes>());
      if (!length) return End(length.error());
      const size_t frame_size = kLengthBytes + *length;
      if (unread.size() < frame_size) {
        m_missing_bytes = frame_size - unread.size();
        break;
      }
      Result<Frame> frame = Decode(unread.subspan(kLengthBytes, *length));
      if (!frame) return End(frame.error());
      CountReceived(*frame, frame_size);
      Dispatch(std::move(*frame));
      unread = unread.subspan(frame_size);
    }
    const auto consumed =
        static_cast<std::ptrdiff_t>(m_received.size() - unread.size());
    m_received.erase(m_received.begin(), m_received.begin() + consumed);
  }

  void Dispatch(Frame frame) {
    if (!m_is_open) {
      HandleHello(frame);
      return;
    }
    if (frame.__isset.heartbeat && frame.heartbeat.next_ms > 0) {
      m_peer_heartbeat_interval = std::min<Duration>(
          std::chrono::milliseconds(frame.heartbeat.next_ms), kMaxPeerInterval);
      ExpectReplyIfInUse();
    }
    if (const auto change = FindAttemptChange(frame))
      Apply(*change, /*sent=*/false);
    m_callbacks.on_frame(shared_from_this(), std::move(frame));
  }

  void CountReceived(const Frame& frame, size_t bytes) {
    if (!m_options.traffic) return;
    Traffic& traffic = *m_options.traffic;
    auto& counter =
        IsControl(frame) ? traffic.control_received : traffic.request_received;
    counter += bytes;
  }

  void HandleHello(const Frame& frame) {
    if (!frame.__isset.hello) {
      End({ErrorCode::kProtocol, "the first frame is not a Hello", false, {}});
      return;
    }
    if (frame.hello.protocol_version != kProtocolVersion) {
      End({ErrorCode::kProtocol,
           "unsupported protocol version " +
               std::to_string(frame.hello.protocol_version),
           false,
           {}});
      return;
    }
    m_peer = frame.hello;
    m_is_open = true;
    m_callbacks.on_open(shared_from_this());
  }

  void Enqueue(std::string bytes, bool is_control) {
    if (m_ended) return;
    if (m_options.traffic) {
      Traffic& traffic = *m_options.traffic;
      (is_control ? traffic.control_sent : traffic.request_sent) +=
          bytes.size();
    }
    m_queued_bytes += bytes.size();
    if (m_queued_bytes > m_options.max_queued_bytes) {
      End({ErrorCode::kConnectionLost, "peer reads too slowly", false, {}});
      return;
    }
    m_send_queue.push_back(std::move(bytes));
    if (m_writes_in_flight.empty()) WriteNext();
  }

  /// Writes all queued frames in one call.
  void WriteNext() {
    m_writes_in_flight.swap(m_send_queue);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(m_writes_in_flight.size());
    for (const std::string& bytes : m_writes_in_flight) {
      buffers.push_back(asio::buffer(bytes));
    }
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this()](const asio::error_code& error,
                                                  size_t written) {
                        if (self->EndOnError(error)) return;
                        self->m_queued_bytes -= written;
                        self->m_writes_in_flight.clear();
                        if (!self->m_send_queue.empty()) self->WriteNext();
                      });
  }

  bool EndOnError(const asio::error_code& error) {
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
  /// Bytes of an incomplete frame, and the number of bytes missing from it (0
  /// if unknown).
  std::vector<unsigned char> m_received;
  size_t m_missing_bytes = 0;
  std::deque<std::string> m_send_queue;
  std::deque<std::string> m_writes_in_flight;
  size_t m_queued_bytes = 0;
  TimePoint m_last_received;
  TimePoint m_last_heartbeat;
  /// If set, the connection is dropped unless data arrives by this time.
  std::optional<TimePoint> m_reply_deadline;
  Duration m_peer_heartbeat_interval{};
  int64_t m_sent_version = 0;
  /// When the timer runs `Check`.
  TimePoint m_next_check{};
  OpenAttempts m_attempts;
  /// Attempts are opened by this end, not by its peer.
  bool m_has_opened_attempts = false;
  bool m_is_open = false;
  bool m_ended = false;
};

}  // namespace peridotshelf::wire::detail
