#include "entry/key_owner_placement.h"

#include <algorithm>

#include "peridotshelf/attempts/key_owner.h"
#include "peridotshelf/attempts/service_lookup.h"

namespace peridotshelf::entry {

bool IsUnrepeatable(const control::ControlState& state,
                    const ServiceRequest& request) {
  if (request.options.unrepeatable) return *request.options.unrepeatable;
  const control::ServiceConfig* service =
      attempts::FindPlainService(*state.configuration, request.service);
  return service != nullptr && service->unrepeatable_by_default &&
         request.method != "GET";
}

Result<Candidate> PlaceAtKeyOwner(const control::ControlState& state,
                                  const ServiceRequest& request) {
  const control::Configuration& configuration = *state.configuration;
  const control::ServiceConfig* service =
      attempts::FindPlainService(configuration, request.service);
  if (service == nullptr) {
    return Fail(ErrorCode::kUnknownService, request.service);
  }
  const HostId key_owner = attempts::FindKeyOwner(
      attempts::MakeScopedKey(service->name, request.options.team,
                              request.options.idempotency_key),
      attempts::FindServiceHosts(state, *service));
  for (const control::PlainBackendConfig& backend : configuration.backends) {
    const auto& service_backends = service->backends;
    const bool serves_calls =
        std::find(service_backends.begin(), service_backends.end(),
                  backend.id) != service_backends.end();
    if (serves_calls && backend.host == key_owner)
      return Candidate{key_owner, backend.id};
  }
  return Fail(ErrorCode::kNoBackend, request.service);
}

}  // namespace peridotshelf::entry
