// The subcommand `recover`: reinitializes the control state after the log has
// lost its history and no process can supply the state.
#include <fstream>
#include <iostream>
#include <iterator>

#include "peridotshelf/command.h"
#include "peridotshelf/operator_log.h"

namespace peridotshelf::program {
namespace {

struct RecoverSettings : OperatorSettings {
  std::string file;
  std::string operator_name = "operator";
};

settings::Schema<RecoverSettings> MakeSchema() {
  using S = RecoverSettings;
  settings::SettingsBuilder<S> builder(
      "recover", "Reinitializes a log that has lost its history.");
  builder.Positional(&S::file, "FILE",
                     "The configuration document to activate, in JSON.");
  AddOperatorSettings(builder);
  builder
      .Text(&S::operator_name,
            {"--operator", "Operator name shown by the audit command."})
      .Example(
          "peridotshelf recover fleet.json --log-url http://10.0.0.9:9000");
  return builder.Build();
}

ExitCode ReportError(const std::string& text, ExitCode code) {
  std::cerr << "peridotshelf recover: " << text << "\n";
  return code;
}

/// Appends the state as a snapshot that covers all records so far.
ExitCode AppendState(const RecoverSettings& settings, HttpBlockingLog& log,
                     const control::LogState& state) {
  control::RecordHeader header;
  header.kind = control::RecordKind::kSnapshot;
  header.change_id = MakeRandomId();
  header.base_version = state.control.version;
  header.operator_name = settings.operator_name;
  header.time = UtcNow();
  const Result<int64_t> appended =
      log.Append(control::WriteRecord(header, control::WriteSnapshot(state)));
  if (!appended) {
    return ReportError(
        appended.error().detail +
            "; run the command again: it refuses if the log was recovered",
        ExitCode::kFailure);
  }
  const std::string version = std::to_string(state.control.version);
  std::cout << (settings.json
                    ? R"({"outcome":"accepted","version":)" + version + "}"
                    : "in force as version " + version)
            << "\n";
  return ExitCode::kSuccess;
}

}  // namespace

ExitCode RunRecover(Arguments args) {
  const auto settings = MakeSchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!settings) return settings.error();
  std::ifstream file(settings->file, std::ios::binary);
  if (!file)
    return ReportError("cannot read " + settings->file, ExitCode::kFailure);
  const std::string document(std::istreambuf_iterator<char>(file), {});
  HttpBlockingLog log(settings->log_url);
  SleepingClock clock;
  control::PublisherOptions options;
  options.timeout = settings->timeout;
  control::Publisher publisher(log, clock, options);
  const Result<control::ControlState> state = publisher.ReadState();
  const control::LogTracker& tracker = publisher.tracker();
  if (state) {
    return ReportError("the log's history is complete; use publish",
                       ExitCode::kVersionConflict);
  }
  if (tracker.readiness() != control::Readiness::kHistoryLost) {
    return ReportError(state.error().detail, ExitCode::kUnavailable);
  }
  const auto initial_state =
      control::MakeInitialState(document, tracker.next_offset() - 1);
  if (initial_state) return AppendState(*settings, log, *initial_state);
  for (const auto& error : initial_state.error()) {
    std::cerr << error.path << " " << error.message << "\n";
  }
  return ExitCode::kBadConfiguration;
}

}  // namespace peridotshelf::program
