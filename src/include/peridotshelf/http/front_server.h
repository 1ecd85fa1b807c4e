/// An HTTP/1.1 server for callers whose requests are forwarded.
///
/// RESTinio has no way to end an answer so that it is seen to be incomplete, to
/// take its limits anew while it runs, or to tell a connection that has been
/// read from one that has not. All three are needed here, so this server stands
/// on Asio and on http_parser, the parser that RESTinio itself uses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::http {

/// What a caller may send and how long it may take.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{4} * 1024 * 1024;
  /// From a request's first byte to the end of its head.
  Duration header_timeout = std::chrono::seconds(3);
  /// Without a request on an open connection.
  Duration idle_timeout = std::chrono::seconds(15);
};

/// What a front server has done so far.
struct FrontCounters {
  uint64_t accepted = 0;
  uint64_t open = 0;
  /// Requests answered by the server itself: malformed, too large, too slow.
  uint64_t rejected = 0;
};

/// Serves one port. Its handler and all of its callbacks run on the one thread
/// of `threads`; all members are called on that thread.
class FrontServer {
 public:
  /// Shared with the server's connections; defined in front_server.cc.
  struct Impl;

  /// Listens at once, or fails with kInternal naming the address. `threads` has
  /// a single thread.
  static Result<std::unique_ptr<FrontServer>> Create(io::IoThreads& threads,
                                                     const std::string& address,
                                                     uint16_t port,
                                                     Handler handler);
  ~FrontServer();
  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;

  /// Takes effect for requests that have not begun yet.
  void SetLimits(const CallerLimits& limits);
  /// From now on each answer is its connection's last.
  void CloseAfterAnswers();
  /// Closes connections on which no request has begun, now and from now on.
  void CloseIdle();
  /// Requests that have been read and not wholly answered.
  size_t RunningCount() const;
  FrontCounters counters() const;

 private:
  explicit FrontServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::http
