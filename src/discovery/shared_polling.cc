#include "peridotshelf/discovery/shared_polling.h"

#include <algorithm>

namespace peridotshelf::discovery {
namespace {

/// The configuration comes as soon as it is published; one call waits this
/// long. An answer that is lost shows only when the call times out, and a
/// change must be in force before that is seen by callers.
constexpr Duration kConfigurationWait = std::chrono::milliseconds(1500);
/// With peers that tell of new versions a lost answer does not go unnoticed.
constexpr Duration kConfigurationWaitWithPeers = std::chrono::seconds(6);
/// Registrations are read this often by all entries together.
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
/// The longest time without a poll by anybody: a leaving engine may get
/// requests for two seconds, of which the rest is for hearing of it.
constexpr Duration kLongestGap = std::chrono::milliseconds(1400);
/// Polls of so many entries come at moments unlike enough that a longer pause
/// of each leaves no longer gap.
constexpr int64_t kEntriesPerGap = 8;
constexpr Duration kLongestPause = std::chrono::seconds(6);

}  // namespace

PollTiming ConfigurationTiming(size_t live_entries) {
  PollTiming timing;
  timing.wait =
      live_entries > 1 ? kConfigurationWaitWithPeers : kConfigurationWait;
  return timing;
}

PollTiming RegistrationTiming(size_t live_entries) {
  const auto entries = static_cast<int64_t>(live_entries);
  const Duration without_gap =
      kLongestGap * std::max(entries, kEntriesPerGap) / kEntriesPerGap;
  PollTiming timing;
  timing.pause =
      std::min({kPollInterval * entries, without_gap, kLongestPause});
  return timing;
}

}  // namespace peridotshelf::discovery
