// The decision which suspect is to blame for crashes.
#include <algorithm>
#include <unordered_set>

#include "peridotshelf/quarantine/crash_quarantine.h"

namespace peridotshelf::quarantine {
namespace {

/// A suspect that has this many more crashes than another one is to blame for
/// those that both were at. Reports of single crashes may still be missing
/// here.
constexpr size_t kCrashesToTellApart = 2;
/// Reports of the same crash by other entries arrive within this time.
constexpr Duration kReportDelay = std::chrono::milliseconds(150);
/// Least share of the crashes of a service at which a suspect was, or else it
/// takes more crashes, since there are other causes.
constexpr double kMinShareOfCrashes = 0.5;
/// The same while the engines run no request at all to its end.
constexpr double kMinShareWithoutCompletions = 0.75;

bool IsComparable(const SuspectRecord& a, const SuspectRecord& b) {
  return a.id != b.id && a.kind == b.kind && a.service == b.service;
}

}  // namespace

std::vector<SuspectId> CrashQuarantine::Review(TimePoint now) {
  const TimePoint as_of = now - kReportDelay;
  std::vector<SuspectId> due;
  std::erase_if(m_to_review, [this, as_of, &due](SuspectId id) {
    const SuspectRecord* record = Find(id);
    if (record == nullptr || record->sightings.empty() || record->quarantine) {
      return true;
    }
    due.push_back(id);
    return record->sightings.back().crashed_at <= as_of;
  });
  const auto rank = [this](SuspectId id) {
    const SuspectRecord& record = m_records.at(id);
    return std::pair(record.sightings.size(), record.depth);
  };
  std::sort(due.begin(), due.end(),
            [&rank](SuspectId a, SuspectId b) { return rank(a) > rank(b); });
  std::vector<SuspectId> quarantined;
  for (const SuspectId id : due) {
    SuspectRecord& record = m_records.at(id);
    if (record.sightings.size() < CrashesToQuarantine(record.kind)) continue;
    const Blame blame = Judge(record, {as_of, FindCulprits()});
    if (blame == Blame::kNone) continue;
    const int32_t level = blame == Blame::kClear ? 1 : 0;
    record.quarantine = {level, now, now + LengthOf(level)};
    m_quarantined.insert(id);
    m_changed.insert(id);
    quarantined.push_back(id);
  }
  return quarantined;
}

CrashQuarantine::Blame CrashQuarantine::Judge(const SuspectRecord& record,
                                              const Evidence& evidence) const {
  const size_t needed = CrashesToQuarantine(record.kind);
  const SuspectRecord unexplained = WithoutExplained(record, evidence);
  const size_t moments = CountMoments(unexplained);
  if (moments < needed) return Blame::kNone;
  const size_t waited = moments - needed;
  // A whole request is seldom at several crashes by chance.
  const size_t patience =
      record.kind == SuspectKind::kRequest ? 0 : kCrashesToTellApart;
  const double share = ShareOfCrashes(unexplained, evidence);
  const bool has_others_completed = record.has_others_completed;
  size_t extra = share >= kMinShareOfCrashes ? 0 : kCrashesToTellApart;
  if (!has_others_completed) {
    extra = share >= kMinShareWithoutCompletions ? patience
                                                 : 2 * kCrashesToTellApart;
  }
  if (waited < extra || !HasCrashesOfItsOwn(unexplained, evidence) ||
      HasDeeperCandidate(unexplained, moments, evidence)) {
    return Blame::kNone;
  }
  const size_t crashes = unexplained.sightings.size();
  if (!HasRival(unexplained, crashes + 1 - kCrashesToTellApart, evidence)) {
    return has_others_completed && extra == 0 ? Blame::kClear
                                              : Blame::kContested;
  }
  if (waited < patience) return Blame::kNone;
  const bool may_tie = waited >= patience + kCrashesToTellApart;
  return HasRival(unexplained, may_tie ? crashes + 1 : crashes, evidence)
             ? Blame::kNone
             : Blame::kContested;
}

CrashQuarantine::Culprits CrashQuarantine::FindCulprits() const {
  Culprits culprits;
  for (const SuspectId id : m_quarantined) {
    const SuspectRecord& culprit = m_records.at(id);
    for (const CrashSighting& sighting : culprit.sightings) {
      culprits[sighting.engine].push_back(&culprit);
    }
  }
  return culprits;
}

SuspectRecord CrashQuarantine::WithoutExplained(const SuspectRecord& record,
                                                const Evidence& evidence) {
  SuspectRecord unexplained = record;
  std::erase_if(unexplained.sightings, [&evidence](const auto& sighting) {
    return sighting.crashed_at > evidence.as_of;
  });
  // Calls `visit` with each culprit of other requests at the crash.
  const auto for_each_culprit = [&](const CrashSighting& sighting,
                                    const auto& visit) {
    const auto found = evidence.culprits.find(sighting.engine);
    if (found == evidence.culprits.end()) return;
    for (const SuspectRecord* culprit : found->second) {
      if (IsComparable(*culprit, record) &&
          FindSighting(*culprit, sighting.engine)->request !=
              sighting.request) {
        visit(*culprit);
      }
    }
  };
  std::unordered_map<SuspectId, size_t> shared;
  for (const CrashSighting& sighting : unexplained.sightings) {
    for_each_culprit(sighting,
                     [&](const auto& culprit) { ++shared[culprit.id]; });
  }
  std::erase_if(unexplained.sightings, [&](const CrashSighting& sighting) {
    bool is_explained = false;
    for_each_culprit(sighting, [&](const auto& culprit) {
      // One that was at no other crash may be as innocent as this suspect.
      if (shared[culprit.id] < culprit.sightings.size()) is_explained = true;
    });
    return is_explained;
  });
  return unexplained;
}

bool CrashQuarantine::HasCrashesOfItsOwn(const SuspectRecord& unexplained,
                                         const Evidence& evidence) {
  SuspectRecord own = unexplained;
  std::erase_if(own.sightings, [&](const CrashSighting& sighting) {
    const auto found = evidence.culprits.find(sighting.engine);
    return found != evidence.culprits.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&unexplained](const SuspectRecord* culprit) {
                         return IsComparable(*culprit, unexplained);
                       });
  });
  return own.sightings.size() == unexplained.sightings.size() ||
         CountMoments(own) >= kCrashesToTellApart;
}

