// The subcommand `load`.
#include <iostream>

#include "peridotshelf/command.h"
#include "peridotshelf/load/load_command.h"

namespace peridotshelf::program {

ExitCode RunLoad(Arguments args) {
  const auto parsed = load::LoadSchema().ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  return load::RunLoad(*parsed, std::cout);
}

}  // namespace peridotshelf::program
