#include <algorithm>
#include <map>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using discovery::EngineRecord;
using events::EventId;

}  // namespace

void Gateway::Impl::NoteState(const std::string& engine,
                              const AnswerHead& head) {
  if (head.is_leaving) NoteLeaving(engine);
  NotePause(engine, head);
}

void Gateway::Impl::NoteLeaving(const std::string& engine) {
  if (!engines.NoteToldLeaving(engine, SteadyClock().Now())) return;
  events::Log(EventId::kEngineLeaving,
              {{"engine", engine}, {"source", "answer"}});
  peers.ReportLeaving(engine);
}

void Gateway::Impl::OnPeerLeaving(std::span<const std::string> leaving) {
  for (const std::string& engine : leaving) {
    if (!engines.NoteToldLeaving(engine, SteadyClock().Now())) continue;
    events::Log(EventId::kEngineLeaving,
                {{"engine", engine}, {"source", "peer"}});
  }
}

void Gateway::Impl::NotePause(const std::string& engine,
                              const AnswerHead& head) {
  if (head.has_invalid_pause) {
    events::Log(EventId::kEnginePauseInvalid, {{"engine", engine}});
    return;
  }
  if (!head.pause || *head.pause <= Duration::zero()) return;
  const TimePoint until = SteadyClock().Now() + *head.pause;
  EngineState& state = GetEngineState(engine);
  if (until <= state.paused_until) return;
  state.paused_until = until;
  last_pause_end = std::max(last_pause_end, until);
  events::Log(EventId::kEnginePaused,
              {{"engine", engine}, {"ms", ToMilliseconds(*head.pause)}});
  // Queued requests may have no engine left.
  ScheduleQueueDrain();
}

std::vector<const EngineRecord*> Gateway::Impl::FindAllowedEngines(
    const LiveRequest& live) const {
  auto allowed = engines.FindReadyEngines(live.service);
  if (!live.allowed_regions) return allowed;
  const std::vector<std::string>& regions = *live.allowed_regions;
  std::erase_if(allowed, [this, &regions](const EngineRecord* record) {
    const auto region = options.regions.find(record->failure_domain);
    return region == options.regions.end() ||
           std::find(regions.begin(), regions.end(), region->second) ==
               regions.end();
  });
  return allowed;
}

std::vector<const EngineRecord*> Gateway::Impl::FindReadyEngines(
    const LiveRequest& live) {
  const TimePoint now = SteadyClock().Now();
  auto ready = FindAllowedEngines(live);
  if (now >= last_pause_end) return ready;
  std::erase_if(ready, [this, now](const EngineRecord* record) {
    return now < GetEngineState(record->Key()).paused_until;
  });
  return ready;
}

std::optional<std::string_view> Gateway::Impl::FindExclusion(
    const LiveRequest& live) const {
  if (engines.IsServiceEvacuated(live.service)) return "evacuated";
  if (live.allowed_regions && FindAllowedEngines(live).empty()) {
    return "no_home_engine";
  }
  return std::nullopt;
}

void Gateway::Impl::RefuseExcluded() {
  if (!engines.HasEvacuatedDomains() && !has_homes) return;
  // Looking through the engines for each request would cost too much.
  std::map<std::pair<std::string, std::optional<std::vector<std::string>>>,
           std::optional<std::string_view>>
      exclusions;
  for (const uint64_t id : queue.SchedulingOrder(SteadyClock().Now())) {
    const auto found = live_requests.find(id);
    if (found == live_requests.end()) continue;
    const LiveRequestPtr live = found->second;
    const auto [exclusion, is_new] = exclusions.try_emplace(
        std::make_pair(live->service, live->allowed_regions));
    if (is_new) exclusion->second = FindExclusion(*live);
    if (exclusion->second) GiveUp(live, *exclusion->second);
  }
}

bool Gateway::Impl::RefuseIfAllPaused(const LiveRequestPtr& live) {
  if (SteadyClock().Now() >= last_pause_end) return false;
  const auto ready = FindAllowedEngines(*live);
  if (ready.empty() || !FindReadyEngines(*live).empty()) return false;
  TimePoint first_end = TimePoint::max();
  for (const EngineRecord* record : ready) {
    first_end = std::min(first_end, GetEngineState(record->Key()).paused_until);
  }
  Refuse(live, first_end - SteadyClock().Now(), "engines_paused");
  return true;
}

}  // namespace peridotshelf::gateway
