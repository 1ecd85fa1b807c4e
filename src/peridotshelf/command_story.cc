// The subcommand `story`.
#include <fstream>
#include <iostream>

#include "peridotshelf/command.h"
#include "peridotshelf/logs/request_timeline.h"

namespace peridotshelf::program {
namespace {

constexpr const char* kUsage =
    "usage: peridotshelf story [--json] REQUEST_ID LOG...\n\n"
    "Merges the log lines of one request from several processes in order of\n"
    "time and names the cause of its outcome. --json prints the lines as "
    "they\n"
    "were logged. LOG is a file, or - for standard input.\n";

void Print(const logs::RequestTimeline& timeline, bool as_json) {
  for (const logs::TimelineEntry& entry : timeline.entries) {
    if (as_json) {
      std::cout << entry.json << "\n";
    } else {
      std::cout << entry.time << "  " << entry.process << "  " << entry.event
                << "  " << entry.details << "\n";
    }
  }
  if (timeline.malformed_lines > 0) {
    std::cerr << "peridotshelf story: " << timeline.malformed_lines
              << " malformed log lines skipped\n";
  }
  if (!as_json) std::cout << logs::FindCause(timeline) << "\n";
}

}  // namespace

ExitCode RunStory(Arguments args) {
  const bool as_json = !args.empty() && args[0] == "--json";
  if (as_json) args = args.subspan(1);
  if (!args.empty() && args[0] == "--help") {
    std::cout << kUsage;
    return ExitCode::kSuccess;
  }
  if (args.size() < 2) {
    std::cerr << kUsage;
    return ExitCode::kBadSettings;
  }
  logs::RequestTimeline timeline;
  timeline.request_id = args[0];
  for (const std::string& path : args.subspan(1)) {
    if (path == "-") {
      logs::AddLog(timeline, std::cin);
      continue;
    }
    std::ifstream log(path);
    if (!log) {
      std::cerr << "peridotshelf story: cannot read " << path << "\n";
      return ExitCode::kBadSettings;
    }
    logs::AddLog(timeline, log);
  }
  logs::SortByTime(timeline);
  Print(timeline, as_json);
  return timeline.entries.empty() ? ExitCode::kFailure : ExitCode::kSuccess;
}

}  // namespace peridotshelf::program
