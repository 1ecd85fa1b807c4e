#include "peridotshelf/settings/setting.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <ostream>

namespace peridotshelf::settings {
namespace {

std::string DescribeSubject(const SettingError& error) {
  if (error.value.source == Source::kEnvironment) {
    return error.variable + " (" + error.flag + ")";
  }
  return error.flag;
}

}  // namespace

Environment ProcessEnvironment() {
  return [](std::string_view name) -> std::optional<std::string> {
    const char* value = std::getenv(std::string(name).c_str());
    if (value == nullptr) return std::nullopt;
    return value;
  };
}

std::string_view ToString(Source source) {
  switch (source) {
    case Source::kFlag:
      return "flag";
    case Source::kEnvironment:
      return "environment";
    case Source::kDefault:
      return "default";
  }
  return "default";
}

std::string SettingError::ToString() const {
  std::string subject = DescribeSubject(*this);
  const std::string quoted = "\"" + value.text + "\"";
  switch (kind) {
    case SettingErrorKind::kUnknownArgument:
      return "unknown argument " + quoted;
    case SettingErrorKind::kMissing: {
      const std::string or_variable =
          variable.empty() ? "" : " (or " + variable + ")";
      return subject + or_variable + " is required; allowed: " + allowed;
    }
    case SettingErrorKind::kMissingValue:
      return subject + " needs a value; allowed: " + allowed;
    case SettingErrorKind::kRepeated:
      return subject + " is given more than once, last as " + quoted +
             "; allowed: once";
    case SettingErrorKind::kNotAllowed:
    case SettingErrorKind::kConflict:
      return subject + " is " + quoted + "; allowed: " + allowed;
  }
  return subject;
}

void PrintSettings(std::ostream& out,
                   std::span<const EffectiveSetting> settings) {
  size_t flag_width = 0;
  size_t value_width = 0;
  for (const EffectiveSetting& setting : settings) {
    flag_width = std::max(flag_width, setting.flag.size());
    value_width = std::max(value_width, setting.value.text.size());
  }
  constexpr int kSourceWidth = 12;
  for (const EffectiveSetting& setting : settings) {
    out << std::left << std::setw(static_cast<int>(flag_width) + 2)
        << setting.flag << std::setw(static_cast<int>(value_width) + 2)
        << setting.value.text << std::setw(kSourceWidth)
        << ToString(setting.value.source) << setting.variable << "\n";
  }
}

void PrintErrors(std::ostream& out, std::string_view command,
                 std::span<const SettingError> errors) {
  for (const SettingError& error : errors) {
    out << "peridotshelf " << command << ": " << error.ToString() << "\n";
  }
  out << "See: peridotshelf " << command << " --help\n";
}

}  // namespace peridotshelf::settings
