#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/scheduling/service_placement.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;
using scheduling::ActiveRequest;
using scheduling::EngineCandidate;

/// An engine that refused a reservation has less memory than is known here; it
/// gets no prompt for this long.
constexpr Duration kMemoryFullPause = std::chrono::seconds(1);
/// Peers' changes come often; what waits is tried again at most this often.
constexpr Duration kDrainInterval = std::chrono::milliseconds(20);
/// When this many waiting requests found no place, the others find none either.
constexpr int kMaxDrainFailures = 6;

/// From 0 to 1; the same for an engine while `seed` is.
double PreferenceOf(const std::string& engine, uint64_t seed) {
  return static_cast<double>(XXH64(engine.data(), engine.size(), seed)) /
         static_cast<double>(std::numeric_limits<uint64_t>::max());
}

std::string JoinKeys(const std::vector<std::string>& keys) {
  std::string joined;
  for (const std::string& key : keys) {
    if (!joined.empty()) joined += ' ';
    joined += key;
  }
  return joined;
}

}  // namespace

const scheduling::EngineModel* Gateway::Impl::ModelOf(const LiveRequest& live) {
  const auto found = models.find(live.service);
  if (found != models.end()) return &found->second;
  const routing::Service* service =
      live.configuration->FindService(live.service);
  if (service == nullptr || !service->speed) return nullptr;
  return &models.emplace(live.service, scheduling::EngineModel(*service->speed))
              .first->second;
}

std::vector<const discovery::EngineRecord*> Gateway::Impl::Untried(
    const LiveRequest& live) {
  std::vector<const discovery::EngineRecord*> untried =
      engines.FindReadyEngines(live.service);
  std::erase_if(untried, [&live](const discovery::EngineRecord* record) {
    return std::find(live.tried.begin(), live.tried.end(), record->Key()) !=
           live.tried.end();
  });
  return untried;
}

std::vector<const discovery::EngineRecord*> Gateway::Impl::Usable(
    const LiveRequest& live) {
  const TimePoint now = SteadyClock().Now();
  std::vector<const discovery::EngineRecord*> untried = Untried(live);
  std::vector<const discovery::EngineRecord*> usable;
  for (const discovery::EngineRecord* record : untried) {
    if (StateOf(record->Key()).health.IsAvailable(now))
      usable.push_back(record);
  }
  if (!usable.empty()) return usable;
  // With every engine in doubt, one of them is still better than none.
  return untried.empty() ? engines.FindReadyEngines(live.service) : untried;
}

