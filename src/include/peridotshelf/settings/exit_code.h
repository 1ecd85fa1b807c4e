/// The exit codes of every subcommand; docs/OPERATIONS.md explains each.
#pragma once

namespace peridotshelf::settings {

/// Exit code of the process.
enum class ExitCode : int {
  kSuccess = 0,
  /// The command ran but failed, for example because an answer never arrived.
  kFailure = 1,
  /// A setting, argument or subcommand is not valid. Nothing was started.
  kBadSettings = 2,
  /// Listening on an address and port failed.
  kCannotListen = 3,
  /// A process of the system or of the platform did not answer.
  kUnavailable = 4,
  /// A configuration document or a change is not valid.
  kBadConfiguration = 5,
  /// The base version of a change is older than the active version.
  kVersionConflict = 6,
};

/// Returns the status that the process reports to the operating system.
constexpr int ToStatus(ExitCode code) { return static_cast<int>(code); }

}  // namespace peridotshelf::settings
