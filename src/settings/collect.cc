// The only file that includes CLI11. CLI11 splits the command line and formats
// the help. The schema checks the values, so that all errors are reported
// together; CLI11 would report only the first.
#include <CLI/CLI.hpp>

#include "peridotshelf/settings/schema.h"

namespace peridotshelf::settings::detail {
namespace {

constexpr std::string_view kPrintSettings = "--print-settings";

/// Command line of one subcommand, parsed by CLI11.
class CommandLine {
 public:
  CommandLine(const CommandInfo& command,
              std::span<const SettingInfo> settings);

  /// Splits `args`; returns false if help was requested.
  bool Split(std::span<const std::string> args);
  std::string FormatHelp() { return m_app.help(); }
  /// Returns the values given for setting `i`, in order.
  std::vector<std::string> GivenValues(size_t i) const;
  size_t CountValues(size_t i) const { return m_options[i]->count(); }
  std::vector<std::string> UnknownArguments() const {
    return m_app.remaining();
  }
  bool print_requested() const { return m_print->count() > 0; }

 private:
  void AddSetting(const SettingInfo& info);

  CLI::App m_app;
  std::vector<CLI::Option*> m_options;
  CLI::Option* m_print = nullptr;
};

std::string DescribeSetting(const SettingInfo& info) {
  std::string text = info.help;
  if (info.form == Form::kPositional) return text;
  if (info.form == Form::kOption) text += "\nAllowed: " + info.allowed + ".";
  text += "\n";
  if (info.required) text += "Required. ";
  if (!info.default_text.empty())
    text += "Default: " + info.default_text + ". ";
  return text + " [" + info.variable + "]";
}

CommandLine::CommandLine(const CommandInfo& command,
                         std::span<const SettingInfo> settings)
    : m_app(command.summary, "peridotshelf " + command.name) {
  constexpr size_t kColumnWidth = 32;
  m_app.allow_extras();
  m_app.get_formatter()->column_width(kColumnWidth);
  if (!command.example.empty())
    m_app.footer("Example:\n  " + command.example + "\n");
  for (const SettingInfo& info : settings) AddSetting(info);
  const std::string purpose =
      "Print the effective value and source of each setting, then exit.";
  m_print = m_app.add_flag(std::string(kPrintSettings), purpose);
}

void CommandLine::AddSetting(const SettingInfo& info) {
  const std::string description = DescribeSetting(info);
  CLI::Option* option = nullptr;
  if (info.form == Form::kSwitch) {
    option = m_app.add_flag(info.flag, description);
  } else {
    option = m_app.add_option(info.flag, CLI::callback_t(), description);
    // Accepts a missing value here, as CLI11 would report only the first one.
    // A positional argument that may be empty would never receive a value.
    if (info.form == Form::kOption) option->expected(0, 1);
    option->type_name(info.value_name);
  }
  option->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
  m_options.push_back(option);
}

bool CommandLine::Split(std::span<const std::string> args) {
  std::vector<std::string> reversed(args.rbegin(), args.rend());
  try {
    m_app.parse(std::move(reversed));
  } catch (const CLI::CallForHelp&) {
    return false;
  }
  return true;
}

std::vector<std::string> CommandLine::GivenValues(size_t i) const {
  return m_options[i]->results();
}

SettingError MakeError(SettingErrorKind kind, const SettingInfo& info,
                       RawValue value) {
  return {kind, info.flag, info.variable, std::move(value), info.allowed};
}

/// Returns the value of setting `i` from the flag, else from the environment.
std::optional<RawValue> CollectValue(const CommandLine& line, size_t i,
                                     const SettingInfo& info,
                                     const Environment& environment,
                                     std::vector<SettingError>& errors) {
  const std::vector<std::string> given = line.GivenValues(i);
  if (!given.empty()) {
    RawValue value{given.back(), Source::kFlag};
    if (given.size() > 1) {
      errors.push_back(MakeError(SettingErrorKind::kRepeated, info, value));
    } else if (value.text.empty() && info.form == Form::kOption) {
      errors.push_back(MakeError(SettingErrorKind::kMissingValue, info, value));
    } else {
      return value;
    }
    return std::nullopt;
  }
  if (!info.variable.empty()) {
    if (auto text = environment(info.variable)) {
      return RawValue{std::move(*text), Source::kEnvironment};
    }
  }
  if (info.required) {
    errors.push_back(MakeError(SettingErrorKind::kMissing, info, {}));
  }
  return std::nullopt;
}

}  // namespace

RawSettings CollectValues(const CommandInfo& command,
                          std::span<const SettingInfo> settings,
                          std::span<const std::string> args,
                          const Environment& environment) {
  RawSettings raw;
  raw.values.resize(settings.size());
  CommandLine line(command, settings);
  if (!line.Split(args)) {
    raw.help_requested = true;
    return raw;
  }
  raw.print_requested = line.print_requested();
  for (const std::string& argument : line.UnknownArguments()) {
    raw.errors.push_back({SettingErrorKind::kUnknownArgument,
                          argument,
                          "",
                          {argument, Source::kFlag},
                          ""});
  }
  for (size_t i = 0; i < settings.size(); ++i) {
    raw.values[i] = CollectValue(line, i, settings[i], environment, raw.errors);
  }
  return raw;
}

std::string FormatHelp(const CommandInfo& command,
                       std::span<const SettingInfo> settings) {
  return CommandLine(command, settings).FormatHelp();
}

std::string MakeVariableName(std::string_view flag) {
  std::string name = "PERIDOTSHELF_";
  flag.remove_prefix(std::min(flag.find_first_not_of('-'), flag.size()));
  for (const char c : flag) {
    name +=
        c == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

}  // namespace peridotshelf::settings::detail
