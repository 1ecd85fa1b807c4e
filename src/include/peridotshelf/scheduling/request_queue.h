/// Queue of the requests that wait at an entry for a batch slot, and the
/// decision to refuse a request instead of queueing it.
///
/// When there are more streams than slots, requests that can still meet their
/// objective are started first, since a late response is worth a fraction of
/// its value. A request that cannot be started before its caller times out is
/// refused immediately, with the time at which a slot is expected to be free.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/scheduling/stream_placement.h"

namespace peridotshelf::scheduling {

/// One queued request.
struct QueuedRequest {
  uint64_t id = 0;
  /// 0 is the highest priority.
  int32_t priority = 0;
  /// Value per millisecond of engine time.
  double value_density = 0;
  TimePoint arrived{};
  /// A later start misses the objective of the first event.
  TimePoint latest_on_time_start{};
  /// A later start is useless: the caller will have timed out.
  TimePoint latest_useful_start{};
};

/// Not thread-safe.
class RequestQueue {
 public:
  void Add(const QueuedRequest& request) { m_requests.push_back(request); }
  void Remove(uint64_t id);
  /// Returns the ids in the order in which the requests should start at `now`:
  /// by priority, then those that can meet their objective, then by value
  /// density, then by arrival.
  std::vector<uint64_t> SchedulingOrder(TimePoint now) const;
  /// Removes the requests whose latest useful start has passed and returns
  /// their ids.
  std::vector<uint64_t> TakeExpired(TimePoint now);
  /// Returns the number of queued requests that are started before a new
  /// request of `priority`.
  size_t CountAhead(int32_t priority) const;
  size_t size() const { return m_requests.size(); }
  bool empty() const { return m_requests.empty(); }

 private:
  std::vector<QueuedRequest> m_requests;
};

/// Returns the time from `now` until a slot is free for a request with `ahead`
/// requests before it; none if there are too few slots.
std::optional<Duration> PredictSlotWait(
    std::span<const EngineCandidate> engines, size_t ahead, TimePoint now);

/// Whether a request should be queued, and if not, when its caller should
/// retry.
struct QueueDecision {
  bool should_queue = false;
  /// Predicted time until a slot is free.
  Duration predicted_slot_wait{};
};

/// Decides whether to queue a request with `ahead` requests before it that is
/// useless if it starts later than `max_wait` from `now`.
QueueDecision DecideQueueing(std::span<const EngineCandidate> engines,
                             size_t ahead, Duration max_wait, TimePoint now);

}  // namespace peridotshelf::scheduling
