#include "peridotshelf/scheduling/request_queue.h"

#include <algorithm>
#include <tuple>

namespace peridotshelf::scheduling {
namespace {

/// Retry delay for callers if no slot can be predicted.
constexpr Duration kDefaultSlotWait = std::chrono::seconds(1);

}  // namespace

void RequestQueue::Remove(uint64_t id) {
  std::erase_if(m_requests, [id](const QueuedRequest& request) {
    return request.id == id;
  });
}

std::vector<uint64_t> RequestQueue::SchedulingOrder(TimePoint now) const {
  std::vector<const QueuedRequest*> order;
  order.reserve(m_requests.size());
  for (const QueuedRequest& request : m_requests) order.push_back(&request);
  const auto rank = [now](const QueuedRequest& request) {
    return std::make_tuple(request.priority, now > request.latest_on_time_start,
                           -request.value_density, request.arrived, request.id);
  };
  std::sort(order.begin(), order.end(),
            [&](const QueuedRequest* a, const QueuedRequest* b) {
              return rank(*a) < rank(*b);
            });
  std::vector<uint64_t> ids;
  ids.reserve(order.size());
  for (const QueuedRequest* request : order) ids.push_back(request->id);
  return ids;
}

std::vector<uint64_t> RequestQueue::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (const QueuedRequest& request : m_requests) {
    if (now >= request.latest_useful_start) expired.push_back(request.id);
  }
  for (const uint64_t id : expired) Remove(id);
  return expired;
}

size_t RequestQueue::CountAhead(int32_t priority) const {
  return static_cast<size_t>(std::count_if(
      m_requests.begin(), m_requests.end(), [&](const QueuedRequest& request) {
        return request.priority <= priority;
      }));
}

std::optional<Duration> PredictSlotWait(
    std::span<const EngineCandidate> engines, size_t ahead, TimePoint now) {
  std::vector<TimePoint> free_at;
  for (const EngineCandidate& engine : engines) {
    const int32_t free = engine.model->speed().slots - engine.load.running;
    for (int32_t i = 0; i < free; ++i) free_at.push_back(now);
    for (const TimePoint end : engine.load.predicted_ends) {
      free_at.push_back(std::max(end, now));
    }
  }
  if (free_at.size() <= ahead) return std::nullopt;
  const auto nth = free_at.begin() + static_cast<std::ptrdiff_t>(ahead);
  std::nth_element(free_at.begin(), nth, free_at.end());
  return *nth - now;
}

QueueDecision DecideQueueing(std::span<const EngineCandidate> engines,
                             size_t ahead, Duration max_wait, TimePoint now) {
  const auto predicted_slot_wait = PredictSlotWait(engines, ahead, now);
  if (!predicted_slot_wait) return {false, kDefaultSlotWait};
  return {*predicted_slot_wait <= max_wait, *predicted_slot_wait};
}

}  // namespace peridotshelf::scheduling
