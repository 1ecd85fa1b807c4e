/// Several engines held for one prompt that exceeds the memory of each.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::policy {

/// One engine's part of a gang's prompt.
struct EngineShard {
  EngineId engine;
  int64_t tokens = 0;
};

/// An engine that may join a gang.
struct ShardCandidate {
  EngineId engine;
  int64_t memory_tokens = 0;
  /// By the last hint.
  int64_t free_tokens = 0;
};

/// Divides `tokens` evenly over as few engines as hold it, preferring those
/// with most free memory. A part takes at most kGangMemoryPart of an engine.
/// kTooLarge if all candidates together are too small.
Result<std::vector<EngineShard>> SplitIntoShards(
    int64_t tokens, std::span<const ShardCandidate> candidates);

/// The rest of a member's memory stays with its other streams.
inline constexpr double kShardMemoryFraction = 0.8;

/// What a gang asks of its owner.
enum class ShardStep {
  kReserve,  ///< Reserve the member's part at its engine.
  kStart,    ///< All parts are held: start it.
  kRelease,  ///< Cancel the part, in whatever state it is.
};

struct ShardAction {
  ShardStep step = ShardStep::kReserve;
  EngineShard member;
};

/// The holds of one request. Parts are reserved one after another in the order
/// of engine ids, so that gangs never wait for each other in a circle. Nothing
/// starts before all are held; when one is refused, lapses or dies, the others
/// are released. Pure and not thread-safe.
class MultiEngineRequest {
 public:
  enum class State { kReservingShards, kRunning, kDone, kFailed };

  /// Gives up if not all are held at `reserve_deadline`.
  MultiEngineRequest(std::vector<EngineShard> members,
                     TimePoint reserve_deadline);

  /// The first reservation.
  std::vector<ShardAction> Begin();
  /// The side granted the part; late grants of a failed gang are released.
  std::vector<ShardAction> OnGranted(const EngineId& engine);
  /// The part was refused, lapsed or failed, or its engine or side died.
  std::vector<ShardAction> OnLost(const EngineId& engine);
  /// The part ended whole.
  std::vector<ShardAction> OnFinished(const EngineId& engine);
  /// Time passed.
  std::vector<ShardAction> Tick(TimePoint now);

  State state() const { return m_state; }

 private:
  enum class Part { kUnasked, kAsked, kHeld, kEnded };

  size_t IndexOf(const EngineId& engine) const;
  std::vector<ShardAction> ReleaseAll();

  std::vector<EngineShard> m_members;
  std::vector<Part> m_parts;
  TimePoint m_reserve_deadline;
  State m_state = State::kReservingShards;
};

}  // namespace peridotshelf::policy
