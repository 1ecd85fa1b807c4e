/// Declares the settings of a subcommand. Flags, environment variables, ranges,
/// defaults and help texts are all derived from the declaration.
///
///     const Schema<ProxySettings> schema =
///         SettingsBuilder<ProxySettings>("proxy", "Forwards requests.")
///             .Port(&ProxySettings::port, {"--port", "Port to listen on."})
///             .Build();
///
/// The default of each setting is its member's initial value.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "peridotshelf/settings/exit_code.h"
#include "peridotshelf/settings/setting.h"
#include "peridotshelf/settings/values.h"

namespace peridotshelf::settings {

/// Name and help of one setting. The name of the environment variable is
/// derived from the flag: PERIDOTSHELF_HTTP_PORT for "--http-port".
struct Option {
  std::string_view flag;
  std::string_view help;
  bool required = false;
};

/// Name, summary and example of a subcommand.
struct CommandInfo {
  std::string name;
  std::string summary;
  std::string example;
};

namespace detail {

/// Values from the command line and the environment, not yet parsed.
struct RawSettings {
  /// The value given for each setting, if any, in order of declaration.
  std::vector<std::optional<RawValue>> values;
  std::vector<SettingError> errors;
  bool help_requested = false;
  bool print_requested = false;
};

RawSettings CollectValues(const CommandInfo& command,
                          std::span<const SettingInfo> settings,
                          std::span<const std::string> args,
                          const Environment& environment);
std::string FormatHelp(const CommandInfo& command,
                       std::span<const SettingInfo> settings);
/// Returns "PERIDOTSHELF_HTTP_PORT" for "--http-port".
std::string MakeVariableName(std::string_view flag);

}  // namespace detail

/// Valid settings and the source of each.
template <class S>
struct Parsed {
  S settings;
  std::vector<EffectiveSetting> effective_settings;
  bool help_requested = false;
  bool print_requested = false;
};

/// The declared settings of a subcommand; `S` holds their values.
template <class S>
class Schema {
 public:
  /// Sets the member from text; returns false if the text is not allowed.
  using Assign = std::function<bool(S&, std::string_view)>;
  /// A rule on several settings; returns true if it holds.
  using Rule = std::function<bool(const S&)>;

  /// Reads the settings. If there are errors, returns all of them.
  tl::expected<Parsed<S>, std::vector<SettingError>> Parse(
      std::span<const std::string> args, const Environment& environment) const {
    detail::RawSettings raw =
        detail::CollectValues(m_command, m_infos, args, environment);
    Parsed<S> parsed;
    parsed.help_requested = raw.help_requested;
    parsed.print_requested = raw.print_requested;
    if (raw.help_requested) return parsed;
    for (size_t i = 0; i < m_infos.size(); ++i) {
      AssignValue(i, raw.values[i], parsed, raw.errors);
    }
    if (raw.errors.empty()) CheckRules(parsed, raw.errors);
    if (!raw.errors.empty()) return tl::unexpected(std::move(raw.errors));
    return parsed;
  }

  /// Reads the settings. Prints the output of --help and --print-settings to
  /// `out` and errors to `err`; then returns the exit code to end with.
  tl::expected<S, ExitCode> ParseOrExplain(std::span<const std::string> args,
                                           const Environment& environment,
                                           std::ostream& out,
                                           std::ostream& err) const {
    auto parsed = Parse(args, environment);
    if (!parsed) {
      PrintErrors(err, m_command.name, parsed.error());
      return tl::unexpected(ExitCode::kBadSettings);
    }
    if (parsed->help_requested) {
      out << Help();
      return tl::unexpected(ExitCode::kSuccess);
    }
    if (parsed->print_requested) {
      PrintSettings(out, parsed->effective_settings);
      return tl::unexpected(ExitCode::kSuccess);
    }
    return std::move(parsed->settings);
  }

  /// Returns the help text of the subcommand.
  std::string Help() const { return detail::FormatHelp(m_command, m_infos); }
  const CommandInfo& command() const { return m_command; }
  /// All settings, in order of declaration.
  std::span<const SettingInfo> settings() const { return m_infos; }

