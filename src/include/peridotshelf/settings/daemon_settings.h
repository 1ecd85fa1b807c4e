/// The settings of the two daemons, `entry` and `side`.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/events/catalogue.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::settings {

/// Settings of `peridotshelf entry`.
struct EntrySettings {
  /// Name of this host in the platform's host list.
  std::string host;
  std::string failure_domain;
  /// Address to listen on.
  std::string address = "127.0.0.1";
  /// Port for callers, health and metrics.
  uint16_t http_port = 8080;
  /// Base URLs of the platform's log service and host list.
  std::string log_url;
  std::string hosts_url;
  /// Time between snapshots in the log; must be well below its retention
  /// period.
  Duration snapshot_interval = std::chrono::minutes(10);
  /// Threads for sockets and timers.
  int32_t threads = 2;
  /// Time between failing readiness and refusing new connections.
  Duration drain_delay = std::chrono::seconds(5);
  events::Level log_level = events::Level::kInfo;
  /// Largest request body, in bytes.
  int64_t max_body_bytes = int64_t{64} << 20;
  /// Time allowed for receiving one whole request.
  Duration read_timeout = std::chrono::seconds(60);
  /// Request timeout if the caller gives none.
  Duration default_timeout = std::chrono::seconds(60);
  /// Longest timeout that a caller may request.
  Duration max_timeout = std::chrono::hours(1);
};

/// Settings of `peridotshelf side`.
struct SideSettings {
  /// Name of this host in the platform's host list and the configuration.
  std::string host;
  std::string failure_domain;
  /// Address to listen on.
  std::string address = "127.0.0.1";
  /// Port for connections from entries.
  uint16_t port = 7400;
  /// Port for health and metrics.
  uint16_t http_port = 7480;
  /// Base URLs of the platform's log service and host list.
  std::string log_url;
  std::string hosts_url;
  /// Time between snapshots in the log; must be well below its retention
  /// period.
  Duration snapshot_interval = std::chrono::minutes(10);
  /// Threads for sockets and timers.
  int32_t threads = 2;
  events::Level log_level = events::Level::kInfo;
  /// Time that a reservation or a running attempt is kept without contact from
  /// its entry.
  Duration lease = std::chrono::seconds(4);
};

/// Returns the declared settings of `entry`.
const Schema<EntrySettings>& EntrySchema();
/// Returns the declared settings of `side`.
const Schema<SideSettings>& SideSchema();

}  // namespace peridotshelf::settings
