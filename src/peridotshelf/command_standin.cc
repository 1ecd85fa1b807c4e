// The subcommand `standin`.
#include <iostream>

#include "peridotshelf/command.h"
#include "peridotshelf/settings/standin_settings.h"
#include "peridotshelf/standin/engine_standin.h"
#include "peridotshelf/standin/hosts_standin.h"
#include "peridotshelf/standin/log_standin.h"
#include "peridotshelf/standin/relay.h"
#include "peridotshelf/standin/service_standin.h"
#include "peridotshelf/stop_signal.h"

namespace peridotshelf::program {
namespace {

constexpr size_t kThreads = 2;
constexpr auto kOneSecond = std::chrono::seconds(1);

/// Opens the file for the history, if one is named.
Result<std::shared_ptr<history::Recorder>> OpenRecorder(
    const std::string& path, const std::string& name) {
  if (path == settings::kNoHistory) return std::shared_ptr<history::Recorder>();
  auto recorder = history::Recorder::Open(path, ProcessId(name));
  if (!recorder) return tl::unexpected<Error>(recorder.error());
  return std::shared_ptr<history::Recorder>(std::move(*recorder));
}

Result<standin::EngineStandinOptions> ToOptions(
    const settings::EngineStandinSettings& given) {
  standin::EngineStandinOptions options;
  options.address = given.address;
  options.port = given.port;
  options.model = given.model;
  options.memory_tokens = given.memory_tokens;
  options.slots = given.slots;
  if (given.prefill_tokens_per_second > 0) {
    options.prefill_per_token =
        Duration{kOneSecond} / given.prefill_tokens_per_second;
  }
  options.token_interval = given.chunk_interval;
  options.checks_fencing = given.checks_fencing;
  options.name = given.name;
  auto recorder = OpenRecorder(given.history, given.name);
  if (!recorder) return tl::unexpected<Error>(recorder.error());
  options.recorder = std::move(*recorder);
  return options;
}

Result<standin::ServiceStandinOptions> ToOptions(
    const settings::ServiceStandinSettings& given) {
  auto recorder = OpenRecorder(given.history, given.name);
  if (!recorder) return tl::unexpected<Error>(recorder.error());
  return standin::ServiceStandinOptions{given.address, given.port, given.delay,
                                        given.name, std::move(*recorder)};
}

Result<standin::RelayOptions> ToOptions(const settings::RelaySettings& given) {
  return standin::RelayOptions{given.address, given.port, given.target_address,
                               given.target_port, given.control_port};
}

Result<standin::LogStandinOptions> ToOptions(
    const settings::LogStandinSettings& given) {
  standin::LogStandinOptions options;
  options.address = given.address;
  options.port = given.port;
  options.retention_records = static_cast<size_t>(given.max_records);
  options.max_appends_per_second = given.appends_per_second;
  return options;
}

Result<standin::HostsStandinOptions> ToOptions(
    const settings::HostsStandinSettings& given) {
  return standin::HostsStandinOptions{given.address, given.port, given.lag};
}

ExitCode ReportFailure(const Error& error) {
  std::cerr << "peridotshelf: " << error.detail << "\n";
  return ExitCode::kCannotListen;
}

/// Runs one stand-in until a stop signal.
template <class Standin, class Settings>
ExitCode Serve(const settings::Schema<Settings>& schema, Arguments args) {
  const auto parsed = schema.ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  const StopSignal stop;
  io::IoThreads threads(kThreads);
  const auto options = ToOptions(*parsed);
  if (!options) return ReportFailure(options.error());
  auto standin = Standin::Create(threads, *options);
  if (!standin) return ReportFailure(standin.error());
  stop.Wait();
  standin->reset();
  threads.Stop();
  return ExitCode::kSuccess;
}

}  // namespace

ExitCode RunStandin(Arguments args) {
  const std::string kind = args.empty() ? "" : args[0];
  const Arguments rest = args.empty() ? args : args.subspan(1);
  if (kind == "engine") {
    return Serve<standin::EngineStandin>(settings::EngineStandinSchema(), rest);
  }
  if (kind == "service") {
    return Serve<standin::ServiceStandin>(settings::ServiceStandinSchema(),
                                          rest);
  }
  if (kind == "log") {
    return Serve<standin::LogStandin>(settings::LogStandinSchema(), rest);
  }
  if (kind == "hosts") {
    return Serve<standin::HostsStandin>(settings::HostsStandinSchema(), rest);
  }
  if (kind == "relay") {
    return Serve<standin::Relay>(settings::RelaySchema(), rest);
  }
  std::cerr << "usage: peridotshelf standin engine|service|log|hosts|relay "
               "[FLAGS]\n";
  return kind == "--help" ? ExitCode::kSuccess : ExitCode::kBadSettings;
}

}  // namespace peridotshelf::program
