/// Poll timing for a fleet of entries that notify each other of changes in the
/// platform's store.
#pragma once

#include <cstddef>

#include "peridotshelf/discovery/record_follower.h"

namespace peridotshelf::discovery {

/// Returns the timing for reading the configuration: each call waits for a
/// change. `live_entries` is the number of live entries, including the local
/// one; at least 1.
PollTiming MakeConfigurationTiming(size_t live_entries);

/// Returns the timing for reading engine registrations. They change with each
/// heartbeat, so a call that waits for a change would return at once; the
/// entries poll in turn instead.
/// `leave_bound` is the time for which a leaving engine may still receive
/// requests.
PollTiming MakeRegistrationTiming(size_t live_entries, Duration leave_bound);

}  // namespace peridotshelf::discovery
