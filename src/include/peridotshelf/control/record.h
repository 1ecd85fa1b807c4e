/// The records that processes and operators append to the platform's log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "peridotshelf/base/ids.h"

namespace peridotshelf::control {

/// The record format version that this program reads and writes.
inline constexpr int64_t kRecordVersion = 1;
/// Larger records and larger changes are skipped. The limit for changes is
/// lower so that a snapshot of every reachable state fits in a record.
inline constexpr size_t kMaxRecordBytes = size_t{900} * 1024;
inline constexpr size_t kMaxChangeBytes = size_t{512} * 1024;
/// Maximum size of a change id, an operator name and a host name.
inline constexpr size_t kMaxNameBytes = 128;

/// The kind of a record.
enum class RecordKind {
  kConfig,    ///< A complete configuration document.
  kPreset,    ///< {"name": PRESET}.
  kDrain,     ///< {"host": HOST}.
  kUndrain,   ///< {"host": HOST}.
  kSnapshot,  ///< The log state at an offset.
  kPlan,      ///< Commands to engines.
  kAudit,     ///< An audit entry; changes no state.
};

/// Returns the kind's name in the log, such as "config".
std::string_view ToString(RecordKind kind);

/// Returns the kind named `name`, if there is one.
std::optional<RecordKind> ParseRecordKind(std::string_view name);

/// The header fields of every record.
struct RecordHeader {
  RecordKind kind = RecordKind::kAudit;
  /// Identifies the change; the same in every retry of an append.
  std::string change_id;
  /// The version that the change is based on. Required for configurations and
  /// presets; ignored for drains.
  ControlVersion base_version = 0;
  /// The operator, or the host that wrote a snapshot.
  std::string operator_name;
  /// UTC time as text, for information only.
  std::string time;
};

/// Returns the record as JSON text. `body_json` is a JSON value, or "" for {}.
std::string WriteRecord(const RecordHeader& header, std::string_view body_json);

}  // namespace peridotshelf::control
