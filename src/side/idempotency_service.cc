#include "side/idempotency_service.h"

#include <xxhash.h>

#include <utility>

#include "peridotshelf/attempts/service_lookup.h"
#include "peridotshelf/wire/codec.h"

namespace peridotshelf::side {
namespace {

constexpr Duration kKeyMovedRetryAfter = std::chrono::seconds(1);

int64_t WallClockMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns a hash of the call's content.
uint64_t ComputeFingerprint(const wire::ServiceCall& call) {
  uint64_t hash = 0;
  for (const std::string* part :
       {&call.method, &call.target, &call.content_type, &call.payload}) {
    hash = XXH64(part->data(), part->size(), hash + part->size());
  }
  return hash;
}

attempts::ClaimResult RefuseClaim(const std::string& detail) {
  return tl::unexpected<Error>(
      Error{ErrorCode::kNotReady, detail, true, kKeyMovedRetryAfter});
}

}  // namespace

IdempotencyService::IdempotencyService(const HostId& host)
    : m_host(host),
      m_start(SteadyClock().Now()),
      m_table(attempts::IdempotencyOptions{}, m_start,
              WallClockMilliseconds()) {}

void IdempotencyService::Accept(const control::ControlState& state) {
  if (!state.configuration) return;
  std::scoped_lock lock(m_mutex);
  if (state.version <= m_version) return;
  m_version = state.version;
  for (const auto& service : state.configuration->services) {
    if (service.kind != control::ServiceKind::kPlain) continue;
    auto [key_owner, added] =
        m_key_owners.try_emplace(service.name, m_host, m_start);
    key_owner->second.Accept(state.version,
                             attempts::FindServiceHosts(state, service));
  }
}

attempts::ClaimResult IdempotencyService::Claim(
    const control::ControlState& state, const wire::ServiceCall& call,
    std::string& scoped_key) {
  const control::ServiceConfig* service =
      attempts::FindServiceOfBackend(*state.configuration, call.backend);
  if (service == nullptr)
    return RefuseClaim("no service lists the backend server");
  const TimePoint now = SteadyClock().Now();
  scoped_key = attempts::MakeScopedKey(service->name, TeamId(call.team),
                                       call.idempotency_key);
  std::scoped_lock lock(m_mutex);
  auto key_owner = m_key_owners.find(service->name);
  if (key_owner == m_key_owners.end())
    return RefuseClaim(
        "this side has not applied the service's configuration yet");
  key_owner->second.NoteReportedVersions(
      {call.oldest_heard_version, call.newest_heard_version}, now);
  const attempts::KeyOwnership ownership =
      key_owner->second.OwnershipOf(scoped_key);
  if (ownership.awaiting_release) {
    return RefuseClaim("sides reported control versions " +
                       std::to_string(call.oldest_heard_version) + " to " +
                       std::to_string(call.newest_heard_version) +
                       ", but this side is at version " +
                       std::to_string(state.version));
  }
  if (!ownership.is_owner)
    return RefuseClaim("the key belongs to another host");
  attempts::IdempotentCall idempotent_call;
  idempotent_call.key = scoped_key;
  idempotent_call.fingerprint = ComputeFingerprint(call);
  if (call.issued_at_ms >= 0) idempotent_call.issued_at_ms = call.issued_at_ms;
  idempotent_call.attempt = wire::FromWire(call.attempt);
  return m_table.Claim(idempotent_call, ownership.since, now);
}

void IdempotencyService::Finish(const std::string& scoped_key,
                                attempts::StoredAnswer answer) {
  std::scoped_lock lock(m_mutex);
  m_table.Finish(scoped_key, std::move(answer));
}

void IdempotencyService::MarkUnknown(const std::string& scoped_key) {
  std::scoped_lock lock(m_mutex);
  m_table.MarkUnknown(scoped_key);
}

void IdempotencyService::Release(const std::string& scoped_key,
                                 const AttemptId& attempt) {
  std::scoped_lock lock(m_mutex);
  m_table.Release(scoped_key, attempt);
}

void IdempotencyService::Tick() {
  std::scoped_lock lock(m_mutex);
  m_table.Tick(SteadyClock().Now());
}

}  // namespace peridotshelf::side
