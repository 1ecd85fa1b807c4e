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

/// Opens the history file; returns null if no history is recorded.
Result<std::shared_ptr<history::Recorder>> OpenRecorder(
    const std::string& path, const std::string& name) {
  if (path == settings::kNoHistory) return std::shared_ptr<history::Recorder>();
  auto recorder = history::Recorder::Open(path, ProcessId(name));
  if (!recorder) return tl::unexpected<Error>(recorder.error());
  return std::shared_ptr<history::Recorder>(std::move(*recorder));
}

Result<standin::EngineStandinOptions> ToOptions(
    const settings::EngineStandinSettings& settings) {
  standin::EngineStandinOptions options;
  options.address = settings.address;
  options.port = settings.port;
  options.model = settings.model;
  options.memory_tokens = settings.memory_tokens;
  options.slots = settings.slots;
  if (settings.prefill_tokens_per_second > 0) {
    options.prefill_per_token =
        Duration{kOneSecond} / settings.prefill_tokens_per_second;
  }
  options.token_interval = settings.chunk_interval;
  options.checks_fencing = settings.checks_fencing;
  options.name = settings.name;
  auto recorder = OpenRecorder(settings.history, settings.name);
  if (!recorder) return tl::unexpected<Error>(recorder.error());
  options.recorder = std::move(*recorder);
  return options;
}

Result<standin::ServiceStandinOptions> ToOptions(
    const settings::ServiceStandinSettings& settings) {
  auto recorder = OpenRecorder(settings.history, settings.name);
  if (!recorder) return tl::unexpected<Error>(recorder.error());
  return standin::ServiceStandinOptions{settings.address, settings.port,
                                        settings.delay, settings.name,
                                        std::move(*recorder)};
}

Result<standin::RelayOptions> ToOptions(
    const settings::RelaySettings& settings) {
  return standin::RelayOptions{settings.address, settings.port,
                               settings.target_address, settings.target_port,
                               settings.control_port};
}

Result<standin::LogStandinOptions> ToOptions(
    const settings::LogStandinSettings& settings) {
  standin::LogStandinOptions options;
  options.address = settings.address;
  options.port = settings.port;
  options.retention_records = static_cast<size_t>(settings.max_records);
  options.max_appends_per_second = settings.appends_per_second;
  return options;
}

Result<standin::HostsStandinOptions> ToOptions(
    const settings::HostsStandinSettings& settings) {
  return standin::HostsStandinOptions{settings.address, settings.port,
                                      settings.lag};
}

ExitCode ReportFailure(const Error& error) {
  std::cerr << "peridotshelf: " << error.detail << "\n";
  return ExitCode::kCannotListen;
}

/// Runs one simulated service until a stop signal.
template <class Standin, class Settings>
ExitCode Serve(const settings::Schema<Settings>& schema, Arguments args) {
  const auto parsed = schema.ParseOrExplain(
      args, settings::ProcessEnvironment(), std::cout, std::cerr);
  if (!parsed) return parsed.error();
  const StopSignal stop;
  io::IoThreads threads(kThreads);
  const auto options = ToOptions(*parsed);
  if (!options) return ReportFailure(options.error());
  auto simulated = Standin::Create(threads, *options);
  if (!simulated) return ReportFailure(simulated.error());
  stop.Wait();
  simulated->reset();
  threads.Stop();
  return ExitCode::kSuccess;
}

}  // namespace

ExitCode RunStandin(Arguments args) {
  const std::string kind = args.empty() ? "" : args[0];
  const Arguments kind_args = args.empty() ? args : args.subspan(1);
  if (kind == "engine") {
    return Serve<standin::EngineStandin>(settings::EngineStandinSchema(),
                                         kind_args);
  }
  if (kind == "service") {
    return Serve<standin::ServiceStandin>(settings::ServiceStandinSchema(),
                                          kind_args);
  }
  if (kind == "log") {
    return Serve<standin::LogStandin>(settings::LogStandinSchema(), kind_args);
  }
  if (kind == "hosts") {
    return Serve<standin::HostsStandin>(settings::HostsStandinSchema(),
                                        kind_args);
  }
  if (kind == "relay") {
    return Serve<standin::Relay>(settings::RelaySchema(), kind_args);
  }
  std::cerr << "usage: peridotshelf standin engine|service|log|hosts|relay "
               "[FLAGS]\n";
  return kind == "--help" ? ExitCode::kSuccess : ExitCode::kBadSettings;
}

}  // namespace peridotshelf::program
