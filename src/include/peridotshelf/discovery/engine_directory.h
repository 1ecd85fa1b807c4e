/// The registered backend servers and their states.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
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

/// How the registry treats engines that it does not hear from.
struct RegistrationTiming {
  /// The shortest registry outage in which the registration of a running engine
  /// can lapse.
  Duration shortest_lapse{};
  /// Time after an outage within which running engines register again.
  Duration return_grace{};
  /// The registry removes an engine after this long without a heartbeat.
  Duration silence_limit{};

  friend bool operator==(const RegistrationTiming&,
                         const RegistrationTiming&) = default;
};

/// Reads of the registrations by one entry.
struct RegistryReads {
  /// Since then some entry has read them without an outage in between.
  TimePoint available_since{};
  /// The entry's last read.
  TimePoint last{};
};

/// Tracks the registrations of engines. During a registry outage, registrations
/// lapse although their engines still run. The directory therefore keeps
/// engines that are missing from the read that ends an outage until
/// `return_grace` has passed. A removal found by any other read is final, since
/// the registry was available to the engine. The registry was available while
/// any entry read it; an entry that alone lost its connection has not seen an
/// outage.
///
/// A registry that is restored from an older copy lacks engines that registered
/// since, and has engines as ready that left since. After a restore, missing
/// engines are kept as after an outage. Engines that are known to have left get
/// no requests until they register anew; one whose registration in the copy
/// outlasts the silence limit is running. Not thread-safe.
class EngineDirectory {
 public:
  explicit EngineDirectory(const RegistrationTiming& timing)
      : m_timing(timing) {}

  /// The next read finds the contents of an older copy.
  void NoteRestored();
  /// Starts the changes of one read of the registrations, made at `now`.
  void BeginRead(TimePoint now);
  /// Records the reads of another entry, whose engines have the digest
  /// `digest`. If they show that only this entry was cut off, the engines kept
  /// after that are due for removal. Returns whether this directory has the
  /// same engines.
  bool NotePeerReads(const RegistryReads& reads, int64_t digest);
  /// Reads of this entry; only valid after the first one.
  const RegistryReads& reads() const { return m_reads; }
  /// Whether the current read is the first one of this entry.
  bool is_first_read() const { return m_is_first_read; }
  /// Whether the current read finds an older copy.
  bool is_reading_copy() const { return m_is_reading_copy; }

  /// Adds or replaces a registration. Returns false if it is outdated: a copy
  /// has the engine although it has left.
  bool Update(const EngineRecord& record);
  /// Handles a registration of `id` that is gone. Returns the engine unless it
  /// was unknown or already missing.
  std::optional<MissingEngine> Remove(const std::string& id, TimePoint now);
  /// Handles a registration of `id` that cannot be read: the engine gets no
  /// requests until it registers anew, whether or not there was an outage, and
  /// is not taken to have left. Returns it unless it was unknown.
  std::optional<MissingEngine> Reject(const std::string& id);
  /// Handles a complete read of the registrations: removes all but `ids`.
  /// Returns the removed engines.
  std::vector<MissingEngine> KeepOnly(const std::vector<std::string>& ids,
                                      TimePoint now);
  /// Removes and returns the missing engines that are due at `now`.
  std::vector<MissingEngine> Expire(TimePoint now);
  /// Adds the engines whose outdated registrations have outlasted the silence
  /// limit at `now`, and returns their keys.
  std::vector<std::string> AddRunning(TimePoint now);
  /// Time after a restore at which `AddRunning` may add engines.
  Duration ReturnAfterRestore() const;
  /// Time since the engines of this directory were last read from the registry,
  /// by this entry or by another one that has the same engines.
  Duration ComputeAge(TimePoint now) const { return now - m_fresh_at; }

