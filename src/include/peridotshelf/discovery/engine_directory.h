/// The registered backend servers and their states.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::discovery {

enum class EngineState { kReady, kLeaving };

/// The registration of one backend server.
struct EngineRecord {
  /// Name of the server; it may be reused after a restart.
  std::string id;
  std::string service;
  /// "IP:PORT" of its HTTP interface.
  std::string address;
  FailureDomain failure_domain;
  EngineState state = EngineState::kReady;
  /// Start time as Unix time in ms; distinguishes restarts with the same id.
  int64_t started_unix_ms = 0;
  /// Number of concurrent requests; 0 if not declared.
  int32_t slots = 0;

  /// Identifies one start of one engine.
  std::string Key() const { return id + "@" + std::to_string(started_unix_ms); }
  friend bool operator==(const EngineRecord&, const EngineRecord&) = default;
};

/// An engine whose registration is gone.
struct MissingEngine {
  /// Key of the engine's last registration.
  std::string engine;
  /// The engine may still receive requests, since its registration may have
  /// lapsed in a registry outage.
  bool is_kept = false;
};

/// Tracks the registrations of engines. During a registry outage, registrations
/// expire although their engines still run; running engines register again
/// within `return_grace` after the registry recovers. Until then the directory
/// keeps the known engines. Not thread-safe.
class EngineDirectory {
 public:
  explicit EngineDirectory(Duration return_grace)
      : m_return_grace(return_grace) {}

  /// Adds or replaces a registration.
  void Update(const EngineRecord& record);
  /// Handles a registration of `id` that is gone or no longer valid. Returns
  /// the engine unless it was unknown or already missing.
  std::optional<MissingEngine> Remove(const std::string& id, TimePoint now);
  /// Handles a complete read of the registrations: removes all but `ids`.
  /// Returns the removed engines.
  std::vector<MissingEngine> KeepOnly(const std::vector<std::string>& ids,
                                      TimePoint now);
  /// Records that the registry stopped responding.
  void NoteRegistryLost();
  /// Records that the registry responds again.
  void NoteRegistryRecovered(TimePoint now);
  /// Removes and returns the engines that are still missing after the grace
  /// period.
  std::vector<MissingEngine> Expire(TimePoint now);
  /// Records that the registrations were read at `at`.
  void NoteRegistryRead(TimePoint at) { m_registry_read_at = at; }
  /// Time since the registrations were last read.
  Duration ComputeAge(TimePoint now) const { return now - m_registry_read_at; }

  /// Returns the engines of `service` that may receive requests.
  std::vector<const EngineRecord*> FindReadyEngines(
      std::string_view service) const;
  /// Number of known engines.
  size_t size() const { return m_entries.size(); }
  /// Returns a digest, equal in all processes that know the same engines in the
  /// same states.
  int64_t ComputeDigest() const;
  /// Returns the registration of `id`, or null.
  const EngineRecord* Find(const std::string& id) const;

 private:
  struct Entry {
    EngineRecord record;
    /// Set while the registration is missing during the grace period.
    std::optional<TimePoint> missing_since;
  };

  Duration m_return_grace;
  TimePoint m_registry_read_at{};
  bool m_registry_lost = false;
  TimePoint m_grace_until{};
  std::unordered_map<std::string, Entry> m_entries;
};

}  // namespace peridotshelf::discovery
