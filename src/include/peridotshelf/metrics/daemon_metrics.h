/// Metrics that entries and sides export. docs/OPERATIONS.md documents each; a
/// test checks that the page lists all of them.
#pragma once

#include <string>

#include "peridotshelf/metrics/registry.h"

namespace peridotshelf::metrics {

/// Metrics of entries and sides.
struct CommonMetrics {
  explicit CommonMetrics(Registry& registry);

  /// Refused requests, by error code.
  Family<Counter>& refusals;
};

/// Metrics of an entry.
struct EntryMetrics {
  explicit EntryMetrics(Registry& registry);

  CommonMetrics common;
  /// Finished requests, by outcome: "ok" or an error code.
  Family<Counter>& requests;
  /// Seconds from a request's arrival to its first token, by size class.
  Family<Histogram>& time_to_first_token;
  /// Ratio of the time to first token of short requests to the part of it after
  /// the start of the attempt.
  Family<Histogram>& short_slowdown;
  /// Attempts after the first attempt of a request.
  Family<Counter>& retries;
  /// Requests in progress.
  Family<Gauge>& open_requests;
};

/// State of one engine of a side, read when the metrics are rendered.
struct EngineSample {
  std::string engine;
  /// Number of queued requests.
  double queued = 0;
  /// Number of reservations and running attempts.
  double holds = 0;
  /// KV-cache memory of these reservations and attempts, in tokens.
  double held_tokens = 0;
};

/// Adds the metrics of a side's engines. Each rendering of the registry calls
/// `read` once per metric.
void AddEngineMetrics(Registry& registry,
                      std::function<std::vector<EngineSample>()> read);

/// Adds a gauge of the version of the control state in force.
void AddVersionMetric(Registry& registry, std::function<int64_t()> read);

}  // namespace peridotshelf::metrics
