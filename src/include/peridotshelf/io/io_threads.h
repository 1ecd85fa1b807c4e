/// Thread pool for the sockets and timers of a process.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "peridotshelf/base/clock.h"

namespace asio {
class io_context;
}

namespace peridotshelf::io {

/// A thread pool that runs one Asio context. Callbacks run on any thread.
class IoThreads {
 public:
  /// Starts `threads` threads (at least one).
  explicit IoThreads(size_t threads);
  /// Stops and joins the threads.
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  /// Queues `task` to run on one of the threads.
  void Post(std::function<void()> task);
  /// Runs `task` once after `delay`. It cannot be cancelled; the task must
  /// check whether it is still needed.
  void RunAfter(Duration delay, std::function<void()> task);
  /// Stops and joins the threads; tasks that have not run are dropped.
  void Stop();
  /// The Asio context, for libraries built on Asio.
  asio::io_context& context();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::io
