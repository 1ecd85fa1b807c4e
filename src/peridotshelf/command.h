/// The program's subcommands. Each takes its arguments without its own name.
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
/// What was decided about a request.
ExitCode RunExplain(Arguments args);
/// What logs say of one request.
ExitCode RunStory(Arguments args);
/// What daemons are doing.
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
/// `check-history FILE...`: judges what a run recorded.
ExitCode RunCheckHistory(Arguments args);

}  // namespace peridotshelf::program
