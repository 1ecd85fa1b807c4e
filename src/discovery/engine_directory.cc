#include "peridotshelf/discovery/engine_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peridotshelf::discovery {
namespace {

/// Copies are some seconds old.
constexpr Duration kMaxCopyAge = std::chrono::seconds(60);
/// Engines that leave are gone by then.
constexpr Duration kMaxLeaveTime = std::chrono::minutes(10);

}  // namespace

void EngineDirectory::NoteRestored() {
  m_is_restored = true;
  m_read_before_outage.reset();
}

bool EngineDirectory::IsOutdated(const EngineRecord& record) const {
  if (!m_is_reading_copy && !m_is_first_read) return false;
  if (m_departed.contains(record.Key())) return true;
  const EngineRecord* known = Find(record.id);
  return known != nullptr && known->Key() == record.Key() &&
         known->state == EngineState::kLeaving &&
         record.state == EngineState::kReady;
}

bool EngineDirectory::Update(const EngineRecord& record) {
  if (IsOutdated(record)) {
    // A leaving engine says so again as long as it runs.
    if (Find(record.id) == nullptr) {
      m_outdated[record.id] = {record, m_reads.last + ReturnAfterRestore()};
    }
    return false;
  }
  m_departed.erase(record.Key());
  m_outdated.erase(record.id);
  Entry& entry = m_entries[record.id];
  entry.is_from_first_read = m_is_first_read;
  if (entry.record == record && !entry.remove_at) return true;
  entry.record = record;
  entry.remove_at.reset();
  m_digest.reset();
  return true;
}

Duration EngineDirectory::ReturnAfterRestore() const {
  return m_timing.silence_limit + m_timing.return_grace;
}

std::vector<std::string> EngineDirectory::AddRunning(TimePoint now) {
  std::vector<EngineRecord> running;
  for (const auto& [id, outdated] : m_outdated) {
    if (now >= outdated.add_at) running.push_back(outdated.record);
  }
  m_is_reading_copy = false;
  m_is_first_read = false;
  std::vector<std::string> added;
  for (const EngineRecord& record : running) {
    Update(record);
    added.push_back(record.Key());
  }
  return added;
}

void EngineDirectory::Erase(const std::string& id) {
  const auto found = m_entries.find(id);
  m_departed[found->second.record.Key()] = m_reads.last;
  m_entries.erase(found);
}

void EngineDirectory::ForgetDeparted(TimePoint now) {
  std::erase_if(m_departed, [now](const auto& item) {
    return now - item.second > kMaxCopyAge;
  });
  std::erase_if(m_told_leaving, [now](const auto& item) {
    return now - item.second > kMaxLeaveTime;
  });
}

std::optional<MissingEngine> EngineDirectory::Remove(const std::string& id,
                                                     TimePoint now) {
  m_outdated.erase(id);
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return std::nullopt;
  m_digest.reset();
  MissingEngine missing{found->second.record.Key()};
  // A leaving engine does not register again, so it gets no grace period.
  if (!(m_is_after_outage || m_is_reading_copy) ||
      found->second.record.state == EngineState::kLeaving) {
    Erase(id);
    return missing;
  }
  if (found->second.remove_at) return std::nullopt;
  found->second.remove_at = now + m_timing.return_grace;
  m_may_keep_engines = true;
  missing.is_kept = true;
  return missing;
}

std::optional<MissingEngine> EngineDirectory::Reject(const std::string& id) {
  m_outdated.erase(id);
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return std::nullopt;
  m_digest.reset();
  MissingEngine missing{found->second.record.Key()};
  // An older copy may still have a leaving engine as ready.
  if (found->second.record.state == EngineState::kLeaving) {
    Erase(id);
  } else {
    m_entries.erase(found);
  }
  return missing;
}

std::vector<MissingEngine> EngineDirectory::KeepOnly(
    const std::vector<std::string>& ids, TimePoint now) {
  std::vector<std::string> missing;
  for (const auto& [id, entry] : m_entries) {
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
      missing.push_back(id);
    }
  }
  std::erase_if(m_outdated, [&ids](const auto& item) {
    return std::find(ids.begin(), ids.end(), item.first) == ids.end();
  });
  std::vector<MissingEngine> removed;
  for (const std::string& id : missing) {
    if (auto engine = Remove(id, now)) removed.push_back(std::move(*engine));
  }
  return removed;
}

void EngineDirectory::BeginRead(TimePoint now) {
  m_is_after_outage = now - m_registry_read_at >= m_timing.shortest_lapse;
  if (m_is_after_outage) {
    m_reads.available_since = now;
    m_read_before_outage = m_registry_read_at;
  }
  m_is_reading_copy = std::exchange(m_is_restored, false);
  m_is_first_read = !m_first_read_at.has_value();
  if (m_is_first_read) m_first_read_at = now;
  ForgetDeparted(now);
  m_reads.last = now;
  m_fresh_at = now;
  m_registry_read_at = now;
}

bool EngineDirectory::CoversOutage(const RegistryReads& reads) const {
  return m_read_before_outage &&
         reads.available_since - *m_read_before_outage <
             m_timing.shortest_lapse &&
         m_reads.available_since - reads.last < m_timing.shortest_lapse;
}

