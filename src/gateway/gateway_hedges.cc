// Second attempts of requests that take unusually long.
#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;
using scheduling::HedgeVerdict;

/// A hedge that is not sent yet is considered again after this share of the
/// elapsed time, so that a slow request costs few decisions.
constexpr double kNextLookShare = 0.25;
constexpr double kMinNextLookMs = 5;

/// Returns the name of the requests whose times are compared: those of one
/// route whose prompts differ by less than a factor of four.
std::string RequestClass(const LiveRequest& live) {
  const auto tokens =
      static_cast<uint64_t>(std::max<int64_t>(live.prompt_tokens, 0));
  return live.route->name + "/" + std::to_string(std::bit_width(tokens) / 2);
}

/// Returns whether the request may run more than once and has no part of an
/// answer yet.
bool MayBeHedged(const LiveRequest& live) {
  if (live.is_done || live.was_hedged || !live.attempt) return false;
  const Attempt& attempt = *live.attempt;
  return live.route->IsRetryable() && !live.last_event_number &&
         !live.is_head_sent && attempt.helpers.empty() && attempt.call &&
         !attempt.has_event;
}

}  // namespace

void Gateway::Impl::ScheduleHedge(const LiveRequestPtr& live) {
  if (!hedging.IsEnabled() || !MayBeHedged(*live)) return;
  const auto delay_ms = hedging.FindDelay(RequestClass(*live),
                                          live->attempt->predicted_answer_ms);
  if (delay_ms) ConsiderHedgeAfter(live, FromMillis(*delay_ms));
}

void Gateway::Impl::ConsiderHedgeAfter(const LiveRequestPtr& live,
                                       Duration delay) {
  threads.RunAfter(
      delay, [self = shared_from_this(), weak = std::weak_ptr(live),
              number = live->attempt->number] {
        const auto held = weak.lock();
        if (!held || !MayBeHedged(*held) || held->attempt->number != number)
          return;
        self->ConsiderHedge(held, SteadyClock().Now());
      });
}

void Gateway::Impl::ConsiderHedge(const LiveRequestPtr& live, TimePoint now) {
  const auto plan = PlanHedge(*live);
  const HedgeVerdict verdict = DecideHedge(*live, plan, now);
  if (verdict == HedgeVerdict::kSend) {
    SendHedge(live, *plan);
    return;
  }
  if (verdict == HedgeVerdict::kNotAllowed) return;
  CountDeniedHedge(*live, verdict);
  const double elapsed_ms = MillisBetween(live->attempt->sent_at, now);
  ConsiderHedgeAfter(
      live, FromMillis(std::max(kMinNextLookMs, kNextLookShare * elapsed_ms)));
}

std::optional<HedgePlan> Gateway::Impl::PlanHedge(const LiveRequest& live) {
  const scheduling::EngineModel* model = FindModel(live);
  return model == nullptr ? PlanCallHedge(live) : PlanStreamHedge(live, *model);
}

std::vector<const discovery::EngineRecord*> Gateway::Impl::FindHedgeEngines(
    const LiveRequest& live) {
  const TimePoint now = SteadyClock().Now();
  auto records = RemoveLimited(FindUntriedEngines(live));
  // A cold engine's limit is for requests that run once.
  std::erase_if(records, [this, now](const auto* record) {
    const std::string key = record->Key();
    return !GetEngineState(key).health.IsAvailable(now) ||
           rate_limits->IsCold(key, now);
  });
  return records;
}

std::optional<HedgePlan> Gateway::Impl::PlanStreamHedge(
    const LiveRequest& live, const scheduling::EngineModel& model) {
  HedgePlan hedge;
  hedge.records = FindHedgeEngines(live);
  hedge.candidates = MakeCandidates(hedge.records, model);
  const auto plan = MakePlan(live, hedge.candidates);
  if (!plan || !plan->helpers.empty() || plan->gain <= 0) return std::nullopt;
  hedge.engine = hedge.records[plan->primary];
  hedge.answer_ms = plan->first_event_ms;
  hedge.engine_ms = plan->first_event_ms + plan->decode_ms;
  hedge.stream = plan;
  return hedge;
}

std::optional<HedgePlan> Gateway::Impl::PlanCallHedge(const LiveRequest& live) {
  HedgePlan hedge;
  for (const auto* record : FindHedgeEngines(live)) {
    const auto server = MakeServiceCandidates({record}).front();
    if (server.running >= server.slots) continue;
    hedge.records.push_back(record);
  }
  const auto servers = MakeServiceCandidates(hedge.records);
  const auto chosen = scheduling::PlaceCall(servers);
  if (!chosen) return std::nullopt;
  hedge.engine = hedge.records[*chosen];
  hedge.server = servers[*chosen];
  hedge.answer_ms = hedge.server.call_ms > 0
                        ? PredictCall(hedge.server)
                        : live.attempt->predicted_answer_ms;
  hedge.engine_ms = hedge.answer_ms;
  return hedge;
}

