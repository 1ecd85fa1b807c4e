/// Placement of calls with an idempotency key.
#pragma once

#include "entry/placement.h"

namespace peridotshelf::entry {

/// Returns whether the call may run at most once: as the caller specified, else
/// the default of the service, which excludes GET.
bool IsUnrepeatable(const control::ControlState& state,
                    const ServiceRequest& request);

/// Returns the service's backend server on the host that owns the call's key.
/// Fails with kUnknownService or kNoBackend.
Result<Candidate> PlaceAtKeyOwner(const control::ControlState& state,
                                  const ServiceRequest& request);

}  // namespace peridotshelf::entry
