#include "peridotshelf/discovery/engine_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peridotshelf::discovery {

void EngineDirectory::Update(const EngineRecord& record) {
  Entry& entry = m_entries[record.id];
  if (entry.record == record && !entry.remove_at) return;
  entry = Entry{record, std::nullopt};
  m_digest.reset();
}

std::optional<MissingEngine> EngineDirectory::Remove(const std::string& id,
                                                     TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return std::nullopt;
  m_digest.reset();
  MissingEngine missing{found->second.record.Key()};
  // A leaving engine does not register again, so it gets no grace period.
  if (!m_is_after_outage ||
      found->second.record.state == EngineState::kLeaving) {
    m_entries.erase(found);
    return missing;
  }
  if (found->second.remove_at) return std::nullopt;
  found->second.remove_at = now + m_timing.return_grace;
  m_may_keep_engines = true;
  missing.is_kept = true;
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
  std::erase_if(m_entries, [&](const auto& item) {
    const auto& remove_at = item.second.remove_at;
    if (!remove_at) return false;
    if (now < *remove_at) {
      m_may_keep_engines = true;
      return false;
    }
    expired.push_back({item.second.record.Key()});
    return true;
  });
  return expired;
}

std::vector<const EngineRecord*> EngineDirectory::FindReadyEngines(
    std::string_view service) const {
  std::vector<const EngineRecord*> ready;
  for (const auto& [id, entry] : m_entries) {
    if (entry.record.service == service &&
        entry.record.state == EngineState::kReady) {
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

const EngineRecord* EngineDirectory::Find(const std::string& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.record;
}

}  // namespace peridotshelf::discovery
