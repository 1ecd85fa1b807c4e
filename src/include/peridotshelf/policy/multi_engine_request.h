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
struct GangMember {
  EngineId engine;
  int64_t tokens = 0;
};

/// An engine that may join a gang.
struct GangCandidate {
  EngineId engine;
  int64_t memory_tokens = 0;
  /// By the last hint.
  int64_t free_tokens = 0;
};

/// Divides `tokens` evenly over as few engines as hold it, preferring those
/// with most free memory. A part takes at most kGangMemoryPart of an engine.
/// kTooLarge if all candidates together are too small.
Result<std::vector<GangMember>> DivideGang(
    int64_t tokens, std::span<const GangCandidate> candidates);

/// The rest of a member's memory stays with its other streams.
inline constexpr double kGangMemoryPart = 0.8;

/// What a gang asks of its owner.
enum class GangStep {
  kReserve,  ///< Reserve the member's part at its engine.
  kStart,    ///< All parts are held: start it.
  kRelease,  ///< Cancel the part, in whatever state it is.
};

struct GangAction {
  GangStep step = GangStep::kReserve;
  GangMember member;
};

/// The holds of one request. Parts are reserved one after another in the order
/// of engine ids, so that gangs never wait for each other in a circle. Nothing
/// starts before all are held; when one is refused, lapses or dies, the others
/// are released. Pure and not thread-safe.
class Gang {
 public:
  enum class State { kGathering, kRunning, kDone, kFailed };

  /// Gives up if not all are held at `gather_until`.
  Gang(std::vector<GangMember> members, TimePoint gather_until);

  /// The first reservation.
  std::vector<GangAction> Begin();
  /// The side granted the part; late grants of a failed gang are released.
  std::vector<GangAction> OnGranted(const EngineId& engine);
  /// The part was refused, lapsed or failed, or its engine or side died.
  std::vector<GangAction> OnLost(const EngineId& engine);
  /// The part ended whole.
  std::vector<GangAction> OnFinished(const EngineId& engine);
  /// Time passed.
  std::vector<GangAction> Tick(TimePoint now);

  State state() const { return m_state; }

 private:
  enum class Part { kUnasked, kAsked, kHeld, kEnded };

  size_t IndexOf(const EngineId& engine) const;
  std::vector<GangAction> ReleaseAll();

  std::vector<GangMember> m_members;
  std::vector<Part> m_parts;
  TimePoint m_gather_until;
  State m_state = State::kGathering;
};

}  // namespace peridotshelf::policy
