/// The settings of the simulated platform services and backend servers that
/// tests and demonstrations use.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::settings {

/// Value of the history's file name that disables recording.
inline constexpr const char* kNoHistory = "none";

/// Settings of `peridotshelf standin engine`.
struct EngineStandinSettings {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string model = "demo";
  /// KV-cache memory, in tokens.
  int64_t memory_tokens = 400'000;
  /// Batch slots: streams that run at the same time.
  int32_t slots = 16;
  /// Prompt tokens prefilled per second; at 0 prefill takes no time.
  int64_t prefill_tokens_per_second = 0;
  /// Time between two chunks of an answer.
  Duration chunk_interval{};
  /// Whether requests with an older fencing number are refused.
  bool checks_fencing = false;
  /// The engine's name in the history.
  std::string name = "engine";
  /// File to which the history is appended.
  std::string history = kNoHistory;
};

/// Settings of `peridotshelf standin service`.
struct ServiceStandinSettings {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Time before each answer.
  Duration delay{};
  /// The service's name in the history.
  std::string name = "service";
  /// File to which the history is appended.
  std::string history = kNoHistory;
};

/// Settings of `peridotshelf standin log`.
struct LogStandinSettings {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Number of records kept; older records expire.
  int64_t max_records = 100'000;
  /// Appends accepted per second; further appends are refused.
  int64_t appends_per_second = 400;
};

/// Settings of `peridotshelf standin hosts`.
struct HostsStandinSettings {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Delay before a change of the list is visible to readers.
  Duration lag{};
};

/// Settings of `peridotshelf standin relay`.
struct RelaySettings {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Destination of forwarded connections.
  std::string target_address = "127.0.0.1";
  uint16_t target_port = 0;
  /// Port of the control interface.
  uint16_t control_port = 0;
};

/// Return the declared settings of each simulated service.
const Schema<EngineStandinSettings>& EngineStandinSchema();
const Schema<ServiceStandinSettings>& ServiceStandinSchema();
const Schema<LogStandinSettings>& LogStandinSchema();
const Schema<HostsStandinSettings>& HostsStandinSchema();
const Schema<RelaySettings>& RelaySchema();

}  // namespace peridotshelf::settings
