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

/// Which daemon's settings are checked beside the file.
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
                   "Daemon whose settings in the environment are checked too."},
                  kDaemons)
          .Switch(&S::json, {"--json", "Write one JSON object."})
          .Example("peridotshelf check etc/hallstrom.json")
          .Build();
  return schema;
}

/// Checks what a daemon would read from the environment.
template <class S>
ExitCode CheckEnvironment(const settings::Schema<S>& schema) {
  const auto parsed = schema.Parse({}, settings::ProcessEnvironment());
  if (parsed) {
    settings::PrintSettings(std::cout, parsed->in_force);
    return ExitCode::kSuccess;
  }
  settings::PrintFaults(std::cerr, schema.command().name, parsed.error());
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

using Faults = control::ConfigurationErrors;

/// The faults of the document in a file.
Faults ReadFaults(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) return {{"", "the file cannot be read"}};
  auto read = control::ReadConfiguration(text.str());
  return read ? Faults() : std::move(read.error());
}

std::string FormatJson(const Faults& faults) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const control::ConfigurationError& fault : faults) {
    list.push_back({{"path", fault.path}, {"message", fault.message}});
  }
  return nlohmann::ordered_json{
      {"outcome", faults.empty() ? "valid" : "invalid"}, {"faults", list}}
      .dump();
}

std::string FormatText(const Faults& faults) {
  if (faults.empty()) return "valid";
  std::string text = "invalid";
  for (const control::ConfigurationError& fault : faults) {
    text += "\n  " + (fault.path.empty() ? "/" : fault.path) + " ";
    text += fault.message;
  }
  return text;
}

ExitCode CheckFile(const CheckSettings& settings) {
  const Faults faults = ReadFaults(settings.file);
  std::cout << (settings.json ? FormatJson(faults) : FormatText(faults))
            << "\n";
  return faults.empty() ? ExitCode::kSuccess : ExitCode::kBadConfiguration;
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
