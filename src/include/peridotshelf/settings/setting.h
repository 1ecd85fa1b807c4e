/// One setting of a subcommand: how it is named, what it may be, where its
/// value came from, and what was wrong with it.
#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace peridotshelf::settings {

/// Looks up an environment variable by name.
using Environment = std::function<std::optional<std::string>(std::string_view)>;

/// The environment of this process.
Environment ProcessEnvironment();

/// How a setting is written on the command line.
enum class Form {
  kOption,      ///< "--flag VALUE"
  kSwitch,      ///< "--flag"
  kPositional,  ///< "VALUE"
};

/// What is known of a setting before any value is given.
struct SettingInfo {
  Form form = Form::kOption;
  /// "--http-port", or the name of a positional argument.
  std::string flag;
  /// "PERIDOTSHELF_HTTP_PORT"; empty for positional arguments.
  std::string variable;
  /// The value's unit or kind, as help shows it: "MS".
  std::string value_name;
  /// What is allowed: "an integer from 1 to 65535".
  std::string allowed;
  std::string help;
  /// Empty when the setting is required or empty by default.
  std::string default_text;
  bool required = false;
};

/// Where a value came from. A flag goes before the environment.
enum class Source { kFlag, kEnvironment, kDefault };

/// "flag", "environment" or "default".
std::string_view ToString(Source source);

/// A value as text, with its source.
struct RawValue {
  std::string text;
  Source source = Source::kDefault;
};

/// One line of what `--print-settings` shows.
struct SettingInForce {
  std::string flag;
  std::string variable;
  RawValue value;
};

/// What is wrong with a setting.
enum class FaultKind {
  kUnknownArgument,  ///< No setting has this flag, or one argument too many.
  kMissing,          ///< A required setting was not given.
  kMissingValue,     ///< The flag was given without a value.
  kRepeated,         ///< The flag was given more than once.
  kNotAllowed,       ///< The value is malformed or out of range.
  kConflict,         ///< The value does not go with another setting's.
};

/// One fault of a command line or environment.
struct SettingFault {
  FaultKind kind = FaultKind::kNotAllowed;
  std::string flag;
  std::string variable;
  RawValue value;
  std::string allowed;

  /// One line that names the flag, the value and what is allowed.
  std::string ToString() const;
};

/// Writes one line for each setting: flag, value, source and variable.
void PrintSettings(std::ostream& out, std::span<const SettingInForce> settings);

/// Writes one line for each fault, and how to get help for `command`.
void PrintFaults(std::ostream& out, std::string_view command,
                 std::span<const SettingFault> faults);

}  // namespace peridotshelf::settings
