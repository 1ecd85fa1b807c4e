/// One setting of a subcommand: its names, allowed values, the source of its
/// value, and its errors.
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

/// Returns the environment of this process.
Environment ProcessEnvironment();

/// Form of a setting on the command line.
enum class Form {
  kOption,      ///< "--flag VALUE"
  kSwitch,      ///< "--flag"
  kPositional,  ///< "VALUE"
};

/// Declaration of a setting, independent of any value.
struct SettingInfo {
  Form form = Form::kOption;
  /// "--http-port", or the name of a positional argument.
  std::string flag;
  /// "PERIDOTSHELF_HTTP_PORT"; empty for positional arguments.
  std::string variable;
  /// Unit or kind of the value in the help: "MS".
  std::string value_name;
  /// Allowed values: "an integer from 1 to 65535".
  std::string allowed;
  std::string help;
  /// Empty if the setting is required or empty by default.
  std::string default_text;
  bool required = false;
};

/// Source of a value. A flag takes precedence over the environment.
enum class Source { kFlag, kEnvironment, kDefault };

/// Returns "flag", "environment" or "default".
std::string_view ToString(Source source);

/// A value as text, with its source.
struct RawValue {
  std::string text;
  Source source = Source::kDefault;
};

/// Effective value of one setting, as `--print-settings` shows it.
struct EffectiveSetting {
  std::string flag;
  std::string variable;
  RawValue value;
};

/// Kind of error in a setting.
enum class SettingErrorKind {
  kUnknownArgument,  ///< No setting has this flag, or there are too many
                     ///< arguments.
  kMissing,          ///< A required setting was not given.
  kMissingValue,     ///< The flag was given without a value.
  kRepeated,         ///< The flag was given more than once.
  kNotAllowed,       ///< The value is malformed or out of range.
  kConflict,         ///< The value conflicts with that of another setting.
};

/// One error in the command line or the environment.
struct SettingError {
  SettingErrorKind kind = SettingErrorKind::kNotAllowed;
  std::string flag;
  std::string variable;
  RawValue value;
  std::string allowed;

  /// Returns one line with the flag, the value and the allowed values.
  std::string ToString() const;
};

/// Prints one line for each setting: flag, value, source and variable.
void PrintSettings(std::ostream& out,
                   std::span<const EffectiveSetting> settings);

/// Prints one line for each error, and how to get help for `command`.
void PrintErrors(std::ostream& out, std::string_view command,
                 std::span<const SettingError> errors);

}  // namespace peridotshelf::settings