bool EngineDirectory::NotePeerReads(const RegistryReads& reads,
                                    int64_t digest) {
  // A peer that reads the registry again after an outage does not show that it
  // was available during the outage.
  if (reads.available_since - m_registry_read_at < m_timing.shortest_lapse) {
    m_registry_read_at = std::max(m_registry_read_at, reads.last);
  }
  if (CoversOutage(reads)) {
    m_read_before_outage.reset();
    m_reads.available_since = reads.available_since;
    for (auto& [id, entry] : m_entries) {
      if (entry.remove_at) entry.remove_at = TimePoint::min();
    }
  }
  if (digest != ComputeDigest()) return false;
  m_fresh_at = std::max(m_fresh_at, reads.last);
  return true;
}

std::vector<MissingEngine> EngineDirectory::Expire(TimePoint now) {
  std::vector<MissingEngine> expired;
  if (!std::exchange(m_may_keep_engines, false)) return expired;
  std::vector<std::string> due;
  for (const auto& [id, entry] : m_entries) {
    if (!entry.remove_at) continue;
    if (now < *entry.remove_at) {
      m_may_keep_engines = true;
      continue;
    }
    expired.push_back({entry.record.Key()});
    due.push_back(id);
  }
  for (const std::string& id : due) Erase(id);
  return expired;
}

std::vector<const EngineRecord*> EngineDirectory::FindReadyEngines(
    std::string_view service) const {
  std::vector<const EngineRecord*> ready;
  for (const auto& [id, entry] : m_entries) {
    if (entry.record.service == service && IsReady(entry.record) &&
        !m_evacuated_domains.contains(entry.record.failure_domain)) {
      ready.push_back(&entry.record);
    }
  }
  // Makes the order the same in each process and run.
  std::sort(ready.begin(), ready.end(),
            [](const EngineRecord* a, const EngineRecord* b) {
              return a->id < b->id;
            });
  return ready;
}

bool EngineDirectory::NoteToldLeaving(const std::string& key, TimePoint now) {
  return m_told_leaving.try_emplace(key, now).second;
}

std::vector<std::string> EngineDirectory::FindDeparted() const {
  std::vector<std::string> keys;
  for (const auto& [key, left_at] : m_departed) keys.push_back(key);
  for (const auto& [id, entry] : m_entries) {
    if (entry.record.state == EngineState::kLeaving) {
      keys.push_back(entry.record.Key());
    }
  }
  return keys;
}

std::vector<std::string> EngineDirectory::NotePeerDeparted(
    std::span<const std::string> keys, TimePoint now) {
  std::vector<std::string> set_aside;
  if (m_first_read_at && now - *m_first_read_at > ReturnAfterRestore()) {
    return set_aside;
  }
  for (const std::string& key : keys) {
    const auto found = m_entries.find(key.substr(0, key.rfind('@')));
    if (found == m_entries.end()) {
      // The first read may still be under way.
      m_departed.try_emplace(key, now);
      continue;
    }
    const Entry& entry = found->second;
    if (entry.record.Key() != key || !entry.is_from_first_read ||
        entry.record.state != EngineState::kReady) {
      continue;
    }
    m_outdated[entry.record.id] = {entry.record, now + ReturnAfterRestore()};
    Erase(entry.record.id);
    m_digest.reset();
    set_aside.push_back(key);
  }
  return set_aside;
}

const EngineRecord* EngineDirectory::FindReadyAt(
    std::string_view address) const {
  for (const auto& [id, entry] : m_entries) {
    if (entry.record.address == address &&
        entry.record.state == EngineState::kReady) {
      return &entry.record;
    }
  }
  return nullptr;
}

int64_t EngineDirectory::ComputeDigest() const {
  if (m_digest) return *m_digest;
  uint64_t digest = 0;
  for (const auto& [id, entry] : m_entries) {
    if (entry.remove_at) continue;
    const std::string key = entry.record.Key();
    const bool is_ready = entry.record.state == EngineState::kReady;
    // A sum is independent of the iteration order.
    digest += XXH64(key.data(), key.size(), is_ready ? 1 : 0);
  }
  m_digest = static_cast<int64_t>(digest);
  return *m_digest;
}

const EngineRecord* EngineDirectory::FindByKey(std::string_view key) const {
  const EngineRecord* known = Find(std::string(key.substr(0, key.rfind('@'))));
  return known != nullptr && known->Key() == key ? known : nullptr;
}

bool EngineDirectory::Contains(std::string_view key) const {
  return FindByKey(key) != nullptr;
}

bool EngineDirectory::IsReady(const EngineRecord& record) const {
  return record.state == EngineState::kReady &&
         !m_told_leaving.contains(record.Key());
}

bool EngineDirectory::IsReady(std::string_view key) const {
  const EngineRecord* known = FindByKey(key);
  return known != nullptr && IsReady(*known);
}

void EngineDirectory::SetEvacuatedDomains(
    std::span<const FailureDomain> domains) {
  m_evacuated_domains = {domains.begin(), domains.end()};
}

bool EngineDirectory::IsEvacuated(std::string_view key) const {
  const EngineRecord* known = FindByKey(key);
  return known != nullptr &&
         m_evacuated_domains.contains(known->failure_domain);
}

bool EngineDirectory::IsServiceEvacuated(std::string_view service) const {
  if (m_evacuated_domains.empty() || !FindReadyEngines(service).empty()) {
    return false;
  }
  return std::any_of(m_entries.begin(), m_entries.end(),
                     [this, service](const auto& item) {
                       const EngineRecord& record = item.second.record;
                       return record.service == service && IsReady(record);
                     });
}

const EngineRecord* EngineDirectory::Find(const std::string& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.record;
}

}  // namespace peridotshelf::discovery
