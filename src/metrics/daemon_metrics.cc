#include "peridotshelf/metrics/daemon_metrics.h"

namespace peridotshelf::metrics {
namespace {

constexpr double kBoundGrowth = 2;

/// Returns bounds from 1 ms to about 17 minutes.
std::vector<double> MakeSecondsBounds() {
  return GeometricBounds(0.001, 1000, kBoundGrowth);
}

/// Returns bounds from almost no slowdown (1.05) to more than 1000.
std::vector<double> MakeRatioBounds() {
  std::vector<double> bounds = {1.05, 1.1, 1.25, 1.5, 2, 3, 5, 10};
  for (const double bound : GeometricBounds(20, 1000, kBoundGrowth)) {
    bounds.push_back(bound);
  }
  return bounds;
}

using ReadEngineSamples = std::function<std::vector<EngineSample>()>;

/// Adds a gauge that exports one member of each engine's sample.
void AddEngineGauge(Registry& registry, MetricInfo info,
                    const ReadEngineSamples& read,
                    double EngineSample::*member) {
  registry.AddCallbackGauge(std::move(info), [read, member] {
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
          MakeSecondsBounds())),
      short_slowdown(registry.AddHistogram(
          {"peridotshelf_short_slowdown_ratio",
           "Time to first token of short requests over the part of it after "
           "the attempt was started.",
           ""},
          MakeRatioBounds())),
      retries(registry.AddCounter(
          {"peridotshelf_retries_total", "Attempts after the first.", ""})),
      open_requests(registry.AddGauge({"peridotshelf_open_requests",
                                       "Requests begun and not ended.", ""})) {}

void AddEngineMetrics(Registry& registry,
                      std::function<std::vector<EngineSample>()> read) {
  AddEngineGauge(registry,
                 {"peridotshelf_queued_requests",
                  "Requests that wait, by engine.", "engine"},
                 read, &EngineSample::queued);
  AddEngineGauge(registry,
                 {"peridotshelf_holds",
                  "Reservations and running attempts, by engine.", "engine"},
                 read, &EngineSample::holds);
  AddEngineGauge(
      registry,
      {"peridotshelf_held_tokens",
       "Tokens of engine memory reserved or in use, by engine.", "engine"},
      read, &EngineSample::held_tokens);
}

void AddVersionMetric(Registry& registry, std::function<int64_t()> read) {
  registry.AddCallbackGauge({"peridotshelf_control_version",
                             "Log offset of the newest change in force.", ""},
                            [read = std::move(read)] {
                              const auto version = static_cast<double>(read());
                              return std::vector<Sample>{{"", version}};
                            });
}

}  // namespace peridotshelf::metrics
