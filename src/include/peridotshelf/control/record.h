/// The records that processes and operators put on the platform's log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "peridotshelf/base/ids.h"

namespace peridotshelf::control {

/// The version of the records' format that this program writes and reads.
inline constexpr int64_t kRecordVersion = 1;
/// A larger record is skipped, and so is a larger change. The difference lets
/// the snapshot of any state that changes can lead to fit into a record.
inline constexpr size_t kMaxRecordBytes = size_t{900} * 1024;
inline constexpr size_t kMaxChangeBytes = size_t{512} * 1024;
/// Longest change id, operator name and host name.
inline constexpr size_t kMaxNameBytes = 128;

/// What a record is for.
enum class RecordKind {
  kConfig,    ///< A whole configuration document.
  kPreset,    ///< {"name": PRESET}.
  kDrain,     ///< {"host": HOST}.
  kUndrain,   ///< {"host": HOST}.
  kSnapshot,  ///< The state after folding up to an offset.
  kPlan,      ///< Orders to engines.
  kAudit,     ///< A note about what happened; changes nothing.
};

/// The kind's name on the log, such as "config".
std::string_view ToString(RecordKind kind);

/// The kind named `name`, if there is one.
std::optional<RecordKind> ParseRecordKind(std::string_view name);

/// What every record begins with.
struct RecordHeader {
  RecordKind kind = RecordKind::kAudit;
  /// The same in every repetition of one change.
  std::string change_id;
  /// The version that the change was decided upon. Configurations and presets
  /// need it; drains have none.
  ControlVersion base_version = 0;
  /// Who asked for it.
  std::string operator_name;
  /// When, as UTC text; for people only.
  std::string time;
};

/// The record's text; `body_json` is a JSON value, or "" for {}.
std::string WriteRecord(const RecordHeader& header, std::string_view body_json);

}  // namespace peridotshelf::control
