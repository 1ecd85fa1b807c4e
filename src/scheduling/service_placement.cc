#include "peridotshelf/scheduling/service_placement.h"

#include <algorithm>

#include "call_age.h"

namespace peridotshelf::scheduling {
namespace {

/// Assumed for a server that has not served a call yet.
constexpr Millis kDefaultCallMs = 10;
/// Breaks ties in favour of a server in the same failure domain.
constexpr Millis kRemoteDomainPenaltyMs = 1.5;
/// Cost of a failed call, in call durations.
constexpr double kFailureCost = 6;

Millis ExpectedTime(const ServiceCandidate& server) {
  const Millis call = server.call_ms > 0 ? server.call_ms : kDefaultCallMs;
  const double rounds =
      1.0 + static_cast<double>(server.running) / std::max(server.slots, 1);
  const double failures = 1 - std::clamp(server.success_rate, 0.0, 1.0);
  return call * detail::WeightAtAge(server.unused_for) *
             (rounds + kFailureCost * failures) +
         (server.is_same_domain ? 0 : kRemoteDomainPenaltyMs);
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
