/// Requests that wait at an entry for a place at an engine, and when a request
/// is refused in place of waiting.
///
/// The load it answers: more streams than the engines have places for. Those
/// that can still be on time go first, since a late answer is worth a fraction;
/// what cannot be begun before its caller gives up is refused at once, with the
/// time at which a place is expected.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/scheduling/stream_placement.h"

namespace peridotshelf::scheduling {

/// One waiting request.
struct QueuedRequest {
  uint64_t id = 0;
  /// 0 is the most urgent.
  int32_t priority = 0;
  /// Value for each millisecond of an engine's time.
  double value_density = 0;
  TimePoint since{};
  /// Begun after this, its first event is late.
  TimePoint latest_on_time_start{};
  /// Begun after this, its caller has given up.
  TimePoint give_up_at{};
};

/// Not thread-safe.
class RequestQueue {
 public:
  void Add(const QueuedRequest& waiting) { m_waiting.push_back(waiting); }
  void Remove(uint64_t id);
  /// Ids in the order in which they should be begun at `now`: by priority, then
  /// those that can be on time, then by value density, then by arrival.
  std::vector<uint64_t> SchedulingOrder(TimePoint now) const;
  /// Takes out those that waited past their caller's patience.
  std::vector<uint64_t> TakeExpired(TimePoint now);
  /// Requests that would be begun before one of `priority`.
  size_t CountAhead(int32_t priority) const;
  size_t size() const { return m_waiting.size(); }
  bool empty() const { return m_waiting.empty(); }

 private:
  std::vector<QueuedRequest> m_waiting;
};

/// Time from `now` until a place is free for a request that has `ahead` others
/// before it; none if no engine has any.
std::optional<Duration> PredictSlotWait(
    std::span<const EngineCandidate> engines, size_t ahead, TimePoint now);

/// Whether a request may wait, and if not, when its caller should come back.
struct QueueDecision {
  bool should_queue = false;
  /// Forecast time until a place is free.
  Duration predicted_slot_wait{};
};

/// `ahead` requests go first; beginning after `patience` is of no use.
QueueDecision DecideQueueing(std::span<const EngineCandidate> engines,
                             size_t ahead, Duration patience, TimePoint now);

}  // namespace peridotshelf::scheduling
