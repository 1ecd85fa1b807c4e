// The subcommand `check`.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "peridotshelf/command.h"
#include "peridotshelf/control/configuration_reader.h"
#include "peridotshelf/settings/daemon_settings.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::program {
namespace {

/// Daemon whose settings are checked in addition to the file.
enum class DaemonKind { kNone, kEntry, kSide };

constexpr std::array<std::pair<std::string_view, DaemonKind>, 3> kDaemons = {
    {{"none", DaemonKind::kNone},
     {"entry", DaemonKind::kEntry},
     {"side", DaemonKind::kSide}}};

struct CheckSettings {
  std::string file;
  DaemonKind daemon = DaemonKind::kNone;
  bool json = false;
};

const settings::Schema<CheckSettings>& CheckSchema() {
  using S = CheckSettings;
  static const settings::Schema<S> schema =
      settings::SettingsBuilder<S>(
          "check", "Checks a configuration file and settings; starts nothing.")
          .Positional(&S::file, "FILE", "Configuration document, JSON.")
          .Choice(&S::daemon,
                  {"--settings-of",
                   "Daemon whose environment variables are checked too."},
                  kDaemons)
          .Switch(&S::json, {"--json", "Write one JSON object."})
          .Example("peridotshelf check etc/hallstrom.json")
          .Build();
  return schema;
}

/// Checks the settings that a daemon would read from the environment.
template <class S>
ExitCode CheckEnvironment(const settings::Schema<S>& schema) {
  const auto parsed = schema.Parse({}, settings::ProcessEnvironment());
  if (parsed) {
    settings::PrintSettings(std::cout, parsed->effective_settings);
    return ExitCode::kSuccess;
  }
  settings::PrintErrors(std::cerr, schema.command().name, parsed.error());
  return ExitCode::kBadSettings;
}

ExitCode CheckDaemon(DaemonKind daemon) {
  switch (daemon) {
    case DaemonKind::kNone:
      return ExitCode::kSuccess;
    case DaemonKind::kEntry:
      return CheckEnvironment(settings::EntrySchema());
    case DaemonKind::kSide:
      return CheckEnvironment(settings::SideSchema());
  }
  return ExitCode::kFailure;
}

using Errors = control::ConfigurationErrors;

/// Returns the errors of the configuration document in a file.
Errors FindErrors(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) return {{"", "the file cannot be read"}};
  auto read = control::ReadConfiguration(text.str());
  return read ? Errors() : std::move(read.error());
}

std::string FormatJson(const Errors& errors) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const control::ConfigurationError& error : errors) {
    list.push_back({{"path", error.path}, {"message", error.message}});
  }
  return nlohmann::ordered_json{
      {"outcome", errors.empty() ? "valid" : "invalid"}, {"faults", list}}
      .dump();
}

std::string FormatText(const Errors& errors) {
  if (errors.empty()) return "valid";
  std::string text = "invalid";
  for (const control::ConfigurationError& error : errors) {
    text += "\n  " + (error.path.empty() ? "/" : error.path) + " ";
    text += error.message;
  }
  return text;
}

ExitCode CheckFile(const CheckSettings& settings) {
  const Errors errors = FindErrors(settings.file);
  std::cout << (settings.json ? FormatJson(errors) : FormatText(errors))
            << "\n";
  return errors.empty() ? ExitCode::kSuccess : ExitCode::kBadConfiguration;
}

}  // namespace

ExitCode RunCheck(Arguments args) {
  const auto parsed = CheckSchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  const ExitCode daemon = CheckDaemon(parsed->daemon);
  const ExitCode file = CheckFile(*parsed);
  return daemon == ExitCode::kSuccess ? file : daemon;
}

}  // namespace peridotshelf::program