 private:
  template <class>
  friend class SettingsBuilder;
  struct ReportedRule {
    size_t setting_index;
    std::string allowed;
    Rule holds;
  };

  void AssignValue(size_t i, const std::optional<RawValue>& raw,
                   Parsed<S>& parsed, std::vector<SettingError>& errors) const {
    const SettingInfo& info = m_infos[i];
    const RawValue value =
        raw.value_or(RawValue{info.default_text, Source::kDefault});
    parsed.effective_settings.push_back({info.flag, info.variable, value});
    if (!raw || m_assigns[i](parsed.settings, raw->text)) return;
    errors.push_back({SettingErrorKind::kNotAllowed, info.flag, info.variable,
                      value, info.allowed});
  }
  void CheckRules(const Parsed<S>& parsed,
                  std::vector<SettingError>& errors) const {
    for (const ReportedRule& rule : m_rules) {
      if (rule.holds(parsed.settings)) continue;
      const EffectiveSetting& subject =
          parsed.effective_settings[rule.setting_index];
      errors.push_back({SettingErrorKind::kConflict, subject.flag,
                        subject.variable, subject.value, rule.allowed});
    }
  }

  CommandInfo m_command;
  std::vector<SettingInfo> m_infos;
  std::vector<Assign> m_assigns;
  std::vector<ReportedRule> m_rules;
};

/// Declares the settings of one subcommand.
template <class S>
class SettingsBuilder {
 public:
  SettingsBuilder(std::string_view name, std::string_view summary) {
    m_schema.m_command.name = name;
    m_schema.m_command.summary = summary;
  }

