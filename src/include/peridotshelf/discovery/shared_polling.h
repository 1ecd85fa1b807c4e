/// Poll timing for a fleet of entries that notify each other of changes in the
/// platform's store.
#pragma once

#include <cstddef>
#include <cstdint>

#include "peridotshelf/discovery/record_follower.h"

namespace peridotshelf::discovery {

/// With more entries than this, their polls are spread evenly enough that the
/// pause of each entry can grow with their number without longer gaps.
inline constexpr int64_t kMinEntriesToSpread = 8;

/// Returns the timing for reading the configuration: each call waits for a
/// change. Changes are found within `bound` although the topic does not end a
/// waiting call, or one answer is lost; no peer has to announce them.
/// `answer_timeout` is the time after its wait in which a call must be
/// answered.
///
/// In larger fleets the entries take turns: only some have a call that waits at
/// the topic at any time. The others rely on the reads that their peers report,
/// and read for themselves when the newest one that shows their records to be
/// complete is older than a call would have waited, so that the bound holds as
/// it does for an entry alone.
PollTiming MakeConfigurationTiming(Duration bound, Duration answer_timeout,
                                   size_t live_entries = 1);

/// Returns the timing for reading engine registrations. They change with each
/// heartbeat, so a call that waits for a change would return at once; the
/// entries poll in turn instead. `live_entries` is the number of live entries,
/// including the local one; at least 1.
/// `leave_bound` is the time for which a leaving engine may still receive
/// requests.
PollTiming MakeRegistrationTiming(size_t live_entries, Duration leave_bound);

/// Pause between the calls of one entry during an outage of the store while no
/// other entry reads it.
inline constexpr Duration kMaxRetryPause = std::chrono::milliseconds(600);

/// Returns the longest pause between the calls of one of `live_entries` entries
/// during an outage of the store. The entries share the calls that find out
/// when it ends, since each tells the others when it has read. An entry that
/// has not `has_records` yet cannot serve and does not wait longer.
Duration ShareRetryPause(size_t live_entries, bool has_records);

}  // namespace peridotshelf::discovery
