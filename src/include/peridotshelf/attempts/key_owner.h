/// Which host's side answers for an idempotency key, and since when.
#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::attempts {

/// The host that `key` belongs to: the winner of rendezvous hashing, so that a
/// change of the list moves only the keys of hosts that came or went. Empty
/// for an empty list.
HostId FindKeyOwner(std::string_view key, std::span<const HostId> hosts);

/// One host's duty towards a key.
struct KeyOwnership {
  /// Whether the host is the key's home and nobody else still can be.
  bool is_owner = false;
  /// Whether it will be, once every host has accepted the newest list.
  bool awaiting_release = false;
  /// From when on it has answered for the key; earlier uses are unknown to it.
  TimePoint since{};
};

/// The control versions that an entry last heard of, over open connections,
/// from all sides on the platform's list. A side that it does not hear counts
/// as 0.
struct ReportedVersions {
  ControlVersion oldest = 0;
  ControlVersion newest = 0;
};

/// The lists of hosts that one service had, seen from one host. This host
/// answers for a key under a list only after every side was heard at its own
/// version: then no other side uses an older list, or a newer one that this
/// host has yet to take. `Accept` must be called for each version before the
/// side reports it.
class KeyOwnerHistory {
 public:
  /// `start`: when this process began to remember keys.
  KeyOwnerHistory(HostId self, TimePoint start)
      : m_self(std::move(self)), m_start(start) {}

  /// Takes the list of an accepted version; older ones are ignored. Versions
  /// may be skipped.
  void Accept(ControlVersion version, std::vector<HostId> hosts);
  /// Takes what an entry heard.
  void NoteReportedVersions(const ReportedVersions& heard, TimePoint now);
  /// This host's duty towards `key`.
  KeyOwnership OwnershipOf(std::string_view key) const;

 private:
  struct List {
    ControlVersion version = 0;
    std::vector<HostId> hosts;
    std::optional<TimePoint> released_at;
  };

  const HostId m_self;
  const TimePoint m_start;
  ControlVersion m_version = 0;
  /// Ascending by version; the first is the one found at the start.
  std::vector<List> m_lists;
};

}  // namespace peridotshelf::attempts
