// The subcommand `recover`: begins anew when the log has lost its history and
// no process can hand it over.
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
      "recover", "Begins anew on a log that has lost its history.");
  builder.Positional(&S::file, "FILE",
                     "The document to put in force, in JSON.");
  AddOperatorSettings(builder);
  builder.Text(&S::operator_name, {"--operator", "Who asks, for the audit."})
      .Example(
          "peridotshelf recover fleet.json --log-url http://10.0.0.9:9000");
  return builder.Build();
}

ExitCode Complain(const std::string& text, ExitCode code) {
  std::cerr << "peridotshelf recover: " << text << "\n";
  return code;
}

/// Appends the state as a snapshot that covers all records so far.
ExitCode AppendState(const RecoverSettings& given, HttpWaitingLog& log,
                     const control::LogState& state) {
  control::RecordHeader header;
  header.kind = control::RecordKind::kSnapshot;
  header.change_id = MakeRandomId();
  header.base_version = state.control.version;
  header.operator_name = given.operator_name;
  header.time = UtcNow();
  const Result<int64_t> appended =
      log.Append(control::WriteRecord(header, control::WriteSnapshot(state)));
  if (!appended) {
    return Complain(
        appended.error().detail + "; run it again: it refuses if it was done",
        ExitCode::kFailure);
  }
  const std::string version = std::to_string(state.control.version);
  std::cout << (given.json
                    ? R"({"outcome":"accepted","version":)" + version + "}"
                    : "in force as version " + version)
            << "\n";
  return ExitCode::kSuccess;
}

}  // namespace

ExitCode RunRecover(Arguments args) {
  const auto given = MakeSchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!given) return given.error();
  std::ifstream file(given->file, std::ios::binary);
  if (!file) return Complain("cannot read " + given->file, ExitCode::kFailure);
  const std::string document(std::istreambuf_iterator<char>(file), {});
  HttpWaitingLog log(given->log_url);
  SleepingClock clock;
  control::PublisherOptions options;
  options.time_limit = given->time_limit;
  control::Publisher publisher(log, clock, options);
  const Result<control::ControlState> state = publisher.ReadState();
  const control::LogTracker& tracker = publisher.tracker();
  if (state) {
    return Complain("the log's history is whole; use publish",
                    ExitCode::kVersionConflict);
  }
  if (tracker.readiness() != control::Readiness::kHistoryLost) {
    return Complain(state.error().detail, ExitCode::kUnavailable);
  }
  const auto anew =
      control::MakeInitialState(document, tracker.next_offset() - 1);
  if (anew) return AppendState(*given, log, *anew);
  for (const auto& fault : anew.error()) {
    std::cerr << fault.path << " " << fault.message << "\n";
  }
  return ExitCode::kBadConfiguration;
}

}  // namespace peridotshelf::program
