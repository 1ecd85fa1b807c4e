/// Allocation of several engines to one prompt that exceeds the KV-cache memory
/// of any single engine.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::policy {

/// One engine's part of the prompt of a multi-engine request.
struct EngineShard {
  EngineId engine;
  int64_t tokens = 0;
};

/// An engine that may take a shard.
struct ShardCandidate {
  EngineId engine;
  int64_t memory_tokens = 0;
  /// As of the last load report.
  int64_t free_tokens = 0;
};

/// Splits `tokens` evenly over as few engines as have enough memory, preferring
/// engines with more free memory. A shard takes at most kShardMemoryFraction of
/// an engine's memory. Returns kTooLarge if all candidates together are too
/// small.
Result<std::vector<EngineShard>> SplitIntoShards(
    int64_t tokens, std::span<const ShardCandidate> candidates);

/// Maximum size of a shard as a fraction of the engine's memory. The remaining
/// memory is left to the engine's other streams.
inline constexpr double kShardMemoryFraction = 0.8;

/// What the caller must do for a shard.
enum class ShardStep {
  kReserve,  ///< Reserve the shard at its engine.
  kStart,    ///< All shards are reserved: start this one.
  kRelease,  ///< Cancel the shard, whatever its state.
};

struct ShardAction {
  ShardStep step = ShardStep::kReserve;
  EngineShard shard;
};

/// Reserves, starts and releases the shards of one request. Shards are reserved
/// one after another in the order of engine IDs, so that requests cannot
/// deadlock. No shard starts before all are reserved; when a shard is refused,
/// expires or fails, the others are released. Performs no I/O: the caller
/// executes the returned actions. Not thread-safe.
class MultiEngineRequest {
 public:
  enum class State { kReservingShards, kRunning, kDone, kFailed };

  /// The request fails if some shards are not reserved by `reserve_deadline`.
  MultiEngineRequest(std::vector<EngineShard> shards,
                     TimePoint reserve_deadline);

  /// Returns the first reservation.
  std::vector<ShardAction> Begin();
  /// Handles a grant by the side; a grant that arrives after the request failed
  /// is released.
  std::vector<ShardAction> OnGranted(const EngineId& engine);
  /// Handles a shard that was refused, expired or failed, or whose engine or
  /// side died.
  std::vector<ShardAction> OnLost(const EngineId& engine);
  /// Handles a shard that ended successfully.
  std::vector<ShardAction> OnFinished(const EngineId& engine);
  /// Releases all shards if the reserve deadline has passed.
  std::vector<ShardAction> Tick(TimePoint now);

  State state() const { return m_state; }

 private:
  enum class ShardState { kNotRequested, kRequested, kAllocated, kEnded };

  size_t FindIndex(const EngineId& engine) const;
  std::vector<ShardAction> ReleaseAll();

  std::vector<EngineShard> m_shards;
  std::vector<ShardState> m_shard_states;
  TimePoint m_reserve_deadline;
  State m_state = State::kReservingShards;
};

}  // namespace peridotshelf::policy