  /// Records that the engine with this key has said itself that it leaves. It
  /// gets no requests from then on, whatever its registration says; an engine
  /// that started anew has another key. Returns false if that was known.
  bool NoteToldLeaving(const std::string& key, TimePoint now);
  /// Returns the keys of the engines that leave or have left by the
  /// registrations, as far as a copy of the registry may still have them.
  std::vector<std::string> FindDeparted() const;
  /// Handles what a peer found with `FindDeparted`. A directory that has just
  /// started may have read a copy, so it sets these engines aside like the
  /// outdated ones of a copy. Returns the keys of those that it had as ready.
  std::vector<std::string> NotePeerDeparted(std::span<const std::string> keys,
                                            TimePoint now);
  /// Returns the engine that is registered as ready at `address`, or null. It
  /// may run requests sent before, so its domain may be evacuated.
  const EngineRecord* FindReadyAt(std::string_view address) const;

  /// Withholds the engines of these domains from further requests; replaces the
  /// domains of the last call.
  void SetEvacuatedDomains(std::span<const FailureDomain> domains);
  bool HasEvacuatedDomains() const { return !m_evacuated_domains.empty(); }
  /// Returns whether the engine with this key is ready. Requests sent before
  /// may run there although its domain is evacuated.
  bool IsReady(std::string_view key) const;
  /// Returns whether the engine with this key is known and its domain
  /// evacuated.
  bool IsEvacuated(std::string_view key) const;
  /// Returns whether `service` has ready engines and all of them are in
  /// evacuated domains.
  bool IsServiceEvacuated(std::string_view service) const;

  /// Returns the engines of `service` that may receive requests: the ready ones
  /// outside evacuated domains.
  std::vector<const EngineRecord*> FindReadyEngines(
      std::string_view service) const;
  /// Number of known engines.
  size_t size() const { return m_entries.size(); }
  /// Returns a digest, equal in all processes that know the same engines in the
  /// same states.
  int64_t ComputeDigest() const;
  /// Returns whether the engine with this key is known.
  bool Contains(std::string_view key) const;
  /// Returns the registration of `id`, or null.
  const EngineRecord* Find(const std::string& id) const;

 private:
  /// Returns whether the reads show that the registry was available during the
  /// outage after which engines are kept.
  bool CoversOutage(const RegistryReads& reads) const;

  /// Removes the entry and remembers that the engine has left.
  void Erase(const std::string& id);
  void ForgetDeparted(TimePoint now);
  /// Returns the record of the engine with this key, or null.
  const EngineRecord* FindByKey(std::string_view key) const;
  bool IsReady(const EngineRecord& record) const;
  /// Returns whether `record` is outdated in the copy that is being read.
  bool IsOutdated(const EngineRecord& record) const;

  /// The registration in a copy of an engine that has left.
  struct OutdatedEntry {
    EngineRecord record;
    TimePoint add_at{};
  };

  struct Entry {
    EngineRecord record;
    /// Set while the registration is missing: when the engine is removed unless
    /// it registers again.
    std::optional<TimePoint> remove_at;
    /// Not written again since the first read.
    bool is_from_first_read = false;
  };

  RegistrationTiming m_timing;
  RegistryReads m_reads;
  /// Last read, by any entry, that found the engines of this directory.
  TimePoint m_fresh_at{};
  /// Last read by any entry before the outage that the engines are kept after.
  std::optional<TimePoint> m_read_before_outage;
  /// Last read, by any entry, that no outage separates from the reads before.
  TimePoint m_registry_read_at{};
  /// The current read ends an outage that was long enough for registrations to
  /// lapse.
  bool m_is_after_outage = false;
  /// The next read, and the current one, find an older copy.
  bool m_is_restored = false;
  bool m_is_reading_copy = false;
  /// The current read is the first one, which may find an older copy.
  bool m_is_first_read = false;
  std::optional<TimePoint> m_first_read_at;
  /// When engines left that a copy may still have, by key.
  std::unordered_map<std::string, TimePoint> m_departed;
  /// When engines said that they leave, by key.
  std::unordered_map<std::string, TimePoint> m_told_leaving;
  /// By id.
  std::unordered_map<std::string, OutdatedEntry> m_outdated;
  std::set<FailureDomain> m_evacuated_domains;
  /// Engines may be kept; spares looking through all of them.
  bool m_may_keep_engines = false;
  std::unordered_map<std::string, Entry> m_entries;
  /// Reset by each change.
  mutable std::optional<int64_t> m_digest;
};

}  // namespace peridotshelf::discovery
