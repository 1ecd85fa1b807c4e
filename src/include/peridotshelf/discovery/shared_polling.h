/// Poll timing for a fleet of entries that notify each other of changes in the
/// platform's store.
#pragma once

#include <cstddef>

#include "peridotshelf/discovery/record_follower.h"

namespace peridotshelf::discovery {

/// Returns the timing for reading the configuration: each call waits for a
/// change. Changes are found within `bound` although the topic does not end a
/// waiting call, or one answer is lost; no peer has to announce them.
/// `answer_timeout` is the time after its wait in which a call must be
/// answered.
PollTiming MakeConfigurationTiming(Duration bound, Duration answer_timeout);

/// Returns the timing for reading engine registrations. They change with each
/// heartbeat, so a call that waits for a change would return at once; the
/// entries poll in turn instead. `live_entries` is the number of live entries,
/// including the local one; at least 1.
/// `leave_bound` is the time for which a leaving engine may still receive
/// requests.
PollTiming MakeRegistrationTiming(size_t live_entries, Duration leave_bound);

}  // namespace peridotshelf::discovery
