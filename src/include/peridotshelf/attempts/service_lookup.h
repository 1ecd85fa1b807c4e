/// Homes of the idempotency keys of plain services, from the configuration.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "peridotshelf/base/ids.h"
#include "peridotshelf/control/configuration.h"

namespace peridotshelf::attempts {

/// The key under which a home remembers a call: unique over services, teams
/// and callers' keys.
std::string ScopedKey(const std::string& service, const TeamId& team,
                      const std::string& idempotency_key);

/// The hosts of a service's backend servers that are not draining, sorted,
/// each once.
std::vector<HostId> HostsOf(const control::ControlState& state,
                            const control::ServiceConfig& service);

/// The plain service of that name, or null.
const control::ServiceConfig* FindPlainService(
    const control::Configuration& configuration, const std::string& name);

/// The plain service that a backend server belongs to, or null.
const control::ServiceConfig* FindServiceOfBackend(
    const control::Configuration& configuration, const std::string& backend);

}  // namespace peridotshelf::attempts
