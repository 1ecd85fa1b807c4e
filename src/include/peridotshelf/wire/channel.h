/// Connections between processes of the system: one multiplexed TCP connection
/// for each pair, with heartbeats both ways: often while it carries attempts,
/// seldom otherwise, and at once when the control version changes. A connection
/// that stays silent is dropped, although TCP may still call it open.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/wire/codec.h"

namespace peridotshelf::wire {

/// An IP address and port.
struct Endpoint {
  std::string address;
  uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): a fault of clang-tidy 14
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
  /// "ADDRESS:PORT".
  std::string ToString() const { return address + ":" + std::to_string(port); }
};

/// Bytes of a process's connections, lengths included.
struct Traffic {
  /// Hello, heartbeats and control state.
  std::atomic<uint64_t> control_sent{0};
  std::atomic<uint64_t> control_received{0};
  /// Everything that belongs to a request.
  std::atomic<uint64_t> request_sent{0};
  std::atomic<uint64_t> request_received{0};
};

/// Timing and size limits of connections.
struct ChannelOptions {
  /// While attempts are open on the connection.
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  /// Otherwise.
  Duration idle_heartbeat_interval = std::chrono::seconds(10);
  /// Three heartbeats may be lost before a connection counts as silent; for a
  /// peer that announced a longer interval the limit is longer in proportion.
  Duration silence_limit = std::chrono::milliseconds(1600);
  Duration connect_timeout = std::chrono::seconds(1);
  /// A peer that reads so slowly that this much waits is dropped.
  size_t max_queued_bytes = size_t{256} << 20;
  /// Where bytes are counted; may be null.
  std::shared_ptr<Traffic> traffic;
};

/// One open connection. Thread-safe.
class Channel {
 public:
  virtual ~Channel() = default;
  /// Queues a frame; does nothing once the connection has ended.
  virtual void Send(const Frame& frame) = 0;
  /// Drops the connection; `on_closed` is called.
  virtual void Close(Error reason) = 0;
  /// What the peer said of itself.
  virtual const Hello& peer() const = 0;
};

using ChannelPtr = std::shared_ptr<Channel>;

/// What the owner of connections is told. Calls for one connection come one
/// at a time and in order.
struct ChannelCallbacks {
  /// The peer's Hello came and its protocol version is ours.
  std::function<void(const ChannelPtr&)> on_open;
  std::function<void(const ChannelPtr&, Frame)> on_frame;
  /// The connection ended, whether or not it ever opened.
  std::function<void(const ChannelPtr&, const Error&)> on_closed;
};

/// Makes the Hello and Heartbeat frames, which carry the control version.
using HelloSource = std::function<Hello()>;

/// Accepts connections on one port until destroyed.
class Listener {
 public:
  static Result<std::unique_ptr<Listener>> Create(io::IoThreads& threads,
                                                  const Endpoint& endpoint,
                                                  ChannelOptions options,
                                                  HelloSource hello,
                                                  ChannelCallbacks callbacks);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

 private:
  struct Impl;
  explicit Listener(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/// Opens one connection. `on_closed` is called when it fails or ends; the
/// caller decides whether and when to connect again.
void Connect(io::IoThreads& threads, const Endpoint& endpoint,
             ChannelOptions options, HelloSource hello,
             ChannelCallbacks callbacks);

}  // namespace peridotshelf::wire
