/// Tells an engine that has ended from one whose connections broke.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::gateway {

/// What an attempt to connect to an address shows.
enum class ProbeVerdict {
  kRefused,    ///< The host answers, and no process listens at the address.
  kListening,  ///< A process accepts connections and keeps them.
  kReplaced,   ///< Another process than before answers at the address.
  kNoAnswer,   ///< Neither within the timeout, or the network failed.
};

/// Returns the name of the verdict in logs.
std::string_view ToString(ProbeVerdict verdict);

struct ProbeTimes {
  /// The verdict is `kNoAnswer` after this time.
  Duration timeout{};
  /// A process that ends closes its connections a moment before its port, so a
  /// connection opened meanwhile has to last this long to count.
  Duration min_connection_life = std::chrono::milliseconds(25);
};

/// Opens a connection to `address`, "IP:PORT", and closes it without sending
/// anything; opens a second one if the first is closed at once. Calls
/// `on_verdict` once, on a thread of `threads`.
void ProbeAddress(io::IoThreads& threads, const std::string& address,
                  const ProbeTimes& times,
                  std::function<void(ProbeVerdict)> on_verdict);

}  // namespace peridotshelf::gateway
