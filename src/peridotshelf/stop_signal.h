/// The signals that ask a process to stop or to read its settings again, as
/// something to wait for.
#pragma once

#include <csignal>
#include <optional>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::program {

/// What a process was asked for.
enum class Request { kStop, kReload };

/// Blocks the signals in this thread and all that it starts. Construct before
/// any thread; one object a process.
class StopSignal {
 public:
  StopSignal();
  /// Also takes SIGHUP, which otherwise ends the process.
  static StopSignal WithReload();
  /// Waits for SIGINT or SIGTERM.
  void Wait() const;
  /// Waits for a signal, `timeout` at most.
  std::optional<Request> WaitFor(Duration timeout) const;

 private:
  explicit StopSignal(bool with_reload);
  sigset_t m_signals{};
};

}  // namespace peridotshelf::program
