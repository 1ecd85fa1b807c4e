#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;
using scheduling::ActiveRequest;
using scheduling::EngineCandidate;

/// An engine that refused a reservation has less free memory than reported; it
/// receives no prompts for this long.
constexpr Duration kMemoryFullPause = std::chrono::seconds(1);

/// Returns a value from 0 to 1 that is constant for an engine and a seed.
double ComputePreference(const std::string& engine, uint64_t seed) {
  return static_cast<double>(XXH64(engine.data(), engine.size(), seed)) /
         static_cast<double>(std::numeric_limits<uint64_t>::max());
}

}  // namespace

std::string JoinKeys(std::span<const std::string> keys) {
  std::string joined;
  for (const std::string& key : keys) {
    if (!joined.empty()) joined += ' ';
    joined += key;
  }
  return joined;
}

const scheduling::EngineModel* Gateway::Impl::FindModel(
    const LiveRequest& live) {
  const auto found = models.find(live.service);
  if (found != models.end()) return &found->second;
  const routing::Service* service =
      live.configuration->FindService(live.service);
  if (service == nullptr || !service->speed) return nullptr;
  return &models.emplace(live.service, scheduling::EngineModel(*service->speed))
              .first->second;
}

std::vector<const discovery::EngineRecord*> Gateway::Impl::FindUntriedEngines(
    const LiveRequest& live) {
  std::vector<const discovery::EngineRecord*> untried = FindReadyEngines(live);
  std::erase_if(untried, [&live](const discovery::EngineRecord* record) {
    return std::find(live.tried_engines.begin(), live.tried_engines.end(),
                     record->Key()) != live.tried_engines.end();
  });
  return untried;
}

bool Gateway::Impl::HasUntriedAvailableEngine(const LiveRequest& live) {
  const TimePoint now = SteadyClock().Now();
  const auto untried = FindUntriedEngines(live);
  return std::any_of(
      untried.begin(), untried.end(),
      [this, now](const discovery::EngineRecord* record) {
        return GetEngineState(record->Key()).health.IsAvailable(now);
      });
}

std::vector<const discovery::EngineRecord*> Gateway::Impl::FindUsableEngines(
    const LiveRequest& live) {
  const TimePoint now = SteadyClock().Now();
  std::vector<const discovery::EngineRecord*> untried =
      FindUntriedEngines(live);
  std::vector<const discovery::EngineRecord*> usable;
  for (const discovery::EngineRecord* record : untried) {
    if (GetEngineState(record->Key()).health.IsAvailable(now))
      usable.push_back(record);
  }
  if (!usable.empty()) return usable;
  // Falls back to engines in backoff, then to engines tried before, rather than
  // failing the request.
  return untried.empty() ? FindReadyEngines(live) : untried;
}