bool CrashQuarantine::HasRival(const SuspectRecord& unexplained,
                               size_t min_crashes,
                               const Evidence& evidence) const {
  return std::any_of(m_records.begin(), m_records.end(), [&](const auto& item) {
    const SuspectRecord& other = item.second;
    if (other.quarantine || !IsComparable(other, unexplained)) {
      return false;
    }
    const SharedCrashes shared = FindSharedCrashes(unexplained, other);
    return shared.has_other_requests && !shared.has_same_request &&
           WithoutExplained(other, evidence).sightings.size() >= min_crashes;
  });
}

bool CrashQuarantine::HasDeeperCandidate(const SuspectRecord& unexplained,
                                         size_t moments,
                                         const Evidence& evidence) const {
  const size_t min_moments = std::min(CrashesToQuarantine(unexplained.kind),
                                      moments + 1 - kCrashesToTellApart);
  return std::any_of(m_records.begin(), m_records.end(), [&](const auto& item) {
    const SuspectRecord& other = item.second;
    return !other.quarantine && IsComparable(other, unexplained) &&
           other.depth > unexplained.depth &&
           FindSharedCrashes(unexplained, other).has_same_request &&
           CountMoments(WithoutExplained(other, evidence)) >= min_moments;
  });
}

double CrashQuarantine::ShareOfCrashes(const SuspectRecord& unexplained,
                                       const Evidence& evidence) const {
  const TimePoint first = unexplained.sightings.front().crashed_at;
  std::unordered_set<uint64_t> engines;
  for (const auto& [id, other] : m_records) {
    if (other.kind != unexplained.kind ||
        other.service != unexplained.service) {
      continue;
    }
    const SuspectRecord others = WithoutExplained(other, evidence);
    for (const CrashSighting& sighting : others.sightings) {
      if (sighting.crashed_at >= first) engines.insert(sighting.engine);
    }
  }
  return static_cast<double>(unexplained.sightings.size()) /
         static_cast<double>(engines.size());
}

}  // namespace peridotshelf::quarantine