  /// Adds an example, shown at the end of the help.
  SettingsBuilder& Example(std::string_view example) {
    m_schema.m_command.example = example;
    return *this;
  }
  /// Adds a setting that takes any text that is not empty.
  SettingsBuilder& Text(std::string S::*member, const Option& option) {
    return AddText(member, option, "TEXT", "any text that is not empty",
                   [](std::string_view text) { return !text.empty(); });
  }
  /// Adds a name of letters, digits, '-', '_' and '.'.
  SettingsBuilder& Name(std::string S::*member, const Option& option) {
    return AddText(member, option, "NAME",
                   "1 to 64 letters, digits, '-', '_' or '.'", &IsName);
  }
  /// Adds an IPv4 address.
  SettingsBuilder& Address(std::string S::*member, const Option& option) {
    return AddText(member, option, "IP", "an IPv4 address such as 127.0.0.1",
                   &IsAddress);
  }
  /// Adds a base URL.
  SettingsBuilder& Url(std::string S::*member, const Option& option) {
    return AddText(member, option, "URL",
                   "a URL such as http://10.0.0.1:8080, without query",
                   &IsHttpUrl);
  }
  /// Adds a TCP port; 0 lets the operating system choose.
  SettingsBuilder& Port(uint16_t S::*member, const Option& option) {
    return Integer(member, option, {0, 65535}, "PORT");
  }
  /// Adds an integer within `range`; `value_name` names its unit in the help.
  template <std::integral T>
  SettingsBuilder& Integer(T S::*member, const Option& option,
                           Range<int64_t> range, std::string_view value_name) {
    Declare(Form::kOption, option, value_name, DescribeRange(range),
            std::to_string(S().*member));
    m_schema.m_assigns.push_back([member, range](S& s, std::string_view text) {
      const auto value = ParseInteger(text);
      if (!value || !range.Contains(*value)) return false;
      s.*member = static_cast<T>(*value);
      return true;
    });
    return *this;
  }
  /// Adds a real number within `range`.
  SettingsBuilder& Real(double S::*member, const Option& option,
                        Range<double> range, std::string_view value_name) {
    Declare(Form::kOption, option, value_name, DescribeRange(range),
            FormatReal(S().*member));
    m_schema.m_assigns.push_back([member, range](S& s, std::string_view text) {
      const auto value = ParseReal(text);
      if (!value || !range.Contains(*value)) return false;
      s.*member = *value;
      return true;
    });
    return *this;
  }
  /// Adds a duration in whole milliseconds.
  SettingsBuilder& Milliseconds(Duration S::*member, const Option& option,
                                Range<int64_t> range) {
    Declare(Form::kOption, option, "MS", DescribeRange(range),
            std::to_string(ToMilliseconds(S().*member)));
    m_schema.m_assigns.push_back([member, range](S& s, std::string_view text) {
      const auto value = ParseInteger(text);
      if (!value || !range.Contains(*value)) return false;
      s.*member = std::chrono::milliseconds(*value);
      return true;
    });
    return *this;
  }
  /// Adds a choice; `choices` maps each allowed text to its value.
  template <class E, size_t N>
  SettingsBuilder& Choice(
      E S::*member, const Option& option,
      const std::array<std::pair<std::string_view, E>, N>& choices) {
    std::array<std::string_view, N> names;
    std::string initial;
    for (size_t i = 0; i < N; ++i) {
      names[i] = choices[i].first;
      if (choices[i].second == S().*member) initial = choices[i].first;
    }
    Declare(Form::kOption, option, "CHOICE", DescribeChoices(names), initial);
    m_schema.m_assigns.push_back(
        [member, choices](S& s, std::string_view text) {
          for (const auto& [name, value] : choices) {
            if (name != text) continue;
            s.*member = value;
            return true;
          }
          return false;
        });
    return *this;
  }
  /// Adds a flag without a value; the environment variable takes "true" or
  /// "false".
  SettingsBuilder& Switch(bool S::*member, const Option& option) {
    Declare(Form::kSwitch, option, "", "true or false",
            S().*member ? "true" : "false");
    m_schema.m_assigns.push_back([member](S& s, std::string_view text) {
      const auto value = ParseBool(text);
      if (!value) return false;
      s.*member = *value;
      return true;
    });
    return *this;
  }
  /// Adds a required argument without a flag; the help shows it as `name`.
  SettingsBuilder& Positional(std::string S::*member, std::string_view name,
                              std::string_view help) {
    Declare(Form::kPositional, {name, help, true}, name,
            "text that is not empty", "");
    m_schema.m_assigns.push_back([member](S& s, std::string_view text) {
      s.*member = std::string(text);
      return !text.empty();
    });
    return *this;
  }
  /// Adds a rule on several settings, checked only if each setting is valid. A
  /// violation is reported as an error of `flag` with `allowed` as the allowed
  /// values.
  SettingsBuilder& Rule(std::string_view flag, std::string_view allowed,
                        typename Schema<S>::Rule holds) {
    for (size_t i = 0; i < m_schema.m_infos.size(); ++i) {
      if (m_schema.m_infos[i].flag != flag) continue;
      m_schema.m_rules.push_back({i, std::string(allowed), std::move(holds)});
      break;
    }
    return *this;
  }
  /// Returns the finished declaration.
  Schema<S> Build() { return std::move(m_schema); }

 private:
  template <class Allowed>
  SettingsBuilder& AddText(std::string S::*member, const Option& option,
                           std::string_view value_name,
                           std::string_view allowed, Allowed is_allowed) {
    Declare(Form::kOption, option, value_name, allowed, S().*member);
    m_schema.m_assigns.push_back(
        [member, is_allowed](S& s, std::string_view text) {
          s.*member = std::string(text);
          return is_allowed(text);
        });
    return *this;
  }
  void Declare(Form form, const Option& option, std::string_view value_name,
               std::string_view allowed, std::string default_text) {
    SettingInfo info;
    info.form = form;
    info.flag = option.flag;
    if (form != Form::kPositional) {
      info.variable = detail::MakeVariableName(option.flag);
    }
    info.value_name = value_name;
    info.allowed = allowed;
    info.help = option.help;
    info.required = option.required;
    if (!option.required) info.default_text = std::move(default_text);
    m_schema.m_infos.push_back(std::move(info));
  }

  Schema<S> m_schema;
};

}  // namespace peridotshelf::settings
