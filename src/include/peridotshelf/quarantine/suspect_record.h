/// What entries know of a suspect: something that several requests have in
/// common and that may crash the engines that run them.
///
/// When an engine ends, all requests that it runs end with it. Which of them is
/// to blame shows only over several crashes, and by those that ran to their end
/// elsewhere. Records therefore hold the single crashes, so that entries can
/// merge what each of them saw, in any order and more than once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::quarantine {

/// Hash of what the requests have in common; equal at all entries.
using SuspectId = uint64_t;

/// What requests with one suspect have in common. Suspects are compared only
/// with others of their kind.
enum class SuspectKind : uint8_t {
  kPromptPart,  ///< A part of their prompts.
  kRequest,     ///< All but the id: service, method, target, team and body.
};

/// One suspect of a request.
struct Suspect {
  SuspectId id = 0;
  /// Suspects of one request with a greater depth are shared by fewer requests.
  int32_t depth = 0;
  SuspectKind kind = SuspectKind::kPromptPart;
};

/// The crash of an engine while it ran a request with the suspect.
struct CrashSighting {
  /// Hash of the incarnation of the engine, which crashes only once.
  uint64_t engine = 0;
  /// Hash of the id of a request with the suspect; one if there were several.
  uint64_t request = 0;
  TimePoint sent_at{};
  TimePoint crashed_at{};
};

/// Requests with a quarantined suspect are rejected until `until`; after that,
/// entries take turns to send a single one.
struct Quarantine {
  /// 0 if there may be another cause, 1 if not; rises with each extension.
  int32_t level = 0;
  TimePoint since{};
  TimePoint until{};
};

struct SuspectRecord {
  SuspectId id = 0;
  SuspectKind kind = SuspectKind::kPromptPart;
  /// Hash of the name of the service whose engines crashed.
  uint64_t service = 0;
  int32_t depth = 0;
  /// In order of their time; none before `completed_at`.
  std::vector<CrashSighting> sightings;
  /// When a request with the suspect last ran to its end, after the first
  /// crash.
  std::optional<TimePoint> completed_at;
  /// Whether the engines ran another request to its end since the first crash.
  bool has_others_completed = false;
  std::optional<Quarantine> quarantine;
};

/// Returns the number of separate moments at which engines crashed. A common
/// cause that ends many engines at once is one moment, however many requests
/// with the suspect they ran: a sighting counts if its request was sent after
/// the one that was counted before it, or if it is clearly later.
size_t CountMoments(const SuspectRecord& record);

/// Adds a sighting, unless one of the same engine is known or a request with
/// the suspect has run to its end since. Returns whether it was added.
bool AddSighting(SuspectRecord& record, const CrashSighting& sighting);

/// Records that a request with the suspect ran to its end at `completed_at`,
/// which clears it of the crashes before. Returns whether that changes
/// anything.
bool ClearSuspect(SuspectRecord& record, TimePoint completed_at);

/// Merges what another entry knows. Times of other entries are late by the
/// transit time of their messages. Returns whether a sighting was added.
bool MergeRecord(SuspectRecord& record, const SuspectRecord& other);

/// Crashes of engines that ran requests with both of two suspects.
struct SharedCrashes {
  /// At some crash, one request had both.
  bool has_same_request = false;
  /// At some crash, different requests had them.
  bool has_other_requests = false;
};
SharedCrashes FindSharedCrashes(const SuspectRecord& a, const SuspectRecord& b);

/// Returns the sighting at `engine`, or null.
const CrashSighting* FindSighting(const SuspectRecord& record, uint64_t engine);

}  // namespace peridotshelf::quarantine
