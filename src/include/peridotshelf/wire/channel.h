/// Connections between the processes of the system: one multiplexed TCP
/// connection per pair, with heartbeats in both directions. Heartbeats are
/// frequent while the connection carries attempts, infrequent while it is idle,
/// and immediate when the control version changes. A connection whose peer
/// stops sending is dropped, even if TCP still reports it as open.
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
  // NOLINTNEXTLINE(modernize-use-nullptr): bug in clang-tidy 14
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
  /// "ADDRESS:PORT".
  std::string ToString() const { return address + ":" + std::to_string(port); }
};

/// Byte counters over all connections of a process, including the length
/// prefixes.
struct Traffic {
  /// Hello, heartbeat and control state frames.
  std::atomic<uint64_t> control_sent{0};
  std::atomic<uint64_t> control_received{0};
  /// All other frames; they belong to requests.
  std::atomic<uint64_t> request_sent{0};
  std::atomic<uint64_t> request_received{0};
};

/// Timing and size limits of connections.
struct ChannelOptions {
  /// Heartbeat interval while attempts are open on the connection.
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  /// Heartbeat interval while the connection is idle.
  Duration idle_heartbeat_interval = std::chrono::seconds(10);
  /// The connection is dropped if nothing is received for this long, which
  /// allows for three lost heartbeats. Scaled up in proportion for a peer that
  /// announced a longer interval.
  Duration receive_timeout = std::chrono::milliseconds(1600);
  Duration connect_timeout = std::chrono::seconds(1);
  /// A connection with more bytes queued to send is dropped: its peer reads too
  /// slowly.
  size_t max_queued_bytes = size_t{256} << 20;
  /// Byte counters to update; may be null.
  std::shared_ptr<Traffic> traffic;
};

/// One open connection. Thread-safe.
class Channel {
 public:
  virtual ~Channel() = default;
  /// Queues a frame; does nothing once the connection has ended.
  virtual void Send(const Frame& frame) = 0;
  /// Closes the connection and calls `on_closed`.
  virtual void Close(Error reason) = 0;
  /// The peer's Hello.
  virtual const Hello& peer() const = 0;
};

using ChannelPtr = std::shared_ptr<Channel>;

/// Callbacks of connections. Calls for one connection are serialized and in
/// order.
struct ChannelCallbacks {
  /// Called on receipt of a Hello with the same protocol version.
  std::function<void(const ChannelPtr&)> on_open;
  std::function<void(const ChannelPtr&, Frame)> on_frame;
  /// Called when the connection ends, whether or not it was opened.
  std::function<void(const ChannelPtr&, const Error&)> on_closed;
};

/// Returns the Hello to send; also the source of the control version in
/// heartbeats.
using HelloSource = std::function<Hello()>;

/// Accepts connections on a port until destroyed.
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

/// Opens a connection. `on_closed` is called when it fails or ends; the caller
/// decides whether and when to reconnect.
void Connect(io::IoThreads& threads, const Endpoint& endpoint,
             ChannelOptions options, HelloSource hello,
             ChannelCallbacks callbacks);

}  // namespace peridotshelf::wire
