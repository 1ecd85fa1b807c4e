/// Poll timing for a fleet of entries that notify each other of changes in the
/// platform's store.
#pragma once

#include <cstddef>

#include "peridotshelf/discovery/record_follower.h"

namespace peridotshelf::discovery {

/// Returns the timing for the configuration, for whose changes each call waits.
/// `live_entries` counts the entries that report themselves, including the
/// local one; at least 1.
PollTiming MakeConfigurationTiming(size_t live_entries);

/// Returns the timing for engine registrations. These change with each
/// heartbeat, so that a waiting call would return at once; the entries poll in
/// turn instead.
PollTiming MakeRegistrationTiming(size_t live_entries);

}  // namespace peridotshelf::discovery
