/// Ownership of idempotency keys by hosts, and the start of each ownership.
#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::attempts {

/// Returns the host that owns `key`, by rendezvous hashing: a change of the
/// list moves only the keys of hosts that were added or removed. Returns an
/// empty ID for an empty list.
HostId FindKeyOwner(std::string_view key, std::span<const HostId> hosts);

/// A host's ownership of a key.
struct KeyOwnership {
  /// Whether the host owns the key and no other host can still own it.
  bool is_owner = false;
  /// Whether the host will own the key once every host has accepted the newest
  /// list.
  bool awaiting_release = false;
  /// Start of the ownership; earlier uses of the key are unknown to the host.
  TimePoint since{};
};

/// Range of the control versions that all sides on the platform's list last
/// reported to an entry over open connections. A side without a report counts
/// as version 0.
struct ReportedVersions {
  ControlVersion oldest = 0;
  ControlVersion newest = 0;
};

/// The history of a service's host list, as known to one host. The host owns a
/// key under a list only after every side has reported this host's version:
/// then no other side uses an older list, or a newer one that this host has not
/// applied yet. `Accept` must be called for each version before the side
/// reports it.
class KeyOwnerHistory {
 public:
  /// `start`: when this process started to record keys.
  KeyOwnerHistory(HostId self, TimePoint start)
      : m_self(std::move(self)), m_start(start) {}

  /// Applies the list of an accepted version. Older versions are ignored;
  /// versions may be skipped.
  void Accept(ControlVersion version, std::vector<HostId> hosts);
  /// Processes the versions that an entry received from all sides.
  void NoteReportedVersions(const ReportedVersions& reported, TimePoint now);
  /// Returns this host's ownership of `key`.
  KeyOwnership OwnershipOf(std::string_view key) const;

 private:
  struct HostList {
    ControlVersion version = 0;
    std::vector<HostId> hosts;
    std::optional<TimePoint> released_at;
  };

  const HostId m_self;
  const TimePoint m_start;
  ControlVersion m_version = 0;
  /// Ascending by version; the first is the one in force at the start.
  std::vector<HostList> m_lists;
};

}  // namespace peridotshelf::attempts
