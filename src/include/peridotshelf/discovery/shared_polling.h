/// How often one of many entries that tell each other of changes asks the
/// platform for them.
#pragma once

#include <cstddef>

#include "peridotshelf/discovery/record_follower.h"

namespace peridotshelf::discovery {

/// For the configuration: one call waits for it to change. `live_entries` are
/// those that are heard from, the asking one included; at least 1.
PollTiming ConfigurationTiming(size_t live_entries);

/// For engines' registrations, which change with each heartbeat, so that a
/// waiting call would return at once: the entries poll in turn.
PollTiming RegistrationTiming(size_t live_entries);

}  // namespace peridotshelf::discovery
