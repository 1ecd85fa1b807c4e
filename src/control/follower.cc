#include "peridotshelf/control/follower.h"

#include <algorithm>

#include "peridotshelf/events/log.h"

namespace peridotshelf::control::detail {
namespace {

/// Limits the shift. After this many doublings the bound exceeds any usable
/// maximum backoff.
constexpr int kMaxDoublings = 20;

void LogResult(const RecordResult& result) {
  using events::EventId;
  switch (result.outcome) {
    case RecordOutcome::kAccepted:
      return events::Log(EventId::kChangeAccepted,
                         {{"version", result.version},
                          {"kind", ToString(result.header.kind)},
                          {"change_id", result.header.change_id},
                          {"operator", result.header.operator_name}});
    case RecordOutcome::kStaleBaseVersion:
    case RecordOutcome::kInvalid:
    case RecordOutcome::kDuplicate:
      return events::Log(
          EventId::kChangeRejected,
          {{"offset", result.offset},
           {"outcome", ToString(result.outcome)},
           {"change_id", result.header.change_id},
           {"operator", result.header.operator_name},
           {"path", result.errors.empty() ? "" : result.errors[0].path}});
    case RecordOutcome::kNotConfigurationChange:
      return;
    default:
      return events::Log(
          EventId::kRecordSkipped,
          {{"offset", result.offset}, {"outcome", ToString(result.outcome)}});
  }
}

}  // namespace

void LogUpdate(const TrackerUpdate& update, const LogTracker& tracker) {
  if (update.found_gap) {
    events::Log(events::EventId::kHistoryLost,
                {{"folded_offset", tracker.state().applied_offset},
                 {"first_offset", tracker.first_offset()}});
  }
  if (update.adopted_snapshot) {
    events::Log(events::EventId::kSnapshotAdopted,
                {{"offset", tracker.snapshot_offset()},
                 {"version", tracker.state().control.version}});
  }
  for (const RecordResult& result : update.results) LogResult(result);
}

void LogReadFailure(const Error& error) {
  events::Log(events::EventId::kPlatformCallFailed,
              {{"call", "read log"}, {"detail", error.detail}});
}

void LogPeerStateAdopted(const LogState& state) {
  events::Log(events::EventId::kPeerStateAdopted,
              {{"folded_offset", state.applied_offset},
               {"version", state.control.version}});
}

Duration DrawBackoff(const FollowerOptions& options, int failures,
                     std::mt19937_64& random) {
  const auto doubled = options.initial_backoff *
                       (int64_t{1} << std::min(failures, kMaxDoublings));
  const Duration bound = std::min<Duration>(doubled, options.max_backoff);
  std::uniform_int_distribution<int64_t> draw(bound.count() / 2, bound.count());
  return Duration(draw(random));
}

}  // namespace peridotshelf::control::detail
