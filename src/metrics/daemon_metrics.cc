#include "peridotshelf/metrics/daemon_metrics.h"

namespace peridotshelf::metrics {
namespace {

constexpr double kFactor = 2;

/// 1 ms to about 17 minutes.
std::vector<double> SecondsBounds() {
  return GeometricBounds(0.001, 1000, kFactor);
}

/// From not slowed down at all to a thousandfold.
std::vector<double> RatioBounds() {
  std::vector<double> bounds = {1.05, 1.1, 1.25, 1.5, 2, 3, 5, 10};
  for (const double bound : GeometricBounds(20, 1000, kFactor)) {
    bounds.push_back(bound);
  }
  return bounds;
}

using ReadEngines = std::function<std::vector<EngineSample>()>;

/// Adds one metric that shows a member of each engine's sample.
void AddEngineReader(Registry& registry, MetricInfo info,
                     const ReadEngines& read, double EngineSample::*member) {
  registry.AddReader(std::move(info), [read, member] {
    std::vector<Sample> samples;
    for (EngineSample& engine : read()) {
      samples.push_back({std::move(engine.engine), engine.*member});
    }
    return samples;
  });
}

}  // namespace

CommonMetrics::CommonMetrics(Registry& registry)
    : refusals(
          registry.AddCounter({"peridotshelf_refusals_total",
                               "Requests refused, by error code.", "code"})) {}

EntryMetrics::EntryMetrics(Registry& registry)
    : common(registry),
      requests(registry.AddCounter({"peridotshelf_requests_total",
                                    "Requests ended, by outcome.", "outcome"})),
      time_to_first_token(registry.AddHistogram(
          {"peridotshelf_time_to_first_token_seconds",
           "Time from arrival to the first token, by size class.",
           "size_class"},
          SecondsBounds())),
      short_slowdown(registry.AddHistogram(
          {"peridotshelf_short_slowdown_ratio",
           "Time to first token of short requests over the part of it after "
           "the attempt was started.",
           ""},
          RatioBounds())),
      retries(registry.AddCounter(
          {"peridotshelf_retries_total", "Attempts after the first.", ""})),
      open_requests(registry.AddGauge({"peridotshelf_open_requests",
                                       "Requests begun and not ended.", ""})) {}

void AddEngineReaders(Registry& registry,
                      std::function<std::vector<EngineSample>()> read) {
  AddEngineReader(registry,
                  {"peridotshelf_queued_requests",
                   "Requests that wait, by engine.", "engine"},
                  read, &EngineSample::queued);
  AddEngineReader(registry,
                  {"peridotshelf_holds",
                   "Reservations and running attempts, by engine.", "engine"},
                  read, &EngineSample::holds);
  AddEngineReader(
      registry,
      {"peridotshelf_held_tokens",
       "Tokens of engine memory reserved or in use, by engine.", "engine"},
      read, &EngineSample::held_tokens);
}

void AddVersionReader(Registry& registry, std::function<int64_t()> read) {
  registry.AddReader({"peridotshelf_control_version",
                      "Log offset of the newest change in force.", ""},
                     [read = std::move(read)] {
                       const auto version = static_cast<double>(read());
                       return std::vector<Sample>{{"", version}};
                     });
}

}  // namespace peridotshelf::metrics
