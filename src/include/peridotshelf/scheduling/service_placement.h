/// Chooses the backend server of a plain service.
///
/// The load it answers: many small calls on few servers that differ in speed
/// and now and then fail or stall. Each entry sees its share of the calls.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "peridotshelf/scheduling/engine_model.h"

namespace peridotshelf::scheduling {

/// A backend server that may take a call.
struct ServiceCandidate {
  /// Calls of all entries that are known to run there.
  int32_t running = 0;
  /// Calls that it runs at once.
  int32_t slots = 1;
  /// Mean time of its recent calls; 0 if none is known.
  Millis call_ms = 0;
  double success_rate = 1;
  bool is_same_domain = false;
};

/// The index of the server with the shortest expected time; none if there is no
/// candidate.
std::optional<size_t> PlaceCall(std::span<const ServiceCandidate> servers);

}  // namespace peridotshelf::scheduling
