/// Chooses the backend server for a call to a plain service.
///
/// Designed for many small calls to few servers that differ in speed and
/// occasionally fail or stall. Each entry sees only its share of the calls.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/scheduling/engine_model.h"

namespace peridotshelf::scheduling {

/// A backend server that can receive a call.
struct ServiceCandidate {
  /// Calls of all entries that are known to run on the server.
  int32_t running = 0;
  /// Calls that the server runs concurrently.
  int32_t slots = 1;
  /// Mean duration of recent calls; 0 if unknown.
  Millis call_ms = 0;
  double success_rate = 1;
  bool is_same_domain = false;
  /// For how long no call has begun or ended. `call_ms` counts less with it, so
  /// that a server that was slow is tried again.
  Duration unused_for{};
};

/// Returns the index of the server with the shortest expected time; none if
/// there is no candidate.
std::optional<size_t> PlaceCall(std::span<const ServiceCandidate> servers);

}  // namespace peridotshelf::scheduling
