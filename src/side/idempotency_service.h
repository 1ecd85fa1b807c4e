/// The idempotency keys that this side answers for, for all plain services.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "peridotshelf/attempts/idempotency_table.h"
#include "peridotshelf/attempts/key_owner.h"
#include "peridotshelf/control/configuration.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::side {

/// Joins an `IdempotencyTable` to the homes that the configuration gives.
/// Thread-safe.
class IdempotencyService {
 public:
  explicit IdempotencyService(const HostId& host);

  /// Takes a control state; must be called before this side reports its
  /// version to anyone.
  void Accept(const control::ControlState& state);
  /// Judges an unrepeatable call that has a key; `scoped_key` names it later.
  /// Refused with proof when another side is, or may still be, the key's home.
  attempts::ClaimResult Claim(const control::ControlState& state,
                              const wire::ServiceCall& call,
                              std::string& scoped_key);
  void Finish(const std::string& scoped_key, attempts::StoredAnswer answer);
  void MarkUnknown(const std::string& scoped_key);
  void Release(const std::string& scoped_key, const AttemptId& attempt);
  /// Forgets keys that can no longer be repeated.
  void Tick();

 private:
  const HostId m_host;
  const TimePoint m_start;
  std::mutex m_mutex;
  /// The newest version taken.
  ControlVersion m_version = 0;
  attempts::IdempotencyTable m_table;
  std::map<std::string, attempts::KeyOwnerHistory> m_key_owners;
};

}  // namespace peridotshelf::side
