/// SIGINT and SIGTERM as something to wait for.
#pragma once

#include "peridotshelf/base/clock.h"

namespace peridotshelf::program {

/// Blocks the signals in this thread and all that it starts. Construct before
/// any thread; one object a process.
class StopSignal {
 public:
  StopSignal();
  /// Waits for the first signal.
  void Wait() const;
};

}  // namespace peridotshelf::program
