#include "peridotshelf/scheduling/wait_queue.h"

#include <algorithm>
#include <tuple>

namespace peridotshelf::scheduling {
namespace {

/// Offered as the time to come back when nothing can be forecast.
constexpr Duration kUnknownPlaceTime = std::chrono::seconds(1);

}  // namespace

void WaitQueue::Remove(uint64_t id) {
  std::erase_if(m_waiting, [id](const Waiting& w) { return w.id == id; });
}

std::vector<uint64_t> WaitQueue::InOrder(TimePoint now) const {
  std::vector<const Waiting*> order;
  order.reserve(m_waiting.size());
  for (const Waiting& waiting : m_waiting) order.push_back(&waiting);
  const auto rank = [now](const Waiting& w) {
    return std::make_tuple(w.priority, now > w.on_time_until, -w.value_density,
                           w.since, w.id);
  };
  std::sort(
      order.begin(), order.end(),
      [&](const Waiting* a, const Waiting* b) { return rank(*a) < rank(*b); });
  std::vector<uint64_t> ids;
  ids.reserve(order.size());
  for (const Waiting* waiting : order) ids.push_back(waiting->id);
  return ids;
}

std::vector<uint64_t> WaitQueue::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (const Waiting& waiting : m_waiting) {
    if (now >= waiting.give_up_at) expired.push_back(waiting.id);
  }
  for (const uint64_t id : expired) Remove(id);
  return expired;
}

size_t WaitQueue::AheadOf(int32_t priority) const {
  return static_cast<size_t>(
      std::count_if(m_waiting.begin(), m_waiting.end(),
                    [&](const Waiting& w) { return w.priority <= priority; }));
}

std::optional<Duration> ForecastPlace(std::span<const EngineCandidate> engines,
                                      size_t ahead, TimePoint now) {
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

WaitDecision DecideWait(std::span<const EngineCandidate> engines, size_t ahead,
                        Duration patience, TimePoint now) {
  const auto place_in = ForecastPlace(engines, ahead, now);
  if (!place_in) return {false, kUnknownPlaceTime};
  return {*place_in <= patience, *place_in};
}

}  // namespace peridotshelf::scheduling
