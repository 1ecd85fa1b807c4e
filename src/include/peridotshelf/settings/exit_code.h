/// The exit codes of every subcommand; docs/OPERATIONS.md explains each.
#pragma once

namespace peridotshelf::settings {

/// How a process ended.
enum class ExitCode : int {
  kSuccess = 0,
  /// The command ran and did not succeed, such as an answer that never came.
  kFailure = 1,
  /// A setting, argument or subcommand is not valid. Nothing was started.
  kBadSettings = 2,
  /// An address and port could not be listened on.
  kCannotListen = 3,
  /// A process of the system or of the platform did not answer.
  kUnavailable = 4,
  /// A configuration document or a change is not valid.
  kBadConfiguration = 5,
  /// A change was based on an older version than the one in force.
  kVersionConflict = 6,
};

/// The number that the process gives to the operating system.
constexpr int ToStatus(ExitCode code) { return static_cast<int>(code); }

}  // namespace peridotshelf::settings
