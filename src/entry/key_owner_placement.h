/// Where a call with an idempotency key must run.
#pragma once

#include "entry/placement.h"

namespace peridotshelf::entry {

/// Whether the call may run at most once: as the caller said, else as the
/// service's configuration has it for methods other than GET.
bool IsUnrepeatable(const control::ControlState& state,
                    const ServiceRequest& request);

/// The backend server beside the home side of the call's key, or
/// kUnknownService or kNoBackend.
Result<Candidate> PlaceAtKeyOwner(const control::ControlState& state,
                                  const ServiceRequest& request);

}  // namespace peridotshelf::entry
