// The only file that includes CLI11. CLI11 splits the command line and lays
// out the help; values are checked by the schema, so that all faults of a
// start are found at once rather than the first.
#include <CLI/CLI.hpp>

#include "peridotshelf/settings/schema.h"

namespace peridotshelf::settings::detail {
namespace {

constexpr std::string_view kPrintSettings = "--print-settings";

/// CLI11's view of one subcommand.
class CommandLine {
 public:
  CommandLine(const CommandInfo& command,
              std::span<const SettingInfo> settings);

  /// Splits `args`; false if help was asked for.
  bool Split(std::span<const std::string> args);
  std::string Help() { return m_app.help(); }
  /// The values given for setting `i`, in order.
  std::vector<std::string> ValuesOf(size_t i) const;
  /// How many times setting `i` was given.
  size_t CountOf(size_t i) const { return m_options[i]->count(); }
  std::vector<std::string> Unknown() const { return m_app.remaining(); }
  bool print_requested() const { return m_print->count() > 0; }

 private:
  void Add(const SettingInfo& info);

  CLI::App m_app;
  std::vector<CLI::Option*> m_options;
  CLI::Option* m_print = nullptr;
};

std::string Describe(const SettingInfo& info) {
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
  for (const SettingInfo& info : settings) Add(info);
  const std::string purpose =
      "Show each setting in force and its source, then exit.";
  m_print = m_app.add_flag(std::string(kPrintSettings), purpose);
}

void CommandLine::Add(const SettingInfo& info) {
  const std::string description = Describe(info);
  CLI::Option* option = nullptr;
  if (info.form == Form::kSwitch) {
    option = m_app.add_flag(info.flag, description);
  } else {
    option = m_app.add_option(info.flag, CLI::callback_t(), description);
    // No value is CLI11's fault to report only at the first; leave it to us.
    // A positional argument that may be empty would take no value at all.
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

std::vector<std::string> CommandLine::ValuesOf(size_t i) const {
  return m_options[i]->results();
}

SettingFault MakeFault(FaultKind kind, const SettingInfo& info,
                       RawValue value) {
  return {kind, info.flag, info.variable, std::move(value), info.allowed};
}

/// The value of one setting from the flag, else from the environment.
std::optional<RawValue> CollectOne(const CommandLine& line, size_t i,
                                   const SettingInfo& info,
                                   const Environment& environment,
                                   std::vector<SettingFault>& faults) {
  const std::vector<std::string> given = line.ValuesOf(i);
  if (!given.empty()) {
    RawValue value{given.back(), Source::kFlag};
    if (given.size() > 1) {
      faults.push_back(MakeFault(FaultKind::kRepeated, info, value));
    } else if (value.text.empty() && info.form == Form::kOption) {
      faults.push_back(MakeFault(FaultKind::kMissingValue, info, value));
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
    faults.push_back(MakeFault(FaultKind::kMissing, info, {}));
  }
  return std::nullopt;
}

}  // namespace

RawSettings Collect(const CommandInfo& command,
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
  for (const std::string& argument : line.Unknown()) {
    raw.faults.push_back({FaultKind::kUnknownArgument,
                          argument,
                          "",
                          {argument, Source::kFlag},
                          ""});
  }
  for (size_t i = 0; i < settings.size(); ++i) {
    raw.values[i] = CollectOne(line, i, settings[i], environment, raw.faults);
  }
  return raw;
}

std::string HelpText(const CommandInfo& command,
                     std::span<const SettingInfo> settings) {
  return CommandLine(command, settings).Help();
}

std::string VariableOf(std::string_view flag) {
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
