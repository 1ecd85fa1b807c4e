#include "entry/home_placement.h"

#include <algorithm>

#include "peridotshelf/attempts/home.h"
#include "peridotshelf/attempts/service_homes.h"

namespace peridotshelf::entry {

bool IsUnrepeatable(const control::ControlState& state,
                    const ServiceRequest& request) {
  if (request.terms.unrepeatable) return *request.terms.unrepeatable;
  const control::ServiceConfig* service =
      attempts::FindPlainService(*state.configuration, request.service);
  return service != nullptr && service->unrepeatable_by_default &&
         request.method != "GET";
}

Result<Candidate> PlaceAtHome(const control::ControlState& state,
                              const ServiceRequest& request) {
  const control::Configuration& configuration = *state.configuration;
  const control::ServiceConfig* service =
      attempts::FindPlainService(configuration, request.service);
  if (service == nullptr) {
    return Fail(ErrorCode::kUnknownService, request.service);
  }
  const HostId home =
      attempts::HomeOf(attempts::ScopedKey(service->name, request.terms.team,
                                           request.terms.idempotency_key),
                       attempts::HostsOf(state, *service));
  for (const control::PlainBackendConfig& backend : configuration.backends) {
    const auto& names = service->backends;
    const bool serves =
        std::find(names.begin(), names.end(), backend.id) != names.end();
    if (serves && backend.host == home) return Candidate{home, backend.id};
  }
  return Fail(ErrorCode::kNoBackend, request.service);
}

}  // namespace peridotshelf::entry
