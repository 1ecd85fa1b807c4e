#include "peridotshelf/scheduling/request_queue.h"

#include <algorithm>
#include <tuple>

namespace peridotshelf::scheduling {
namespace {

/// Offered as the time to come back when nothing can be forecast.
constexpr Duration kUnknownPlaceTime = std::chrono::seconds(1);

}  // namespace

void RequestQueue::Remove(uint64_t id) {
  std::erase_if(m_waiting, [id](const QueuedRequest& w) { return w.id == id; });
}

std::vector<uint64_t> RequestQueue::SchedulingOrder(TimePoint now) const {
  std::vector<const QueuedRequest*> order;
  order.reserve(m_waiting.size());
  for (const QueuedRequest& waiting : m_waiting) order.push_back(&waiting);
  const auto rank = [now](const QueuedRequest& w) {
    return std::make_tuple(w.priority, now > w.latest_on_time_start,
                           -w.value_density, w.since, w.id);
  };
  std::sort(order.begin(), order.end(),
            [&](const QueuedRequest* a, const QueuedRequest* b) {
              return rank(*a) < rank(*b);
            });
  std::vector<uint64_t> ids;
  ids.reserve(order.size());
  for (const QueuedRequest* waiting : order) ids.push_back(waiting->id);
  return ids;
}

std::vector<uint64_t> RequestQueue::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (const QueuedRequest& waiting : m_waiting) {
    if (now >= waiting.give_up_at) expired.push_back(waiting.id);
  }
  for (const uint64_t id : expired) Remove(id);
  return expired;
}

size_t RequestQueue::CountAhead(int32_t priority) const {
  return static_cast<size_t>(std::count_if(
      m_waiting.begin(), m_waiting.end(),
      [&](const QueuedRequest& w) { return w.priority <= priority; }));
}

std::optional<Duration> PredictSlotWait(
    std::span<const EngineCandidate> engines, size_t ahead, TimePoint now) {
  std::vector<TimePoint> free_at;
  for (const EngineCandidate& engine : engines) {
    const int32_t free = engine.model->speed().slots - engine.load.running;
    for (int32_t i = 0; i < free; ++i) free_at.push_back(now);
    for (const TimePoint end : engine.load.ends) {
      free_at.push_back(std::max(end, now));
    }
  }
  if (free_at.size() <= ahead) return std::nullopt;
  const auto nth = free_at.begin() + static_cast<std::ptrdiff_t>(ahead);
  std::nth_element(free_at.begin(), nth, free_at.end());
  return *nth - now;
}

QueueDecision DecideQueueing(std::span<const EngineCandidate> engines,
                             size_t ahead, Duration patience, TimePoint now) {
  const auto predicted_slot_wait = PredictSlotWait(engines, ahead, now);
  if (!predicted_slot_wait) return {false, kUnknownPlaceTime};
  return {*predicted_slot_wait <= patience, *predicted_slot_wait};
}

}  // namespace peridotshelf::scheduling
