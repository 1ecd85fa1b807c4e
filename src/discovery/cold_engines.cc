#include "peridotshelf/discovery/cold_engines.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::discovery {
namespace {

/// Registrations are written once a second, and reads of the same one differ by
/// as much.
constexpr Duration kStatementSlack = std::chrono::milliseconds(1200);
/// Ages of beliefs are reported late by the time that a report takes.
constexpr Duration kReportSlack = std::chrono::milliseconds(50);
/// A copy of the registrations may have incarnations of the last minute.
constexpr Duration kMemory = std::chrono::minutes(10);

}  // namespace

std::optional<ColdBelief> ColdEngines::ReadBelief(const RegistrationRead& read,
                                                  const Incarnation& known) {
  if (read.cold_left) {
    return ColdBelief{read.at + *read.cold_left, read.at,
                      ColdSource::kRegistration};
  }
  if (!known.is_known && !known.belief) {
    const std::chrono::milliseconds age(
        std::max<int64_t>(0, read.unix_ms - read.started_unix_ms));
    if (!read.is_first_read) {
      return ColdBelief{read.at + read.cold_time, read.at, ColdSource::kStart};
    }
    if (age < read.cold_time) {
      return ColdBelief{read.at + read.cold_time - age, read.at,
                        ColdSource::kStart};
    }
    return std::nullopt;
  }
  if (known.belief && known.belief->source == ColdSource::kRegistration) {
    return ColdBelief{std::min(known.belief->until, read.at), read.at,
                      ColdSource::kRegistration};
  }
  return known.belief;
}

bool ColdEngines::NoteRegistration(const RegistrationRead& read) {
  Incarnation& known = m_incarnations[std::string(read.engine)];
  std::optional<ColdBelief> newest = ReadBelief(read, known);
  const bool was_known = std::exchange(known.is_known, true);
  known.last_noted_at = read.at;
  const std::optional<ColdBelief> before = known.belief;
  if (newest && before && read.is_copy) {
    newest->until = std::max(newest->until, before->until);
  }
  known.belief = newest;
  if (!newest || newest->until <= read.at) return false;
  const bool is_changed = !before || before->until <= read.at ||
                          newest->until - before->until > kStatementSlack ||
                          before->until - newest->until > kStatementSlack;
  if (is_changed) known.belief->is_news = was_known;
  return is_changed;
}

bool ColdEngines::NotePeer(const std::string& engine,
                           const ColdBelief& belief) {
  Incarnation& known = m_incarnations[engine];
  if (known.belief &&
      belief.known_at - known.belief->known_at <= kReportSlack) {
    return false;
  }
  known.last_noted_at = std::max(known.last_noted_at, belief.known_at);
  known.belief = {belief.until, belief.known_at, ColdSource::kPeer,
                  /*is_news=*/false};
  return true;
}

const ColdBelief* ColdEngines::FindCold(std::string_view engine,
                                        TimePoint now) const {
  const auto found = m_incarnations.find(std::string(engine));
  if (found == m_incarnations.end()) return nullptr;
  const auto& belief = found->second.belief;
  return belief && now < belief->until ? &*belief : nullptr;
}

std::vector<std::string> ColdEngines::FindAllCold(TimePoint now) const {
  std::vector<std::string> cold;
  for (const auto& [engine, known] : m_incarnations) {
    if (known.belief && now < known.belief->until) cold.push_back(engine);
  }
  return cold;
}

void ColdEngines::ForgetOld(TimePoint now) {
  std::erase_if(m_incarnations, [now](const auto& item) {
    return now - item.second.last_noted_at > kMemory;
  });
}

}  // namespace peridotshelf::discovery