std::vector<EngineCandidate> Gateway::Impl::Candidates(
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
    const auto full = memory_full_until.find(record->address);
    if (full != memory_full_until.end() && now < full->second) {
      candidate.load.memory_tokens = model.speed().memory_tokens;
    }
    const EngineState& state = StateOf(candidate.engine);
    candidate.slowdown_factor = state.health.SlowdownFactor(now);
    candidate.success_rate = state.health.SuccessRate(now);
    candidate.is_same_domain = record->failure_domain == options.failure_domain;
    candidate.preference = PreferenceOf(candidate.engine, preference_seed);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void Gateway::Impl::Begin(const LiveRequestPtr& live) {
  if (engines.FindReadyEngines(live->service).empty()) {
    GiveUp(live, "no_engine");
    return;
  }
  const scheduling::EngineModel* model = ModelOf(*live);
  if (model == nullptr) {
    if (!TryCall(live)) GiveUp(live, "no_engine");
    return;
  }
  // Requests that wait already go first, but not before a stream that is under
  // way.
  const bool must_queue =
      !live->head_sent && queue.CountAhead(live->priority) > 0;
  if (must_queue || !TryStream(live, *model)) WaitOrRefuse(live, *model);
}

scheduling::StreamRequirements Gateway::Impl::NeedsOf(const LiveRequest& live,
                                                      TimePoint now) {
  scheduling::StreamRequirements needs;
  needs.prompt_tokens = live.prompt_tokens;
  needs.output_tokens = live.output_tokens;
  needs.objective_ms = std::max(
      1.0, MillisBetween(now, live.arrived + live.route->latency_objective));
  needs.max_pause_ms = scheduling::ToMillis(live.route->max_pause);
  needs.value = live.value;
  return needs;
}

bool Gateway::Impl::HasWaitedLong(const LiveRequest& live, TimePoint now) {
  const Duration patience = live.route->caller_timeout;
  return patience > Duration::zero() && now - live.arrived > patience / 2;
}

std::optional<scheduling::StreamPlan> Gateway::Impl::PlanFor(
    const LiveRequest& live, std::span<const EngineCandidate> candidates) {
  const TimePoint now = SteadyClock().Now();
  auto plan = scheduling::PlaceStream(NeedsOf(live, now), candidates);
  if (plan &&
      !scheduling::ShouldStart(*plan, candidates, HasWaitedLong(live, now))) {
    plan.reset();
  }
  return plan;
}

bool Gateway::Impl::HasOtherPlace(const LiveRequest& live) {
  if (Untried(live).empty()) return false;
  const scheduling::EngineModel* model = ModelOf(live);
  if (model == nullptr) return true;
  return PlanFor(live, Candidates(Usable(live), *model)).has_value();
}

bool Gateway::Impl::TryStream(const LiveRequestPtr& live,
                              const scheduling::EngineModel& model) {
  const auto records = Usable(*live);
  const auto candidates = Candidates(records, model);
  const auto plan = PlanFor(*live, candidates);
  if (!plan) return false;
  StartAttempt(live, *records[plan->primary]);
  Attempt& attempt = *live->attempt;
  attempt.predicted_first_ms = plan->first_event_ms;
  attempt.undisturbed_first_ms = plan->uncontended_first_event_ms;
  attempt.predicted_write_ms = plan->decode_ms;
  if (plan->reserve_tokens > 0) {
    attempt.reservation =
        live->request.id.value() + "-" + std::to_string(attempt.number);
  }
  for (const size_t index : plan->helpers) {
    attempt.helper_keys.push_back(candidates[index].engine);
    attempt.helpers.push_back({records[index]->address, attempt.reservation});
  }
  PutWork(*live, *plan, candidates);
  LogPlacement(*live, *plan, candidates[plan->primary]);
  if (attempt.reservation.empty()) {
    Send(live);
  } else {
    ReserveThenSend(live, plan->reserve_tokens);
  }
  return true;
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
               {"prompt_tokens", live.prompt_tokens},
               {"predicted_ms", std::lround(plan.first_event_ms)},
               {"backlog_ms", std::lround(first.load.backlog_ms)},
               {"running", first.load.running},
               {"pace", first.slowdown_factor},
               {"gain", plan.gain},
               {"waited_ms", ToMilliseconds(now - live.arrived)}});
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
       number = attempt.number](const std::vector<std::string>& refused) {
        const TimePoint answered = SteadyClock().Now();
        for (const std::string& address : refused) {
          self->memory_full_until[address] = answered + kMemoryFullPause;
        }
        const auto held = weak.lock();
        if (!held || !held->attempt || held->attempt->number != number) return;
        if (refused.empty()) {
          self->Send(held);
        } else {
          self->Fail(held, FailureCause::kNoMemory, "reservation refused");
        }
      });
}

void Gateway::Impl::PutWork(LiveRequest& live,
                            const scheduling::StreamPlan& plan,
                            const std::vector<EngineCandidate>& candidates) {
  const TimePoint now = SteadyClock().Now();
  Attempt& attempt = *live.attempt;
  const auto put = [&](size_t index, bool is_prefill_shard) {
    const EngineCandidate& engine = candidates[index];
    ActiveRequest work;
    work.id = attempt.number;
    work.is_prefill_shard = is_prefill_shard;
    work.memory_tokens = live.prompt_tokens + live.output_tokens;
    if (plan.reserve_tokens > 0) {
      work.memory_tokens = plan.reserve_tokens;
    } else if (is_prefill_shard) {
      work.memory_tokens = 0;
    }
    work.max_pause_ms = scheduling::ToMillis(live.route->max_pause);
    work.caller_timeout_ms = scheduling::ToMillis(live.route->caller_timeout);
    work.value = live.value;
    work.prefill_end =
        now + FromMillis(engine.load.backlog_ms +
                         engine.slowdown_factor * plan.prefill_shard_ms);
    work.end = is_prefill_shard
                   ? now + FromMillis(plan.first_event_ms)
                   : now + FromMillis(plan.first_event_ms + plan.decode_ms);
    active_request_table.Put(engine.engine, work);
    peers.NoteChange(engine.engine);
  };
  put(plan.primary, /*is_prefill_shard=*/false);
  for (const size_t index : plan.helpers) put(index, /*is_prefill_shard=*/true);
}

