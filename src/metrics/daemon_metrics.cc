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

}  // namespace

CommonMetrics::CommonMetrics(Registry& registry)
    : refusals(
          registry.AddCounter({"peridotshelf_refusals_total",
                               "Requests refused, by error code.", "code"})),
      control_bytes(registry.AddCounter(
          {"peridotshelf_control_bytes_total",
           "Bytes that carry neither prompt nor answer, by direction.",
           "direction"})),
      control_version(registry.AddGauge(
          {"peridotshelf_control_version",
           "Log offset of the newest change in force.", ""})) {}

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
           "Time to first token of short requests over the time it took once "
           "the engine had begun.",
           ""},
          RatioBounds())),
      retries(registry.AddCounter(
          {"peridotshelf_retries_total", "Attempts after the first.", ""})),
      dropped_chunks(registry.AddCounter(
          {"peridotshelf_dropped_chunks_total",
           "Late, doubled or crossed chunks that were not delivered.", ""})),
      open_requests(registry.AddGauge({"peridotshelf_open_requests",
                                       "Requests begun and not ended.", ""})) {}

SideMetrics::SideMetrics(Registry& registry)
    : common(registry),
      queue_wait(registry.AddHistogram(
          {"peridotshelf_queue_wait_seconds",
           "Time from reservation to grant, by size class.", "size_class"},
          SecondsBounds())),
      queued(registry.AddGauge({"peridotshelf_queued_requests",
                                "Requests that wait, by engine.", "engine"})),
      holds(registry.AddGauge({"peridotshelf_holds",
                               "Reservations and running attempts, by engine.",
                               "engine"})),
      held_tokens(registry.AddGauge(
          {"peridotshelf_held_tokens",
           "Tokens of engine memory reserved or in use, by engine.",
           "engine"})),
      attempts(
          registry.AddCounter({"peridotshelf_attempts_total",
                               "Attempts ended, by outcome.", "outcome"})) {}

}  // namespace peridotshelf::metrics