HedgeVerdict Gateway::Impl::DecideHedge(const LiveRequest& live,
                                        const std::optional<HedgePlan>& plan,
                                        TimePoint now) {
  const Attempt& attempt = *live.attempt;
  const std::string request_class = RequestClass(live);
  scheduling::FleetRetryBudget& budget = GetRetryBudget(live.service);
  const double part = peers.LimitPart();
  scheduling::HedgeQuestion question;
  question.service = live.service;
  question.request_class = request_class;
  question.predicted_ms = attempt.predicted_answer_ms;
  question.elapsed_ms = MillisBetween(attempt.sent_at, now);
  question.time_left_ms = MillisBetween(now, live.deadline);
  if (plan) {
    question.hedge_ms = plan->answer_ms;
    question.engine_ms = plan->engine_ms;
  }
  question.queued = queue.size();
  question.attempts_left = live.route->max_attempts -
                           std::max(live.possible_runs + 1, live.sent_attempts);
  question.is_suspect = std::any_of(
      live.suspects.begin(), live.suspects.end(), [this](const auto& suspect) {
        return crash_quarantine->CountCrashes(suspect.id) > 0;
      });
  question.budget_share_left = budget.RemainingShare(now, part);
  const HedgeVerdict verdict = hedging.Decide(question, now);
  if (verdict == HedgeVerdict::kSend && !budget.TryClaim(now, part)) {
    return HedgeVerdict::kLimitUsed;
  }
  return verdict;
}

void Gateway::Impl::SendHedge(const LiveRequestPtr& live,
                              const HedgePlan& plan) {
  const TimePoint now = SteadyClock().Now();
  const std::string first_engine = live->attempt->engine_key;
  const double first_ms = MillisBetween(live->attempt->sent_at, now);
  const double first_predicted_ms = live->attempt->predicted_answer_ms;
  live->other_attempt = std::exchange(live->attempt, std::nullopt);
  live->has_retry_claim = true;
  StartAttempt(live, *plan.engine);
  Attempt& attempt = *live->attempt;
  attempt.is_hedge = true;
  live->was_hedged = true;
  live->hedge = OpenHedge{attempt.number, attempt.engine_key, now};
  hedging.NoteHedge(live->service, attempt.number, plan.engine_ms, now);
  events::Log(EventId::kHedgeSent,
              {{"request", live->request.id.value()},
               {"engine", attempt.engine_key},
               {"first_engine", first_engine},
               {"first_ms", std::lround(first_ms)},
               {"first_predicted_ms", std::lround(first_predicted_ms)},
               {"predicted_ms", std::lround(plan.answer_ms)},
               {"engine_ms", std::lround(plan.engine_ms)}});
  if (plan.stream) {
    StartStream(live, plan.records, plan.candidates, *plan.stream);
  } else {
    StartCall(live, plan.server);
  }
}

void Gateway::Impl::SettleHedge(LiveRequest& live) {
  if (!hedging.IsEnabled()) return;
  const TimePoint now = SteadyClock().Now();
  const Attempt& winner = *live.attempt;
  if (!winner.is_hedge && winner.helpers.empty() &&
      winner.predicted_answer_ms > 0) {
    hedging.NoteAnswer(
        RequestClass(live),
        MillisBetween(winner.sent_at, now) / winner.predicted_answer_ms, now);
  }
  if (live.other_attempt) {
    NoteLoser(live, now);
    if (live.other_attempt->IsAtEngine()) ++live.possible_runs;
    Release(live, *live.other_attempt);
    live.other_attempt.reset();
    SetLastEngine(live, winner.engine_key);
    ScheduleQueueDrain();
  }
  EndHedge(live, winner.is_hedge ? "won" : "lost");
}

void Gateway::Impl::NoteLoser(LiveRequest& live, TimePoint now) {
  const Attempt& loser = *live.other_attempt;
  const double elapsed_ms = MillisBetween(loser.sent_at, now);
  if (loser.is_hedge || elapsed_ms <= loser.predicted_answer_ms) return;
  const double ratio = elapsed_ms / loser.predicted_answer_ms;
  hedging.NoteCancelled(RequestClass(live), ratio, now);
  EngineState& state = GetEngineState(loser.engine_key);
  if (loser.predicted_first_event_ms > 0) {
    state.health.NoteSlowdown(ratio, now);
  } else if (elapsed_ms > state.calls.mean()) {
    state.calls.NoteDuration(elapsed_ms, now);
  }
}

void Gateway::Impl::EndHedge(LiveRequest& live, std::string_view outcome) {
  if (!live.hedge) return;
  const OpenHedge hedge = *std::exchange(live.hedge, std::nullopt);
  hedges->With(outcome).Add();
  events::Log(EventId::kHedgeEnded,
              {{"request", live.request.id.value()},
               {"engine", hedge.engine_key},
               {"outcome", std::string(outcome)},
               {"ms", ToMilliseconds(SteadyClock().Now() - hedge.sent_at)}});
}

void Gateway::Impl::CountDeniedHedge(LiveRequest& live, HedgeVerdict verdict) {
  if (verdict != HedgeVerdict::kLoaded && verdict != HedgeVerdict::kLimitUsed) {
    return;
  }
  if (std::exchange(live.is_denied_hedge_counted, true)) return;
  hedges
      ->With(verdict == HedgeVerdict::kLoaded ? "not_sent_load"
                                              : "not_sent_limit")
      .Add();
}

void Gateway::Impl::NoteEngineTime(const LiveRequest& live,
                                   const Attempt& attempt) {
  if (!hedging.IsEnabled() || attempt.sent_at == TimePoint{}) return;
  const TimePoint now = SteadyClock().Now();
  const double engine_ms = MillisBetween(attempt.sent_at, now);
  if (attempt.is_hedge) {
    hedging.NoteHedgeEnd(live.service, attempt.number, engine_ms);
  } else {
    hedging.NoteEngineTime(live.service, engine_ms, now);
  }
}

void Gateway::Impl::SetLastEngine(LiveRequest& live,
                                  const std::string& engine) {
  std::erase(live.tried_engines, engine);
  live.tried_engines.push_back(engine);
}

}  // namespace peridotshelf::gateway
