/// Look-up of plain services and their hosts in the configuration.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "peridotshelf/base/ids.h"
#include "peridotshelf/control/configuration.h"

namespace peridotshelf::attempts {

/// Returns the key under which the owner stores a call: unique across services,
/// teams and callers' keys.
std::string MakeScopedKey(const std::string& service, const TeamId& team,
                          const std::string& idempotency_key);

/// Returns the hosts of a service's backend servers that are not draining,
/// sorted and without duplicates.
std::vector<HostId> FindServiceHosts(const control::ControlState& state,
                                     const control::ServiceConfig& service);

/// Returns the plain service of that name, or null.
const control::ServiceConfig* FindPlainService(
    const control::Configuration& configuration, const std::string& name);

/// Returns the plain service that a backend server belongs to, or null.
const control::ServiceConfig* FindServiceOfBackend(
    const control::Configuration& configuration, const std::string& backend);

}  // namespace peridotshelf::attempts
