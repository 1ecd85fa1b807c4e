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
constexpr Duration kMaxPause = std::chrono::seconds(6);
/// An entry alone must find the end of an outage well before its bounds hold
/// again, which is 3 s after that end at the earliest.
constexpr Duration kMaxSharedRetryPause = std::chrono::seconds(2);

}  // namespace

PollTiming MakeConfigurationTiming(Duration bound, Duration answer_timeout,
                                   size_t live_entries) {
  const auto entries = static_cast<int64_t>(live_entries);
  PollTiming timing;
  timing.wait =
      std::clamp(bound - answer_timeout - timing.retry_pause - kAdoptionTime,
                 kMinConfigurationWait, kMaxConfigurationWait);
  if (entries > kMinEntriesToSpread) {
    timing.pause = std::min(
        timing.wait * (entries - kMinEntriesToSpread) / kMinEntriesToSpread,
        kMaxPause);
    timing.max_age = timing.wait;
    // A call that waited for as long as the greatest age would be replaced by
    // the check of the age each time, by all entries at once.
    timing.wait /= 2;
  }
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

Duration ShareRetryPause(size_t live_entries, bool has_records) {
  const auto entries = static_cast<int64_t>(live_entries);
  if (!has_records || entries <= kMinEntriesToSpread) return kMaxRetryPause;
  return std::min(kMaxRetryPause * entries / kMinEntriesToSpread,
                  kMaxSharedRetryPause);
}

}  // namespace peridotshelf::discovery
