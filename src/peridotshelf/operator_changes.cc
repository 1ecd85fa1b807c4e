// The subcommands that make a change: publish, preset, drain and undrain.
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

/// One of the subcommands that make a change.
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
                "Make the change only if this is still the active version; "
                "-1: the newest version in the log."},
               kVersions, "VERSION")
      .Text(&S::change_id,
            {"--change-id",
             "Id of the change; a repeated id is applied only once."})
      .Text(&S::operator_name,
            {"--operator", "Operator name shown by the audit command."})
      .Example(command.example);
  return builder.Build();
}

std::string FormatText(const control::PublishResult& result) {
  const std::string version = std::to_string(result.version);
  std::string text(ToString(result.outcome));
  switch (result.outcome) {
    case PublishOutcome::kAccepted:
      return text + " at version " + version;
    case PublishOutcome::kSuperseded:
      return text + " to version " + version +
             "; review that version (peridotshelf audit) before trying again";
    case PublishOutcome::kInvalid:
      for (const auto& error : result.errors) {
        text += "\n  " + (error.path.empty() ? "/" : error.path) + " " +
                error.message;
      }
      return text;
    case PublishOutcome::kNotAppended:
      return text + ": nothing changed; " + result.detail;
    case PublishOutcome::kUnknown:
      break;
  }
  return text + ": " + result.detail +
         "\nrun the same command with --change-id " + result.change_id +
         " (it is applied only once), or: peridotshelf audit --change-id " +
         result.change_id;
}

std::string FormatJson(const control::PublishResult& result) {
  ordered_json errors = ordered_json::array();
  for (const auto& error : result.errors) {
    errors.push_back({{"path", error.path}, {"message", error.message}});
  }
  return ordered_json{{"outcome", ToString(result.outcome)},
                      {"change_id", result.change_id},
                      {"version", result.version},
                      {"faults", std::move(errors)},
                      {"detail", result.detail}}
      .dump();
}

ExitCode ToExitCode(PublishOutcome outcome) {
  switch (outcome) {
    case PublishOutcome::kAccepted:
      return ExitCode::kSuccess;
    case PublishOutcome::kSuperseded:
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
  std::cout << (json ? FormatJson(result) : FormatText(result)) << "\n";
  return ToExitCode(result.outcome);
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << "peridotshelf: cannot read " << path << "\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Returns the record's body; prints the reason if there is none.
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

/// Returns the errors of an invalid document, which would make the enclosing
/// record malformed; nullopt if there are none.
std::optional<control::PublishResult> FindDocumentErrors(
    RecordKind kind, const std::string& body) {
  if (kind != RecordKind::kConfig) return std::nullopt;
  const auto read = control::ReadConfiguration(body);
  if (read) return std::nullopt;
  control::PublishResult result;
  result.outcome = PublishOutcome::kInvalid;
  result.errors = read.error();
  return result;
}

ExitCode MakeChange(const ChangeCommand& command, Arguments args) {
  const auto settings = MakeSchema(command).ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!settings) return settings.error();
  const std::optional<std::string> body = MakeBody(command, settings->subject);
  if (!body) return ExitCode::kBadSettings;
  if (const auto invalid = FindDocumentErrors(command.kind, *body)) {
    return Report(*invalid, settings->json);
  }
  HttpBlockingLog log(settings->log_url);
  SleepingClock clock;
  control::PublisherOptions options;
  options.timeout = settings->timeout;
  control::Publisher publisher(log, clock, options);
  control::RecordHeader header;
  header.kind = command.kind;
  header.change_id =
      settings->change_id.empty() ? MakeRandomId() : settings->change_id;
  header.operator_name = settings->operator_name;
  header.time = UtcNow();
  header.base_version = settings->if_version;
  if (header.base_version == kNoVersion) {
    const Result<control::ControlState> state = publisher.ReadState();
    if (!state) {
      return Report({PublishOutcome::kNotAppended,
                     header.change_id,
                     0,
                     {},
                     state.error().detail},
                    settings->json);
    }
    header.base_version = state->version;
  }
  return Report(publisher.Publish(header, *body), settings->json);
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
  return MakeChange(
      {RecordKind::kPreset, "preset",
       "Activates a preset of the configuration.", "NAME", "The preset's name.",
       "peridotshelf preset peak --log-url http://10.0.0.9:9000"},
      args);
}

ExitCode RunDrain(Arguments args) {
  return MakeChange(
      {RecordKind::kDrain, "drain", "Stops sending new work to a host.", "HOST",
       "The host's name in the configuration.",
       "peridotshelf drain b17 --log-url http://10.0.0.9:9000"},
      args);
}

ExitCode RunUndrain(Arguments args) {
  return MakeChange(
      {RecordKind::kUndrain, "undrain", "Sends work to a drained host again.",
       "HOST", "The host's name in the configuration.",
       "peridotshelf undrain b17 --log-url http://10.0.0.9:9000"},
      args);
}

}  // namespace peridotshelf::program
