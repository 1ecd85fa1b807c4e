/// The threads on which a process's sockets and timers run.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "peridotshelf/base/clock.h"

namespace asio {
class io_context;
}

namespace peridotshelf::io {

/// A pool of threads over one Asio context. Callbacks run on any of them.
class IoThreads {
 public:
  /// Starts `threads` threads (at least one).
  explicit IoThreads(size_t threads);
  /// Stops and joins.
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  /// Runs `task` soon on one of the threads.
  void Post(std::function<void()> task);
  /// Runs `task` once after `delay`. It cannot be withdrawn: the task itself
  /// checks whether it still matters.
  void RunAfter(Duration delay, std::function<void()> task);
  /// Ends the threads; tasks not yet run are dropped.
  void Stop();
  /// For the libraries that build on Asio.
  asio::io_context& context();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::io
