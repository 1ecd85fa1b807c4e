// The subcommand `audit`: lists the changes in the log and their outcomes.
#include <iostream>
#include <nlohmann/json.hpp>

#include "peridotshelf/command.h"
#include "peridotshelf/operator_log.h"

namespace peridotshelf::program {
namespace {

using control::RecordOutcome;
using control::RecordResult;
using nlohmann::ordered_json;

struct AuditSettings : OperatorSettings {
  std::string change_id;
  std::string operator_name;
  std::string kind;
  /// UTC time as text; earlier records are omitted.
  std::string since;
};

const settings::Schema<AuditSettings>& AuditSchema() {
  using S = AuditSettings;
  static const settings::Schema<S> schema = [] {
    settings::SettingsBuilder<S> builder(
        "audit", "Lists the changes in the log and the outcome of each.");
    AddOperatorSettings(builder);
    builder
        .Text(&S::change_id, {"--change-id", "Only the change with this id."})
        .Text(&S::operator_name,
              {"--operator", "Only changes by this operator."})
        .Name(&S::kind, {"--kind",
                         "Only config, preset, drain, undrain, "
                         "snapshot, plan or audit."})
        .Text(&S::since,
              {"--since",
               "Only from this UTC time on, such as 2026-12-03T20:39:00Z."})
        .Example(
            "peridotshelf audit --kind preset --json "
            "--log-url http://10.0.0.9:9000");
    return builder.Build();
  }();
  return schema;
}

bool IsSelected(const AuditSettings& settings, const RecordResult& result) {
  const control::RecordHeader& header = result.header;
  const bool is_readable = result.outcome != RecordOutcome::kMalformed &&
                           result.outcome != RecordOutcome::kRecordTooLarge &&
                           result.outcome != RecordOutcome::kUnknownVersion;
  const std::string_view kind =
      is_readable ? ToString(header.kind) : "unreadable";
  return (settings.change_id.empty() ||
          settings.change_id == header.change_id) &&
         (settings.operator_name.empty() ||
          settings.operator_name == header.operator_name) &&
         (settings.kind.empty() || settings.kind == kind) &&
         (settings.since.empty() || header.time >= settings.since);
}

std::string FormatJson(const RecordResult& result) {
  ordered_json line = {{"offset", result.offset},
                       {"time", result.header.time},
                       {"kind", ToString(result.header.kind)},
                       {"operator", result.header.operator_name},
                       {"change_id", result.header.change_id},
                       {"base_version", result.header.base_version},
                       {"outcome", ToString(result.outcome)},
                       {"version", result.version}};
  if (result.outcome == RecordOutcome::kDuplicate) {
    line["first_offset"] = result.first_offset;
    line["first_outcome"] = ToString(result.first_outcome);
  }
  ordered_json errors = ordered_json::array();
  for (const auto& error : result.errors) {
    errors.push_back({{"path", error.path}, {"message", error.message}});
  }
  line["faults"] = std::move(errors);
  return line.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string FormatText(const RecordResult& result) {
  std::string line = std::to_string(result.offset) + " " + result.header.time +
                     " " + std::string(ToString(result.header.kind)) + " by " +
                     result.header.operator_name + " on version " +
                     std::to_string(result.header.base_version) + ": " +
                     std::string(ToString(result.outcome)) + ", version " +
                     std::to_string(result.version) + " (change " +
                     result.header.change_id + ")";
  for (const auto& error : result.errors) {
    line += "\n  " + error.path + " " + error.message;
  }
  return line;
}

/// Reads the log to its end and prints the selected records.
Result<void> PrintLog(const AuditSettings& settings) {
  HttpBlockingLog log(settings.log_url);
  control::LogTracker tracker;
  while (true) {
    const int64_t from = tracker.next_offset();
    const Result<platform::LogPage> page = log.Read(from, Duration{});
    if (!page) return tl::unexpected<Error>(page.error());
    for (const RecordResult& result : tracker.ApplyPage(from, *page).results) {
      if (!IsSelected(settings, result)) continue;
      std::cout << (settings.json ? FormatJson(result) : FormatText(result))
                << "\n";
    }
    if (tracker.next_offset() >= page->next_offset) break;
  }
  const control::Readiness readiness = tracker.readiness();
  if (readiness != control::Readiness::kHistoryLost) return {};
  return Fail(ErrorCode::kNotReady, std::string{ToString(readiness)});
}

}  // namespace

ExitCode RunAudit(Arguments args) {
  const auto settings = AuditSchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!settings) return settings.error();
  const Result<void> printed = PrintLog(*settings);
  if (printed) return ExitCode::kSuccess;
  std::cerr << "peridotshelf: " << printed.error().detail << "\n";
  return ExitCode::kUnavailable;
}

}  // namespace peridotshelf::program
