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
  /// By direction, "sent" or "received": bytes of connections between
  /// processes and of the platform's services that carry no prompt or answer.
  Family<Counter>& control_bytes;
  /// The offset of the newest change in force.
  Family<Gauge>& control_version;
};

/// What an entry counts.
struct EntryMetrics {
  explicit EntryMetrics(Registry& registry);

  CommonMetrics common;
  /// By outcome: "ok" or an error code.
  Family<Counter>& requests;
  /// Seconds from a request's arrival to its first token, by size class.
  Family<Histogram>& time_to_first_token;
  /// Time to first token over the time it took once the engine had begun, of
  /// short requests.
  Family<Histogram>& short_slowdown;
  /// Attempts after the first.
  Family<Counter>& retries;
  /// Late, doubled or crossed chunks that were not delivered.
  Family<Counter>& dropped_chunks;
  /// Requests that have begun and not ended.
  Family<Gauge>& open_requests;
};

/// What a side counts.
struct SideMetrics {
  explicit SideMetrics(Registry& registry);

  CommonMetrics common;
  /// Seconds from reservation to grant, by size class.
  Family<Histogram>& queue_wait;
  /// Requests that wait, by engine.
  Family<Gauge>& queued;
  /// Reservations and running attempts, by engine.
  Family<Gauge>& holds;
  /// Tokens of engine memory that they hold, by engine.
  Family<Gauge>& held_tokens;
  /// Attempts by outcome: "ok" or an error code.
  Family<Counter>& attempts;
};

}  // namespace peridotshelf::metrics
