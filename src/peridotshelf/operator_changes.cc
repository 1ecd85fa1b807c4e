// The subcommands that change what is in force: publish, preset, drain and
// undrain; and check, which only reads a document.
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "peridotshelf/command.h"
#include "peridotshelf/operator_log.h"

namespace peridotshelf::program {
namespace {

using control::PublishOutcome;
using control::RecordKind;
using nlohmann::ordered_json;

constexpr int64_t kNoVersion = -1;
constexpr settings::Range<int64_t> kVersions{kNoVersion, INT64_MAX};

/// Settings of a command that makes one change.
struct ChangeSettings : OperatorSettings {
  /// File, preset or host.
  std::string subject;
  int64_t if_version = kNoVersion;
  std::string change_id;
  std::string operator_name = "operator";
};

/// One of the commands.
struct ChangeCommand {
  RecordKind kind;
  std::string_view name;
  std::string_view summary;
  std::string_view subject_name;
  std::string_view subject_help;
  std::string_view example;
};

settings::Schema<ChangeSettings> MakeSchema(const ChangeCommand& command) {
  using S = ChangeSettings;
  settings::SettingsBuilder<S> builder(command.name, command.summary);
  builder.Positional(&S::subject, command.subject_name, command.subject_help);
  AddOperatorSettings(builder);
  builder
      .Integer(&S::if_version,
               {"--if-version",
                "Change only if this is still the version in force; -1: the "
                "version that the log shows now."},
               kVersions, "VERSION")
      .Text(&S::change_id,
            {"--change-id", "Id of the change; given again, it counts once."})
      .Text(&S::operator_name, {"--operator", "Who asks, for the audit."})
      .Example(command.example);
  return builder.Build();
}

std::string DescribeText(const control::PublishResult& result) {
  const std::string version = std::to_string(result.version);
  std::string text(ToString(result.outcome));
  switch (result.outcome) {
    case PublishOutcome::kAccepted:
      return text + " at version " + version;
    case PublishOutcome::kLost:
      return text + " to version " + version +
             "; look at it and decide anew (peridotshelf audit)";
    case PublishOutcome::kInvalid:
      for (const auto& fault : result.faults) {
        text += "\n  " + (fault.path.empty() ? "/" : fault.path) + " " +
                fault.message;
      }
      return text;
    case PublishOutcome::kNotAppended:
      return text + ": nothing changed; " + result.detail;
    case PublishOutcome::kUnknown:
      break;
  }
  return text + ": " + result.detail +
         "\nrun the same command with --change-id " + result.change_id +
         " (it counts once), or: peridotshelf audit --change-id " +
         result.change_id;
}

std::string DescribeJson(const control::PublishResult& result) {
  ordered_json faults = ordered_json::array();
  for (const auto& fault : result.faults) {
    faults.push_back({{"path", fault.path}, {"message", fault.message}});
  }
  return ordered_json{{"outcome", ToString(result.outcome)},
                      {"change_id", result.change_id},
                      {"version", result.version},
                      {"faults", std::move(faults)},
                      {"detail", result.detail}}
      .dump();
}

ExitCode ExitCodeOf(PublishOutcome outcome) {
  switch (outcome) {
    case PublishOutcome::kAccepted:
      return ExitCode::kSuccess;
    case PublishOutcome::kLost:
      return ExitCode::kVersionConflict;
    case PublishOutcome::kInvalid:
      return ExitCode::kBadConfiguration;
    case PublishOutcome::kNotAppended:
      return ExitCode::kUnavailable;
    case PublishOutcome::kUnknown:
      break;
  }
  return ExitCode::kFailure;
}

ExitCode Report(const control::PublishResult& result, bool json) {
  std::cout << (json ? DescribeJson(result) : DescribeText(result)) << "\n";
  return ExitCodeOf(result.outcome);
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << "peridotshelf: cannot read " << path << "\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// The record's body, or none after saying why.
std::optional<std::string> MakeBody(const ChangeCommand& command,
                                    const std::string& subject) {
  if (command.kind == RecordKind::kPreset) {
    return ordered_json{{"name", subject}}.dump();
  }
  if (command.kind != RecordKind::kConfig) {
    return ordered_json{{"host", subject}}.dump();
  }
  return ReadFile(subject);
}

/// The faults of a document that would damage the record around it.
std::optional<control::PublishResult> FindFaults(RecordKind kind,
                                                 const std::string& body) {
  if (kind != RecordKind::kConfig) return std::nullopt;
  const auto read = control::ReadConfiguration(body);
  if (read) return std::nullopt;
  control::PublishResult result;
  result.outcome = PublishOutcome::kInvalid;
  result.faults = read.error();
  return result;
}

ExitCode MakeChange(const ChangeCommand& command, Arguments args) {
  const auto given = MakeSchema(command).ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!given) return given.error();
  const std::optional<std::string> body = MakeBody(command, given->subject);
  if (!body) return ExitCode::kBadSettings;
  if (const auto invalid = FindFaults(command.kind, *body)) {
    return Report(*invalid, given->json);
  }
  HttpWaitingLog log(given->log_url);
  SleepingClock clock;
  control::PublisherOptions options;
  options.time_limit = given->time_limit;
  control::Publisher publisher(log, clock, options);
  control::RecordHeader header;
  header.kind = command.kind;
  header.change_id =
      given->change_id.empty() ? MakeRandomId() : given->change_id;
  header.operator_name = given->operator_name;
  header.time = UtcNow();
  header.base_version = given->if_version;
  if (header.base_version == kNoVersion) {
    const Result<control::ControlState> state = publisher.ReadState();
    if (!state) {
      return Report({PublishOutcome::kNotAppended,
                     header.change_id,
                     0,
                     {},
                     state.error().detail},
                    given->json);
    }
    header.base_version = state->version;
  }
  return Report(publisher.Publish(header, *body), given->json);
}

}  // namespace

ExitCode RunPublish(Arguments args) {
  return MakeChange(
      {RecordKind::kConfig, "publish", "Publishes a configuration document.",
       "FILE", "The document, in JSON.",
       "peridotshelf publish fleet.json --if-version 17 "
       "--log-url http://10.0.0.9:9000"},
      args);
}

ExitCode RunPreset(Arguments args) {
  return MakeChange({RecordKind::kPreset, "preset",
                     "Puts a preset of the configuration in force.", "NAME",
                     "The preset's name.",
                     "peridotshelf preset peak --log-url http://10.0.0.9:9000"},
                    args);
}

ExitCode RunDrain(Arguments args) {
  return MakeChange(
      {RecordKind::kDrain, "drain", "Tells a host to take no new work.", "HOST",
       "The host's name in the configuration.",
       "peridotshelf drain b17 --log-url http://10.0.0.9:9000"},
      args);
}

ExitCode RunUndrain(Arguments args) {
  return MakeChange(
      {RecordKind::kUndrain, "undrain", "Lets a drained host take work again.",
       "HOST", "The host's name in the configuration.",
       "peridotshelf undrain b17 --log-url http://10.0.0.9:9000"},
      args);
}

}  // namespace peridotshelf::program
