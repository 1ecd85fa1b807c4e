// The subcommand `story`.
#include <fstream>
#include <iostream>

#include "peridotshelf/command.h"
#include "peridotshelf/logs/request_timeline.h"

namespace peridotshelf::program {
namespace {

constexpr const char* kUsage =
    "usage: peridotshelf story [--json] REQUEST_ID LOG...\n\n"
    "Joins what the logs of several processes say of one request, in order of\n"
    "time, and names the cause of its outcome. --json prints the lines as "
    "they\n"
    "were logged. LOG is a file, or - for standard input.\n";

void Print(const logs::RequestTimeline& story, bool as_json) {
  for (const logs::TimelineEntry& line : story.lines) {
    if (as_json) {
      std::cout << line.json << "\n";
    } else {
      std::cout << line.time << "  " << line.process << "  " << line.event
                << "  " << line.details << "\n";
    }
  }
  if (story.unreadable > 0) {
    std::cerr << "peridotshelf story: " << story.unreadable
              << " lines could not be read\n";
  }
  if (!as_json) std::cout << logs::FindCause(story) << "\n";
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
  logs::RequestTimeline story;
  story.request_id = args[0];
  for (const std::string& path : args.subspan(1)) {
    if (path == "-") {
      logs::AddLog(story, std::cin);
      continue;
    }
    std::ifstream log(path);
    if (!log) {
      std::cerr << "peridotshelf story: cannot read " << path << "\n";
      return ExitCode::kBadSettings;
    }
    logs::AddLog(story, log);
  }
  logs::Order(story);
  Print(story, as_json);
  return story.lines.empty() ? ExitCode::kFailure : ExitCode::kSuccess;
}

}  // namespace peridotshelf::program
