/// The fold from log records to control state: a pure function that every
/// process applies alike, so that all of them agree without talking.
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

/// What the fold made of a record.
enum class RecordOutcome {
  kAccepted,          ///< In force from the record's offset on.
  kStaleBaseVersion,  ///< An accepted change came between it and its base.
  kInvalid,           ///< Not valid; `faults` says why.
  kUnknownVersion,    ///< Of a format or kind that this program does not know.
  kRecordTooLarge,    ///< A change over kMaxChangeBytes, or any over
                      ///< kMaxRecordBytes.
  kMalformed,         ///< Not a whole JSON record.
  kDuplicate,         ///< Repeats a change; the first record counts.
  kNotConfigurationChange,  ///< A snapshot, plan or audit record.
};

/// The outcome's stable name, such as "lost_to_version".
std::string_view ToString(RecordOutcome outcome);

/// The outcome named `name`, if there is one.
std::optional<RecordOutcome> ParseRecordOutcome(std::string_view name);

/// One folded record.
struct RecordResult {
  int64_t offset = 0;
  RecordOutcome outcome = RecordOutcome::kMalformed;
  /// What the record says of itself, as far as it could be read.
  RecordHeader header;
  /// The version in force after the record: the change's own if accepted, the
  /// one it lost to otherwise.
  ControlVersion version = 0;
  /// For kDuplicate: the first record of the change and what became of it.
  int64_t first_offset = 0;
  RecordOutcome first_outcome = RecordOutcome::kInvalid;
  ConfigurationErrors faults;
};

/// Changes whose ids are remembered, so that a repetition is recognised.
inline constexpr size_t kRememberedChanges = 256;
/// Hosts that can drain at once; a further drain is not valid.
inline constexpr size_t kMaxDraining = 1024;

/// A change that was judged.
struct RememberedChange {
  std::string change_id;
  int64_t offset = 0;
  RecordOutcome outcome = RecordOutcome::kInvalid;
  friend bool operator==(const RememberedChange&,
                         const RememberedChange&) = default;
};

/// Everything that later records are judged by. A copy is cheap.
struct LogState {
  /// All records up to this offset are folded; 0 before any.
  int64_t applied_offset = 0;
  ControlState control;
  /// The accepted configuration as normalised JSON; null before any.
  std::shared_ptr<const std::string> document;
  /// Oldest first.
  std::deque<RememberedChange> recent;
  /// Records that did not become a change although they were meant to.
  int64_t rejected_count = 0;
};

/// Folds `record`, which must be newer than `state.folded_offset`.
RecordResult ApplyRecord(LogState& state, const platform::LogRecord& record);

/// A state that begins anew after `applied_offset` with `document` in force,
/// for operators whose log has lost its history.
tl::expected<LogState, ConfigurationErrors> MakeInitialState(
    std::string_view document, int64_t applied_offset);

/// The state as the JSON body of a snapshot record.
std::string WriteSnapshot(const LogState& state);

/// The state in `body`, or kProtocol / kBadConfiguration.
Result<LogState> ReadSnapshot(std::string_view body);

/// The state in a log record, if the record is a valid snapshot.
Result<LogState> ReadSnapshotRecord(const platform::LogRecord& record);

}  // namespace peridotshelf::control
