// Runs the subcommand that the first argument names.
#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/command.h"

namespace peridotshelf::program {
namespace {

struct Command {
  std::string_view name;
  std::string_view summary;
  ExitCode (*run)(Arguments);
};

ExitCode PrintVersion(Arguments /*args*/) {
  std::cout << "peridotshelf " << PERIDOTSHELF_VERSION << "\n";
  return ExitCode::kSuccess;
}

constexpr std::array kCommands = {
    Command{"gateway", "serve callers on the users' platform", &RunGateway},
    Command{"entry", "serve callers on an entry host", &RunEntry},
    Command{"side", "control access to the backend servers of a host",
            &RunSide},
    Command{"status", "show the state of entries and sides", &RunStatus},
    Command{"explain", "show the decisions made about a request", &RunExplain},
    Command{"story", "merge the log lines of one request", &RunStory},
    Command{"load", "send prompts and report results as callers see them",
            &RunLoad},
    Command{"demo", "run a small complete fleet on loopback", &RunDemo},
    Command{"standin", "simulate an engine, service, log, host list or network",
            &RunStandin},
    Command{"publish", "publish a configuration document", &RunPublish},
    Command{"preset", "activate a preset", &RunPreset},
    Command{"drain", "stop sending new work to a host", &RunDrain},
    Command{"undrain", "send work to a drained host again", &RunUndrain},
    Command{"audit", "list changes and their outcomes", &RunAudit},
    Command{"recover", "reinitialize a log that lost its history", &RunRecover},
    Command{"check", "check a configuration file and settings", &RunCheck},
    Command{"check-history", "check a recorded history against the invariants",
            &RunCheckHistory},
    Command{"version", "print the version", &PrintVersion},
};

void PrintUsage(std::ostream& out) {
  out << "usage: peridotshelf COMMAND [FLAGS]; see COMMAND --help\n\n";
  for (const Command& command : kCommands) {
    out << "  " << command.name << std::string(15 - command.name.size(), ' ')
        << command.summary << "\n";
  }
}

ExitCode Run(Arguments args) {
  if (args.empty()) {
    PrintUsage(std::cerr);
    return ExitCode::kBadSettings;
  }
  if (args[0] == "--help" || args[0] == "help") {
    PrintUsage(std::cout);
    return ExitCode::kSuccess;
  }
  const auto* command = std::find_if(
      kCommands.begin(), kCommands.end(),
      [&](const Command& candidate) { return candidate.name == args[0]; });
  if (command == kCommands.end()) {
    std::cerr << "peridotshelf: unknown command " << args[0] << "\n\n";
    PrintUsage(std::cerr);
    return ExitCode::kBadSettings;
  }
  return command->run(args.subspan(1));
}

}  // namespace
}  // namespace peridotshelf::program

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  const int status =
      peridotshelf::settings::ToStatus(peridotshelf::program::Run(args));
  // Ends the process without the destructors of static objects, since those of
  // the logging library wait for its threads.
  std::cout.flush();
  std::fflush(nullptr);
  std::_Exit(status);
}