bool Gateway::Impl::TryCall(const LiveRequestPtr& live) {
  const TimePoint now = SteadyClock().Now();
  const auto records = Usable(*live);
  std::vector<scheduling::ServiceCandidate> servers;
  servers.reserve(records.size());
  for (const discovery::EngineRecord* record : records) {
    const std::string key = record->Key();
    const EngineState& state = StateOf(key);
    scheduling::ServiceCandidate server;
    server.running = active_request_table.ComputeLoad(key, now).running;
    server.slots = std::max(record->slots, 1);
    server.call_ms = state.call_ms;
    server.success_rate = state.health.SuccessRate(now);
    server.is_same_domain = record->failure_domain == options.failure_domain;
    servers.push_back(server);
  }
  const auto chosen = scheduling::PlaceCall(servers);
  if (!chosen) return false;
  StartAttempt(live, *records[*chosen]);
  ActiveRequest work;
  work.id = live->attempt->number;
  work.is_prefilling = false;
  work.end = now + FromMillis(std::max(servers[*chosen].call_ms, 1.0) * 2);
  active_request_table.Put(live->attempt->engine_key, work);
  peers.NoteChange(live->attempt->engine_key);
  events::Log(EventId::kRequestPlaced,
              {{"request", live->request.id.value()},
               {"engine", live->attempt->engine_key},
               {"running", servers[*chosen].running},
               {"call_ms", servers[*chosen].call_ms},
               {"success_rate", servers[*chosen].success_rate}});
  Send(live);
  return true;
}

void Gateway::Impl::WaitOrRefuse(const LiveRequestPtr& live,
                                 const scheduling::EngineModel& model) {
  const TimePoint now = SteadyClock().Now();
  const auto candidates = Candidates(Usable(*live), model);
  const double begin_ms = model.PrefillDuration(live->prompt_tokens) / 2 +
                          model.IterationDuration(1, 0);
  TimePoint latest_useful_start = live->deadline;
  if (live->route->caller_timeout > Duration::zero()) {
    latest_useful_start = std::min(latest_useful_start,
                                   live->arrived + live->route->caller_timeout);
  }
  latest_useful_start -= FromMillis(begin_ms);
  const auto decision =
      scheduling::DecideQueueing(candidates, queue.CountAhead(live->priority),
                                 latest_useful_start - now, now);
  if (!decision.should_queue) {
    Refuse(live, decision.predicted_slot_wait, "no_place");
    return;
  }
  scheduling::QueuedRequest waiting;
  waiting.id = live->number;
  waiting.priority = live->priority;
  waiting.value_density = live->value / begin_ms;
  waiting.arrived = live->arrived;
  waiting.latest_on_time_start =
      live->arrived + live->route->latency_objective - FromMillis(begin_ms);
  waiting.latest_useful_start = latest_useful_start;
  queue.Add(waiting);
  events::Log(EventId::kRequestWaits,
              {{"request", live->request.id.value()},
               {"place_in_ms", ToMilliseconds(decision.predicted_slot_wait)},
               {"ahead", static_cast<int64_t>(queue.size() - 1)}});
}

void Gateway::Impl::DrainQueue() {
  if (queue.empty() || std::exchange(draining_queue, true)) return;
  const TimePoint now = SteadyClock().Now();
  for (const uint64_t id : queue.TakeExpired(now)) {
    const auto found = live_requests.find(id);
    if (found == live_requests.end()) continue;
    const LiveRequestPtr live = found->second;
    Refuse(live, Duration::zero(), "waited_too_long");
  }
  int failures = 0;
  for (const uint64_t id : queue.SchedulingOrder(now)) {
    if (failures == kMaxDrainFailures) break;
    const auto found = live_requests.find(id);
    if (found == live_requests.end()) {
      queue.Remove(id);
      continue;
    }
    const LiveRequestPtr live = found->second;
    const scheduling::EngineModel* model = ModelOf(*live);
    if (model == nullptr || !TryStream(live, *model)) {
      ++failures;
      continue;
    }
    queue.Remove(id);
  }
  draining_queue = false;
}

void Gateway::Impl::DrainQueueSoon() {
  if (queue.empty() || std::exchange(drain_due, true)) return;
  threads.RunAfter(kDrainInterval, [self = shared_from_this()] {
    self->drain_due = false;
    self->DrainQueue();
  });
}

}  // namespace peridotshelf::gateway
