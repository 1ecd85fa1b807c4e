/// The idempotency keys that this side owns, for all plain services.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "peridotshelf/attempts/idempotency_table.h"
#include "peridotshelf/attempts/key_owner.h"
#include "peridotshelf/control/configuration.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::side {

/// An `IdempotencyTable` for the keys that the configuration assigns to this
/// side. Thread-safe.
class IdempotencyService {
 public:
  explicit IdempotencyService(const HostId& host);

  /// Applies a control state. Must be called before this side reports the
  /// state's version to any peer.
  void Accept(const control::ControlState& state);
  /// Claims the key of an unrepeatable call and sets `scoped_key`, which the
  /// methods below take. Fails with kNotReady and `not_run` while another side
  /// owns the key, or may still own it.
  attempts::ClaimResult Claim(const control::ControlState& state,
                              const wire::ServiceCall& call,
                              std::string& scoped_key);
  /// See attempts::IdempotencyTable.
  void Finish(const std::string& scoped_key, attempts::StoredAnswer answer);
  void MarkUnknown(const std::string& scoped_key);
  void Release(const std::string& scoped_key, const AttemptId& attempt);
  /// Removes keys that can no longer be retried.
  void Tick();

 private:
  const HostId m_host;
  const TimePoint m_start;
  std::mutex m_mutex;
  /// The newest version applied.
  ControlVersion m_version = 0;
  attempts::IdempotencyTable m_table;
  std::map<std::string, attempts::KeyOwnerHistory> m_key_owners;
};

}  // namespace peridotshelf::side
