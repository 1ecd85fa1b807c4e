/// The settings of the small stand-ins for the platform and the backend
/// servers, which serve tests and demonstrations.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::settings {

/// In place of a file: no history is recorded.
inline constexpr const char* kNoHistory = "none";

/// What `peridotshelf standin engine` is told.
struct EngineStandinSettings {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string model = "demo";
  /// KV cache size, in tokens.
  int64_t memory_tokens = 400'000;
  /// Streams batched at once.
  int32_t slots = 16;
  /// Prompt tokens read a second; 0 for at once.
  int64_t prefill_tokens_per_second = 0;
  /// Time between two pieces of an answer.
  Duration chunk_interval{};
  /// Whether an order with an older fencing number is refused.
  bool checks_fencing = false;
  /// The engine's name in the history.
  std::string name = "engine";
  /// File to which the history is appended.
  std::string history = kNoHistory;
};

/// What `peridotshelf standin service` is told.
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

/// What `peridotshelf standin log` is told.
struct LogStandinSettings {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Records kept; older ones expire.
  int64_t max_records = 100'000;
  /// Appends taken a second; more are refused.
  int64_t appends_per_second = 400;
};

/// What `peridotshelf standin hosts` is told.
struct HostsStandinSettings {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// How far the list lags behind what it was told.
  Duration lag{};
};

/// What `peridotshelf standin relay` is told.
struct RelaySettings {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Where connections are forwarded to.
  std::string target_address = "127.0.0.1";
  uint16_t target_port = 0;
  /// Port of the control interface.
  uint16_t control_port = 0;
};

/// How each stand-in is configured.
const Schema<EngineStandinSettings>& EngineStandinSchema();
const Schema<ServiceStandinSettings>& ServiceStandinSchema();
const Schema<LogStandinSettings>& LogStandinSchema();
const Schema<HostsStandinSettings>& HostsStandinSchema();
const Schema<RelaySettings>& RelaySchema();

}  // namespace peridotshelf::settings
