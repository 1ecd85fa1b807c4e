/// The configuration that operators publish, as typed data. Values only; the
/// reader that checks a document and names the path of every fault is in
/// configuration_reader.h.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "peridotshelf/base/ids.h"

namespace peridotshelf::control {

/// Which prompts an engine is meant for.
enum class EngineRole {
  kGeneral,  ///< All sizes.
  kLong,     ///< Preferably long prompts; short ones only when others are full.
};

/// One model engine.
struct EngineConfig {
  EngineId id;
  /// The host whose side process speaks to the engine.
  HostId host;
  /// Base URL of the engine, as its side reaches it.
  std::string url;
  std::string model;
  /// KV cache size, in tokens.
  int64_t memory_tokens = 0;
  /// Streams that the engine batches at once.
  int32_t slots = 0;
  EngineRole role = EngineRole::kGeneral;
  /// Whether the engine refuses an order with an older fencing number.
  bool checks_fencing = false;
};

/// One plain service's backend server.
struct PlainBackendConfig {
  std::string id;
  HostId host;
  std::string url;
};

/// What one team may use of one service.
struct TeamConfig {
  TeamId id;
  /// Higher goes first.
  int32_t priority = 0;
  /// Weight in the division of capacity among teams of one priority.
  double share = 1.0;
  /// Tokens (prompt and answer) running at once in the whole fleet; 0: no
  /// limit.
  int64_t max_running_tokens = 0;
};

/// What a service is made of.
enum class ServiceKind { kCompletions, kPlain };

/// One service: engines of one model, or plain backend servers.
struct ServiceConfig {
  std::string name;
  ServiceKind kind = ServiceKind::kCompletions;
  /// For completions: the model callers name.
  std::string model;
  std::vector<EngineId> engines;
  /// For plain services: ids of PlainBackendConfig.
  std::vector<std::string> backends;
  std::vector<TeamConfig> teams;
  /// Retries allowed as a fraction of first attempts.
  double retry_fraction = 0.1;
  /// Whether calls other than GET may run at most once, unless they say else.
  bool unrepeatable_by_default = false;
};

/// What operators switch between: ordinary days, peaks, maintenance.
struct Preset {
  std::string name;
  /// Relative weight of short requests' slowdown and of long requests' time
  /// to first token; only their ratio counts.
  double short_weight = 1.0;
  double long_weight = 1.0;
  /// Fraction of each engine's memory and slots that only short ones may use.
  double short_reserve = 0.2;
  /// Long prefills that may run at one engine at once.
  int32_t max_long_prefills = 1;
  /// Fraction of a model's engines preferred for long prompts.
  double long_engine_fraction = 0.25;
  /// Added to a team's priority while the preset is in force.
  std::map<TeamId, int32_t> priority_offsets;
};

/// A whole configuration document.
struct Configuration {
  std::vector<EngineConfig> engines;
  std::vector<PlainBackendConfig> backends;
  std::vector<ServiceConfig> services;
  std::vector<Preset> presets;
  /// The preset in force until operators choose one.
  std::string initial_preset;
};

/// What is in force at one version. Immutable once made; a request keeps the
/// one it was admitted under.
struct ControlState {
  /// The log offset of the newest accepted change; 0 before any.
  ControlVersion version = 0;
  /// The version of the newest accepted configuration or preset; a later
  /// version differs from it by drains only.
  ControlVersion settings_version = 0;
  std::shared_ptr<const Configuration> configuration;
  /// The name of the preset in force.
  std::string preset;
  /// Hosts that operators have told to drain.
  std::set<HostId> draining;
};

using ControlStatePtr = std::shared_ptr<const ControlState>;

}  // namespace peridotshelf::control
