// The subcommand `check-history`.
#include <charconv>
#include <iostream>
#include <optional>
#include <vector>

#include "peridotshelf/command.h"
#include "peridotshelf/history/checker.h"
#include "peridotshelf/history/recorder.h"

namespace peridotshelf::program {
namespace {

void PrintHelp(std::ostream& out) {
  out << "Checks a recorded history; each rule checks one invariant.\n"
         "Usage: peridotshelf check-history [--slack-ms MS] FILE...\n"
         "  --slack-ms MS   Added to each time bound, for a busy host.\n"
         "Prints a line for each violation; the exit code is 0 if there is "
         "none.\n";
}

/// Parses "--slack-ms MS" at the front of `args` and removes it; nullopt if MS
/// is not valid.
std::optional<Duration> ParseSlack(Arguments& args) {
  if (args.empty() || args[0] != "--slack-ms") return Duration::zero();
  if (args.size() < 2) return std::nullopt;
  const std::string& text = args[1];
  int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, milliseconds);
  if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds < 0) {
    return std::nullopt;
  }
  args = args.subspan(2);
  return std::chrono::milliseconds(milliseconds);
}

void PrintSummary(const std::vector<history::HistoryEvent>& events) {
  const history::Index index(events);
  std::cout << events.size() << " events, " << index.calls().size()
            << " calls, " << index.executions().size() << " executions\n";
}

}  // namespace

ExitCode RunCheckHistory(Arguments args) {
  if (!args.empty() && (args[0] == "--help" || args[0] == "-h")) {
    PrintHelp(std::cout);
    return ExitCode::kSuccess;
  }
  const std::optional<Duration> slack = ParseSlack(args);
  if (!slack || args.empty()) {
    PrintHelp(std::cerr);
    return ExitCode::kBadSettings;
  }
  const auto events = history::ReadHistory(args);
  if (!events) {
    std::cerr << "peridotshelf check-history: " << events.error().detail
              << "\n";
    return ExitCode::kBadSettings;
  }
  const auto violations =
      history::CheckAll(*events, history::WithSlack({}, *slack));
  for (const history::Violation& violation : violations) {
    std::cout << violation << "\n";
  }
  PrintSummary(*events);
  return violations.empty() ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace peridotshelf::program
