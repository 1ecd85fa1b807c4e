/// Derives the control state from the log records. Applying a record is
/// deterministic, so all processes reach the same state without coordination.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "peridotshelf/base/error.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/control/configuration_reader.h"
#include "peridotshelf/control/record.h"
#include "peridotshelf/platform/concepts.h"

namespace peridotshelf::control {

/// The result of applying a record.
enum class RecordOutcome {
  kAccepted,          ///< The change is active from the record's offset on.
  kStaleBaseVersion,  ///< Another change was accepted after its base version.
  kInvalid,           ///< The change is invalid; see `errors`.
  kUnknownVersion,    ///< Unknown format version or record kind.
  kRecordTooLarge,    ///< A change over kMaxChangeBytes, or any record over
                      ///< kMaxRecordBytes.
  kMalformed,         ///< Not a complete JSON object, or too deeply nested.
  kDuplicate,         ///< Same change id as an earlier record, which applies.
  kNotConfigurationChange,  ///< A snapshot, plan or audit record.
};

/// Returns the outcome's stable name, such as "lost_to_version".
std::string_view ToString(RecordOutcome outcome);

/// Returns the outcome named `name`, if there is one.
std::optional<RecordOutcome> ParseRecordOutcome(std::string_view name);

/// The result of one applied record.
struct RecordResult {
  int64_t offset = 0;
  RecordOutcome outcome = RecordOutcome::kMalformed;
  /// The header fields that could be read.
  RecordHeader header;
  /// The control version after the record: the record's offset if the change
  /// was accepted, otherwise the version that remains active.
  ControlVersion version = 0;
  /// For kDuplicate: the offset and outcome of the first record of the change.
  int64_t first_offset = 0;
  RecordOutcome first_outcome = RecordOutcome::kInvalid;
  ConfigurationErrors errors;
};

/// Number of recent changes whose ids are kept to detect duplicates.
inline constexpr size_t kMaxRememberedChanges = 256;
/// Maximum number of draining hosts; further drains are invalid.
inline constexpr size_t kMaxDrainingHosts = 1024;

/// The id and outcome of a recent change, to detect duplicates.
struct RememberedChange {
  std::string change_id;
  int64_t offset = 0;
  RecordOutcome outcome = RecordOutcome::kInvalid;
  friend bool operator==(const RememberedChange&,
                         const RememberedChange&) = default;
};

/// The complete state that the outcome of later records depends on. Cheap to
/// copy.
struct LogState {
  /// All records up to this offset are applied; 0 if there are none.
  int64_t applied_offset = 0;
  ControlState control;
  /// The accepted configuration as normalised JSON; null if there is none.
  std::shared_ptr<const std::string> document;
  /// Oldest first.
  std::deque<RememberedChange> recent_changes;
  /// Number of changes that were not accepted and of unreadable records.
  int64_t rejected_count = 0;
};

/// Applies `record`, whose offset must be above `state.applied_offset`.
RecordResult ApplyRecord(LogState& state, const platform::LogRecord& record);

/// Creates a state at `applied_offset` with `document` as the active
/// configuration, for recovery when the log has lost its history.
tl::expected<LogState, ConfigurationErrors> MakeInitialState(
    std::string_view document, int64_t applied_offset);

/// Returns the state as the JSON body of a snapshot record.
std::string WriteSnapshot(const LogState& state);

/// Reads the state from a snapshot body. Returns kProtocol if it is not a JSON
/// object and kBadConfiguration if a field is invalid.
Result<LogState> ReadSnapshot(std::string_view body);

/// Reads the state from a log record. Returns kProtocol or kBadConfiguration
/// if the record is not a valid snapshot.
Result<LogState> ReadSnapshotRecord(const platform::LogRecord& record);

}  // namespace peridotshelf::control
