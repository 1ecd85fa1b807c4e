#include "peridotshelf/quarantine/suspect_record.h"

#include <algorithm>

namespace peridotshelf::quarantine {
namespace {

/// Connections to engines that end together are seen to break within this time.
constexpr Duration kMomentGap = std::chrono::milliseconds(200);
/// The same request seldom runs at several engines at once.
constexpr Duration kMomentGapOfRequest = std::chrono::milliseconds(60);
/// Engines with a common cause end within about this time.
constexpr Duration kSpread = std::chrono::milliseconds(10);
/// Enough to tell suspects apart; the oldest ones are dropped.
constexpr size_t kMaxSightings = 32;
/// Times of other entries are late by about this much at most.
constexpr Duration kTransitTime = std::chrono::milliseconds(100);
/// Times of other entries that differ by less mean the same event.
constexpr Duration kTransitTolerance = std::chrono::milliseconds(250);

void MergeQuarantine(SuspectRecord& record, const Quarantine& other) {
  if (record.completed_at && other.since <= *record.completed_at) return;
  if (!record.quarantine || record.quarantine->level < other.level) {
    record.quarantine = other;
    return;
  }
  if (record.quarantine->level > other.level) return;
  // The earlier time is the one that was delayed less.
  record.quarantine->since = std::min(record.quarantine->since, other.since);
  record.quarantine->until = std::min(record.quarantine->until, other.until);
}

}  // namespace

size_t CountMoments(const SuspectRecord& record) {
  const Duration gap =
      record.kind == SuspectKind::kRequest ? kMomentGapOfRequest : kMomentGap;
  size_t moments = 0;
  CrashSighting last;
  for (const CrashSighting& sighting : record.sightings) {
    const bool is_repeat = sighting.request == last.request &&
                           sighting.sent_at >= last.crashed_at &&
                           sighting.crashed_at - last.crashed_at > kSpread;
    if (moments > 0 && !is_repeat &&
        sighting.sent_at <= last.crashed_at + kTransitTime &&
        sighting.crashed_at - last.crashed_at < gap) {
      continue;
    }
    ++moments;
    last = sighting;
  }
  return moments;
}

const CrashSighting* FindSighting(const SuspectRecord& record,
                                  uint64_t engine) {
  const auto found = std::find_if(
      record.sightings.begin(), record.sightings.end(),
      [engine](const auto& sighting) { return sighting.engine == engine; });
  return found == record.sightings.end() ? nullptr : &*found;
}

bool AddSighting(SuspectRecord& record, const CrashSighting& sighting) {
  if (record.completed_at && sighting.crashed_at <= *record.completed_at) {
    return false;
  }
  const auto known = std::find_if(
      record.sightings.begin(), record.sightings.end(),
      [&sighting](const auto& s) { return s.engine == sighting.engine; });
  if (known != record.sightings.end()) {
    // The earlier time is the one that was delayed less on its way here.
    known->sent_at = std::min(known->sent_at, sighting.sent_at);
    known->crashed_at = std::min(known->crashed_at, sighting.crashed_at);
    return false;
  }
  const auto after = std::upper_bound(
      record.sightings.begin(), record.sightings.end(), sighting,
      [](const CrashSighting& a, const CrashSighting& b) {
        return a.crashed_at < b.crashed_at;
      });
  record.sightings.insert(after, sighting);
  if (record.sightings.size() > kMaxSightings) {
    record.sightings.erase(record.sightings.begin());
  }
  return true;
}

bool ClearSuspect(SuspectRecord& record, TimePoint completed_at) {
  const bool is_suspected = !record.sightings.empty() || record.quarantine;
  if (record.completed_at && completed_at <= *record.completed_at) {
    return false;
  }
  record.completed_at = completed_at;
  std::erase_if(record.sightings, [completed_at](const auto& sighting) {
    return sighting.crashed_at <= completed_at;
  });
  if (record.sightings.empty()) record.has_others_completed = false;
  if (record.quarantine && record.quarantine->since <= completed_at) {
    record.quarantine.reset();
  }
  return is_suspected;
}

bool MergeRecord(SuspectRecord& record, const SuspectRecord& other) {
  if (other.completed_at &&
      (!record.completed_at ||
       *other.completed_at > *record.completed_at + kTransitTolerance)) {
    ClearSuspect(record, *other.completed_at);
  }
  bool is_new = false;
  for (const CrashSighting& sighting : other.sightings) {
    if (AddSighting(record, sighting)) is_new = true;
  }
  if (!record.sightings.empty() && other.has_others_completed) {
    record.has_others_completed = true;
  }
  if (other.quarantine) MergeQuarantine(record, *other.quarantine);
  return is_new;
}

SharedCrashes FindSharedCrashes(const SuspectRecord& a,
                                const SuspectRecord& b) {
  SharedCrashes shared;
  for (const CrashSighting& sighting : a.sightings) {
    const CrashSighting* other = FindSighting(b, sighting.engine);
    if (other == nullptr) continue;
    (other->request == sighting.request ? shared.has_same_request
                                        : shared.has_other_requests) = true;
  }
  return shared;
}

}  // namespace peridotshelf::quarantine
