/// The metrics that entries and sides publish. docs/OPERATIONS.md explains
/// each; a test checks that the page and the code agree.
#pragma once

#include <string>

#include "peridotshelf/metrics/registry.h"

namespace peridotshelf::metrics {

/// What both daemons count.
struct CommonMetrics {
  explicit CommonMetrics(Registry& registry);

  /// By error code.
  Family<Counter>& refusals;
};

/// What an entry counts.
struct EntryMetrics {
  explicit EntryMetrics(Registry& registry);

  CommonMetrics common;
  /// By outcome: "ok" or an error code.
  Family<Counter>& requests;
  /// Seconds from a request's arrival to its first token, by size class.
  Family<Histogram>& time_to_first_token;
  /// Time to first token over the part of it after the attempt was started,
  /// of short requests.
  Family<Histogram>& short_slowdown;
  /// Attempts after the first.
  Family<Counter>& retries;
  /// Requests that have begun and not ended.
  Family<Gauge>& open_requests;
};

/// What a side says of one engine when its metrics are read.
struct EngineSample {
  std::string engine;
  /// Requests that wait.
  double queued = 0;
  /// Reservations and running attempts, and the memory they hold.
  double holds = 0;
  double held_tokens = 0;
};

/// Adds what a side shows of its engines; `read` is called for each metric.
void AddEngineReaders(Registry& registry,
                      std::function<std::vector<EngineSample>()> read);

/// Adds the version of the control state in force.
void AddVersionReader(Registry& registry, std::function<int64_t()> read);

}  // namespace peridotshelf::metrics