std::vector<EngineCandidate> Gateway::Impl::MakeCandidates(
    const std::vector<const discovery::EngineRecord*>& records,
    const scheduling::EngineModel& model) {
  const TimePoint now = SteadyClock().Now();
  std::vector<EngineCandidate> candidates;
  candidates.reserve(records.size());
  for (const discovery::EngineRecord* record : records) {
    EngineCandidate candidate;
    candidate.engine = record->Key();
    candidate.model = &model;
    candidate.load = active_request_table.ComputeLoad(candidate.engine, now);
    const auto full_until = memory_full_until.find(record->address);
    if (full_until != memory_full_until.end() && now < full_until->second) {
      candidate.load.memory_tokens = model.speed().memory_tokens;
    }
    const EngineState& state = GetEngineState(candidate.engine);
    candidate.slowdown_factor = state.health.SlowdownFactor(now);
    candidate.success_rate = state.health.SuccessRate(now);
    candidate.is_same_domain = record->failure_domain == options.failure_domain;
    candidate.preference = ComputePreference(candidate.engine, preference_seed);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void Gateway::Impl::PlaceOrQueue(const LiveRequestPtr& live) {
  if (RejectIfQuarantined(live)) return;
  if (const auto reason = FindExclusion(*live)) {
    GiveUp(live, *reason);
    return;
  }
  if (engines.FindReadyEngines(live->service).empty()) {
    GiveUp(live, "no_engine");
    return;
  }
  if (RefuseIfAllPaused(live)) return;
  const scheduling::EngineModel* model = FindModel(*live);
  if (model == nullptr) {
    if (!TryStartCall(live)) {
      Refuse(live, PredictLimitWait(FindUsableEngines(*live), 0),
             "engine_limit");
    }
    return;
  }
  // Queued requests take precedence over new ones, but not over a stream that
  // has already started.
  const bool must_queue =
      !live->is_head_sent && queue.CountAhead(live->priority) > 0;
  if (must_queue || !TryStartStream(live, *model)) QueueOrRefuse(live, *model);
}

scheduling::StreamRequirements Gateway::Impl::MakeRequirements(
    const LiveRequest& live, TimePoint now) {
  scheduling::StreamRequirements requirements;
  requirements.prompt_tokens = live.prompt_tokens;
  requirements.output_tokens = live.output_tokens;
  requirements.objective_ms = std::max(
      1.0, MillisBetween(now, live.arrived + live.route->latency_objective));
  requirements.max_pause_ms = scheduling::ToMillis(live.route->max_pause);
  requirements.value = live.value;
  return requirements;
}

bool Gateway::Impl::HasWaitedLong(const LiveRequest& live, TimePoint now) {
  const Duration caller_timeout = live.route->caller_timeout;
  return caller_timeout > Duration::zero() &&
         now - live.arrived > caller_timeout / 2;
}

std::optional<scheduling::StreamPlan> Gateway::Impl::MakePlan(
    const LiveRequest& live, std::span<const EngineCandidate> candidates) {
  const TimePoint now = SteadyClock().Now();
  auto plan = scheduling::PlaceStream(MakeRequirements(live, now), candidates);
  if (plan &&
      !scheduling::ShouldStart(*plan, candidates, HasWaitedLong(live, now))) {
    plan.reset();
  }
  return plan;
}

bool Gateway::Impl::CanMoveToAnotherEngine(const LiveRequest& live) {
  if (RemoveLimited(FindUntriedEngines(live)).empty()) return false;
  const scheduling::EngineModel* model = FindModel(live);
  if (model == nullptr) return true;
  const auto records = RemoveLimited(FindUsableEngines(live));
  return MakePlan(live, MakeCandidates(records, *model)).has_value();
}

bool Gateway::Impl::TryStartStream(const LiveRequestPtr& live,
                                   const scheduling::EngineModel& model) {
  const auto usable = FindUsableEngines(*live);
  auto records = RemoveLimited(usable);
  if (TryStartStreamOn(records, live, model)) return true;
  return AddAdmitted(usable, records) && TryStartStreamOn(records, live, model);
}

bool Gateway::Impl::TryStartStreamOn(
    std::vector<const discovery::EngineRecord*>& records,
    const LiveRequestPtr& live, const scheduling::EngineModel& model) {
  std::vector<EngineCandidate> candidates;
  const auto plan = PlanAdmitted(records, *live, model, candidates);
  if (!plan) return false;
  StartAttempt(live, *records[plan->primary]);
  StartStream(live, records, candidates, *plan);
  return true;
}

void Gateway::Impl::StartStream(
    const LiveRequestPtr& live,
    const std::vector<const discovery::EngineRecord*>& records,
    const std::vector<EngineCandidate>& candidates,
    const scheduling::StreamPlan& plan) {
  Attempt& attempt = *live->attempt;
  attempt.predicted_first_event_ms = plan.first_event_ms;
  attempt.uncontended_first_event_ms = plan.uncontended_first_event_ms;
  attempt.predicted_decode_ms = plan.decode_ms;
  attempt.predicted_answer_ms = plan.first_event_ms;
  if (plan.reserve_tokens > 0) {
    attempt.reservation =
        reservation_prefix + "-" + std::to_string(attempt.number);
  }
  for (const size_t index : plan.helpers) {
    attempt.helper_keys.push_back(candidates[index].engine);
    attempt.helpers.push_back({records[index]->address, attempt.reservation});
  }
  AddActiveRequests(*live, plan, candidates);
  LogPlacement(*live, plan, candidates[plan.primary]);
  if (attempt.reservation.empty()) {
    Send(live);
  } else {
    ReserveThenSend(live, plan.reserve_tokens);
  }
}

void Gateway::Impl::LogPlacement(const LiveRequest& live,
                                 const scheduling::StreamPlan& plan,
                                 const EngineCandidate& first) {
  const Attempt& attempt = *live.attempt;
  const TimePoint now = SteadyClock().Now();
  events::Log(EventId::kRequestPlaced,
              {{"request", live.request.id.value()},
               {"engine", attempt.engine_key},
               {"helpers", static_cast<int64_t>(plan.helpers.size())},
               {"helper_engines", JoinKeys(attempt.helper_keys)},
               {"part_ms", std::lround(plan.prefill_shard_ms)},
               {"reserved_tokens", plan.reserve_tokens},
               {"reservation", attempt.reservation},
               {"prompt_tokens", live.prompt_tokens},
               {"predicted_ms", std::lround(plan.first_event_ms)},
               {"backlog_ms", std::lround(first.load.backlog_ms)},
               {"running", first.load.running},
               {"pace", first.slowdown_factor},
               {"gain", plan.gain},
               {"waited_ms", ToMilliseconds(now - live.arrived)},
               {"prompt_parts", JoinKeys(live.request.shared_prompt_parts)},
               {"engines_age_ms", ToMilliseconds(engines.ComputeAge(now))}});
}

bool Gateway::Impl::AreEnginesReady(const LiveRequest& live) {
  const auto ready = FindReadyEngines(live);
  const auto is_ready = [&ready](const std::string& key) {
    return std::any_of(ready.begin(), ready.end(),
                       [&key](const discovery::EngineRecord* record) {
                         return record->Key() == key;
                       });
  };
  const Attempt& attempt = *live.attempt;
  return is_ready(attempt.engine_key) &&
         std::all_of(attempt.helper_keys.begin(), attempt.helper_keys.end(),
                     is_ready);
}

void Gateway::Impl::ReserveThenSend(const LiveRequestPtr& live,
                                    int64_t tokens) {
  const Attempt& attempt = *live->attempt;
  std::vector<std::string> addresses;
  addresses.reserve(attempt.helpers.size());
  for (const HelperRef& helper : attempt.helpers) {
    addresses.push_back(helper.address);
  }
  reservations.Reserve(
      attempt.reservation, addresses, tokens,
      [self = shared_from_this(), weak = std::weak_ptr(live),
       number =
           attempt.number](const std::vector<std::string>& refused_addresses) {
        const TimePoint answered = SteadyClock().Now();
        for (const std::string& address : refused_addresses) {
          self->memory_full_until[address] = answered + kMemoryFullPause;
        }
        const auto held = weak.lock();
        if (!held || !held->Select(number)) return;
        self->RunFor(held, [&] { self->OnReserved(held, refused_addresses); });
      });
}

void Gateway::Impl::OnReserved(
    const LiveRequestPtr& live,
    const std::vector<std::string>& refused_addresses) {
  if (!refused_addresses.empty()) {
    Fail(live, FailureCause::kNoMemory,
         "a helper engine refused the reservation");
  } else if (!AreEnginesReady(*live)) {
    Fail(live, FailureCause::kEngineLeft,
         "an engine started to leave, asked for a pause or was evacuated "
         "during the reservation");
  } else {
    Send(live);
  }
}

void Gateway::Impl::AddActiveRequests(
    LiveRequest& live, const scheduling::StreamPlan& plan,
    const std::vector<EngineCandidate>& candidates) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live.attempt;
  const auto put = [&](size_t index, bool is_prefill_shard) {
    const EngineCandidate& engine = candidates[index];
    ActiveRequest active_request;
    active_request.id = attempt.number;
    active_request.is_prefill_shard = is_prefill_shard;
    active_request.memory_tokens = live.prompt_tokens + live.output_tokens;
    if (plan.reserve_tokens > 0) {
      active_request.memory_tokens = plan.reserve_tokens;
    } else if (is_prefill_shard) {
      active_request.memory_tokens = 0;
    }
    active_request.max_pause_ms = scheduling::ToMillis(live.route->max_pause);
    active_request.caller_timeout_ms =
        scheduling::ToMillis(live.route->caller_timeout);
    active_request.value = live.value;
    active_request.prefill_ms = engine.slowdown_factor * plan.prefill_shard_ms;
    active_request.prefill_end =
        now + FromMillis(engine.load.backlog_ms + active_request.prefill_ms);
    if (!is_prefill_shard) {
      active_request.first_event_at = now + FromMillis(plan.first_event_ms);
    }
    active_request.end =
        is_prefill_shard
            ? now + FromMillis(plan.first_event_ms)
            : now + FromMillis(plan.first_event_ms + plan.decode_ms);
    active_request_table.Put(engine.engine, active_request);
    CountAgainstLimit(engine.engine);
    peers.NoteStart(engine.engine);
  };
  put(plan.primary, /*is_prefill_shard=*/false);
  for (const size_t index : plan.helpers) put(index, /*is_prefill_shard=*/true);
}

}  // namespace peridotshelf::gateway
