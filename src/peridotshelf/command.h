/// The program's subcommands. The arguments exclude the subcommand's name.
#pragma once

#include <span>
#include <string>

#include "peridotshelf/settings/exit_code.h"

namespace peridotshelf::program {

using Arguments = std::span<const std::string>;
using settings::ExitCode;

ExitCode RunGateway(Arguments args);
ExitCode RunEntry(Arguments args);
ExitCode RunSide(Arguments args);
ExitCode RunLoad(Arguments args);
/// Prints the decisions made about a request.
ExitCode RunExplain(Arguments args);
/// Prints the log lines of one request from several logs.
ExitCode RunStory(Arguments args);
/// Prints the state of daemons.
ExitCode RunStatus(Arguments args);
ExitCode RunDemo(Arguments args);
/// `standin KIND`: engine, service, log, hosts or relay.
ExitCode RunStandin(Arguments args);
ExitCode RunPublish(Arguments args);
ExitCode RunPreset(Arguments args);
ExitCode RunDrain(Arguments args);
ExitCode RunUndrain(Arguments args);
ExitCode RunAudit(Arguments args);
ExitCode RunRecover(Arguments args);
ExitCode RunCheck(Arguments args);
/// `check-history FILE...`: checks a recorded history against the invariants.
ExitCode RunCheckHistory(Arguments args);

}  // namespace peridotshelf::program
