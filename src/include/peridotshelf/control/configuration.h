/// Typed data of the configuration that operators publish. The reader that
/// validates a document and reports the path of every error is in
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

/// Which prompts an engine is intended for.
enum class EngineRole {
  kGeneral,  ///< Prompts of all sizes.
  kLong,     ///< Long prompts; short ones only when other engines are full.
};

/// One model engine.
struct EngineConfig {
  EngineId id;
  /// The host whose side process connects to the engine.
  HostId host;
  /// Base URL of the engine, as reachable from its side process.
  std::string url;
  std::string model;
  /// KV cache size, in tokens.
  int64_t memory_tokens = 0;
  /// Maximum number of streams in one batch.
  int32_t slots = 0;
  EngineRole role = EngineRole::kGeneral;
  /// Whether the engine rejects requests with an older fencing number.
  bool checks_fencing = false;
};

/// One backend server of a plain service.
struct PlainBackendConfig {
  std::string id;
  HostId host;
  std::string url;
};

/// The limits and weight of one team at one service.
struct TeamConfig {
  TeamId id;
  /// Requests of higher priority are scheduled first.
  int32_t priority = 0;
  /// Weight for sharing capacity among teams of the same priority.
  double share = 1.0;
  /// Maximum prompt and output tokens of concurrently running requests in the
  /// whole fleet; 0: no limit.
  int64_t max_running_tokens = 0;
};

/// Whether a service is provided by engines or by plain backend servers.
enum class ServiceKind { kCompletions, kPlain };

/// A service provided by engines of one model or by plain backend servers.
struct ServiceConfig {
  std::string name;
  ServiceKind kind = ServiceKind::kCompletions;
  /// For completions: the model name in requests.
  std::string model;
  std::vector<EngineId> engines;
  /// For plain services: ids of PlainBackendConfig.
  std::vector<std::string> backends;
  std::vector<TeamConfig> teams;
  /// Maximum retries as a fraction of first attempts.
  double retry_fraction = 0.1;
  /// Whether calls other than GET run at most once unless the call states
  /// otherwise.
  bool unrepeatable_by_default = false;
};

/// A set of scheduling parameters that operators switch between, such as for
/// normal load, peak load or maintenance.
struct Preset {
  std::string name;
  /// Relative weights of the slowdown of short requests and of the time to
  /// first token of long requests; only their ratio matters.
  double short_weight = 1.0;
  double long_weight = 1.0;
  /// Fraction of each engine's memory and slots reserved for short requests.
  double short_reserve = 0.2;
  /// Maximum number of concurrent long prefills at one engine.
  int32_t max_long_prefills = 1;
  /// Fraction of a model's engines preferred for long prompts.
  double long_engine_fraction = 0.25;
  /// Added to a team's priority while the preset is active.
  std::map<TeamId, int32_t> priority_offsets;
};

/// A complete configuration document.
struct Configuration {
  std::vector<EngineConfig> engines;
  std::vector<PlainBackendConfig> backends;
  std::vector<ServiceConfig> services;
  std::vector<Preset> presets;
  /// The active preset until operators choose one.
  std::string initial_preset;
};

/// The active configuration, preset and drains at one version. Immutable after
/// construction; a request keeps the state under which it was admitted.
struct ControlState {
  /// The log offset of the newest accepted change; 0 if there is none.
  ControlVersion version = 0;
  /// The version of the newest accepted configuration or preset; later versions
  /// change only drains.
  ControlVersion settings_version = 0;
  std::shared_ptr<const Configuration> configuration;
  /// The name of the active preset.
  std::string preset;
  /// Hosts that operators are draining.
  std::set<HostId> draining;
};

using ControlStatePtr = std::shared_ptr<const ControlState>;

}  // namespace peridotshelf::control
