#include "peridotshelf/discovery/shared_polling.h"

#include <algorithm>

namespace peridotshelf::discovery {
namespace {

constexpr Duration kMinConfigurationWait = std::chrono::milliseconds(200);
constexpr Duration kMaxConfigurationWait = std::chrono::seconds(6);
/// Time for the call that follows a lost one, and for applying its records.
constexpr Duration kAdoptionTime = std::chrono::milliseconds(100);
/// Interval between polls of the registrations by all entries together.
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
/// The longest time without a poll by any entry, as a fraction of the time for
/// which a leaving engine may receive requests. The remainder is for the call
/// and for requests on their way.
constexpr double kMaxPollGapFraction = 0.7;
/// Engines that are taken away exit about 2 s after their notice, however long
/// they may receive requests.
constexpr Duration kMaxPollGap = std::chrono::milliseconds(1400);
/// Added to the poll gap for the greatest age, so that in small fleets the
/// regular polls come first.
constexpr Duration kMaxAgeMargin = std::chrono::milliseconds(100);
/// With more entries than this, their polls are spread evenly enough that the
/// pause of each entry can grow with their number without longer gaps.
constexpr int64_t kMinEntriesToSpread = 8;
constexpr Duration kMaxPause = std::chrono::seconds(6);

}  // namespace

PollTiming MakeConfigurationTiming(Duration bound, Duration answer_timeout) {
  PollTiming timing;
  timing.wait =
      std::clamp(bound - answer_timeout - timing.retry_pause - kAdoptionTime,
                 kMinConfigurationWait, kMaxConfigurationWait);
  return timing;
}

PollTiming MakeRegistrationTiming(size_t live_entries, Duration leave_bound) {
  const auto entries = static_cast<int64_t>(live_entries);
  const Duration max_gap = std::min(
      kMaxPollGap,
      std::chrono::duration_cast<Duration>(leave_bound * kMaxPollGapFraction));
  const Duration max_pause_for_gap =
      max_gap * std::max(entries, kMinEntriesToSpread) / kMinEntriesToSpread;
  PollTiming timing;
  timing.pause =
      std::min({kPollInterval * entries, max_pause_for_gap, kMaxPause});
  timing.max_age = max_gap + kMaxAgeMargin;
  return timing;
}

}  // namespace peridotshelf::discovery
