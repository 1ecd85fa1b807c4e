/// The backend servers that registered themselves, and which may get work.
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

/// One backend server as it registered itself.
struct EngineRecord {
  /// Its own name; another start may have the same one.
  std::string id;
  std::string service;
  /// "IP:PORT" of its HTTP interface.
  std::string address;
  FailureDomain failure_domain;
  EngineState state = EngineState::kReady;
  /// When it started, as Unix time in ms; tells starts of the same id apart.
  int64_t started_unix_ms = 0;
  /// Requests that it runs at once; 0 if it does not say.
  int32_t slots = 0;

  /// Names one start of one engine.
  std::string Key() const { return id + "@" + std::to_string(started_unix_ms); }
  friend bool operator==(const EngineRecord&, const EngineRecord&) = default;
};

/// Follows the registrations. While the registry is away it keeps what it
/// knows: entries lapse there although their engines live, and those that live
/// register again within `return_grace` of its return. Not thread-safe.
class EngineDirectory {
 public:
  explicit EngineDirectory(Duration return_grace)
      : m_return_grace(return_grace) {}

  /// A registration was read.
  void Update(const EngineRecord& record);
  /// The registration of `id` is gone, or names no engine any more.
  void Remove(const std::string& id, TimePoint now);
  /// All registrations were read: whatever is not among `ids` is gone.
  void KeepOnly(const std::vector<std::string>& ids, TimePoint now);
  /// The registry stopped answering.
  void NoteRegistryLost();
  /// The registry answers again.
  void NoteRegistryBack(TimePoint now);
  /// Removes what stayed missing after the grace.
  void Expire(TimePoint now);

  /// The engines of `service` that may get work.
  std::vector<const EngineRecord*> FindReadyEngines(
      std::string_view service) const;
  /// All engines that are registered.
  size_t size() const { return m_entries.size(); }
  /// The same for all that know the same engines in the same states.
  int64_t Digest() const;
  /// The registration of `id`, or null.
  const EngineRecord* Find(const std::string& id) const;

 private:
  struct Entry {
    EngineRecord record;
    /// Set while its registration is missing during the grace.
    std::optional<TimePoint> gone_at;
  };

  Duration m_return_grace;
  bool m_registry_lost = false;
  TimePoint m_grace_until{};
  std::unordered_map<std::string, Entry> m_entries;
};

}  // namespace peridotshelf::discovery
