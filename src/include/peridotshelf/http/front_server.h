/// An HTTP/1.1 server for caller requests that are forwarded to backend
/// servers.
///
/// RESTinio cannot end a response so that the caller detects that it is
/// incomplete, change its limits while running, or report whether anything was
/// read from a connection. This server needs all three, so it uses Asio and
/// http_parser, which is also RESTinio's parser.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/http/held_bytes.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::http {

/// Limits on the size and duration of caller requests.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{4} * 1024 * 1024;
  /// Time from a request's first byte to the end of its head.
  Duration header_timeout = std::chrono::seconds(3);
  /// Time for each 16 KiB of a body, or what remains of it.
  Duration body_timeout = std::chrono::seconds(15);
  /// Time in which the caller takes 16 KiB of an answer, or what remains of it.
  Duration send_timeout = std::chrono::seconds(8);
  /// Time that a connection may stay open without a request.
  Duration idle_timeout = std::chrono::seconds(15);
};

/// Counters of a front server.
struct FrontCounters {
  uint64_t accepted = 0;
  uint64_t open = 0;
  /// Requests rejected by the server itself: malformed, too large, too slow.
  uint64_t rejected = 0;
  /// Those of them that were rejected since too many bodies were held.
  uint64_t rejected_bodies = 0;
};

/// Serves one port. The handler and all callbacks run on the single thread of
/// `threads`; all members must be called on that thread.
class FrontServer {
 public:
  /// Shared with the server's connections; defined in front_connection.h.
  struct Impl;

  /// Starts to listen, or fails with kInternal, whose detail names the address.
  /// `threads` must have a single thread.
  static Result<std::unique_ptr<FrontServer>> Create(io::IoThreads& threads,
                                                     const std::string& address,
                                                     uint16_t port,
                                                     Handler handler);
  ~FrontServer();
  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;

  /// Applies to requests that have not begun yet.
  void SetLimits(const CallerLimits& limits);
  /// Counts the bodies of requests and the unsent parts of answers in `held`; a
  /// request whose body exceeds its limit is answered 503. Applies to new
  /// connections.
  void SetHeldBytes(std::shared_ptr<HeldBytes> held);
  /// Closes each connection after its next response.
  void CloseAfterAnswers();
  /// Closes connections on which no request has begun, now and in future. New
  /// ones have a second for their first request.
  void CloseIdle();
  /// Accepts the connections that wait in the listen queue, and no further
  /// ones, and answers 503 to requests that were read in part. Complete
  /// requests still go to the handler, which should refuse them.
  void Shutdown();
  /// Number of requests that were read and are not completely answered.
  size_t CountRunning() const;
  FrontCounters counters() const;

 private:
  explicit FrontServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::http
