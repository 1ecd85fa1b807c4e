/// Waits for the signals that ask a process to stop or to reread its settings.
#pragma once

#include <csignal>
#include <optional>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::program {

/// Action that a signal requests.
enum class SignalAction { kStop, kReload };

/// Blocks the signals in this thread and in all threads started from it.
/// Construct one object per process, before any thread is started.
class StopSignal {
 public:
  StopSignal();
  /// Also waits for SIGHUP, which would otherwise end the process.
  static StopSignal WithReload();
  /// Waits for SIGINT or SIGTERM.
  void Wait() const;
  /// Waits for a signal; returns nullopt after `timeout`.
  std::optional<SignalAction> WaitFor(Duration timeout) const;

 private:
  explicit StopSignal(bool with_reload);
  sigset_t m_signals{};
};

}  // namespace peridotshelf::program
