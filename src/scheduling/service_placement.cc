#include "peridotshelf/scheduling/service_placement.h"

#include <algorithm>

namespace peridotshelf::scheduling {
namespace {

/// Assumed of a server that has served no call yet.
constexpr Millis kUnknownCallMs = 10;
/// Of two equal servers the nearer one wins.
constexpr Millis kFarMs = 1.5;
/// A failed call costs its caller about this many calls' time.
constexpr double kFailureCost = 6;

Millis ExpectedTime(const ServiceCandidate& server) {
  const Millis call = server.call_ms > 0 ? server.call_ms : kUnknownCallMs;
  const double rounds =
      1.0 + static_cast<double>(server.running) / std::max(server.slots, 1);
  const double failures = 1 - std::clamp(server.success_rate, 0.0, 1.0);
  return call * (rounds + kFailureCost * failures) +
         (server.is_same_domain ? 0 : kFarMs);
}

}  // namespace

std::optional<size_t> PlaceCall(std::span<const ServiceCandidate> servers) {
  std::optional<size_t> best;
  for (size_t i = 0; i < servers.size(); ++i) {
    if (!best || ExpectedTime(servers[i]) < ExpectedTime(servers[*best])) {
      best = i;
    }
  }
  return best;
}

}  // namespace peridotshelf::scheduling
