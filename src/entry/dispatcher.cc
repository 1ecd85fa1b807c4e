#include "entry/dispatcher.h"

#include <random>
#include <utility>

#include "entry/attempt_frames.h"
#include "entry/key_owner_placement.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/wire/codec.h"

namespace peridotshelf::entry {
namespace {

using events::EventId;

TimePoint Now() { return SteadyClock().Now(); }

uint32_t DrawSeed() {
  thread_local std::minstd_rand engine{std::random_device{}()};
  return static_cast<uint32_t>(engine());
}

/// Whether the failure says that the engine or its side is unwell.
bool SpeaksAgainstEngine(ErrorCode code) {
  return code == ErrorCode::kBackendFailed ||
         code == ErrorCode::kConnectionLost || code == ErrorCode::kInternal;
}

}  // namespace

void Dispatcher::Submit(const control::ControlStatePtr& state,
                        CompletionRequest request, AnswerCallbacks answer) {
  const bool unrepeatable = request.terms.unrepeatable.value_or(false);
  if (unrepeatable && !request.terms.idempotency_key.empty()) {
    // Homes remember the keys of plain services only.
    answer.on_failed({ErrorCode::kInvalidField,
                      "Idempotency-Key on an unrepeatable completion",
                      true,
                      {}});
    return;
  }
  const Result<TeamHoldPtr> team_hold = m_placer.Admit(*state, request);
  if (!team_hold) {
    answer.on_failed(team_hold.error());
    return;
  }
  auto open = std::make_shared<Open>();
  open->id = request.id;
  open->state = state;
  open->answer = std::move(answer);
  open->team_hold = *team_hold;
  open->unrepeatable = unrepeatable;
  const std::string service = request.model;
  const CallerTerms terms = request.terms;
  open->completion = std::move(request);
  Begin(open, service, terms);
}

void Dispatcher::SubmitCall(const control::ControlStatePtr& state,
                            ServiceRequest request, AnswerCallbacks answer) {
  auto open = std::make_shared<Open>();
  open->id = request.id;
  open->state = state;
  open->answer = std::move(answer);
  open->unrepeatable = IsUnrepeatable(*state, request);
  const std::string service = request.service;
  const CallerTerms terms = request.terms;
  open->call = std::move(request);
  Begin(open, service, terms);
}

void Dispatcher::Begin(const OpenPtr& open, const std::string& service,
                       const CallerTerms& terms) {
  const TimePoint now = Now();
  attempts::RequestParameters plan{
      open->id,
      service,
      RequestDeadline::FromRemaining(now, terms.timeout),
      !open->unrepeatable,
      open->completion.has_value(),
      /*tied=*/false,
      DrawSeed()};
  m_open.Insert(open->id, open);
  {
    std::scoped_lock lock(open->mutex);
    open->life.emplace(std::move(plan), attempts::RequestOptions{},
                       BudgetOf(*open->state, service), now);
    CarryOut(*open, open->life->Begin(now));
  }
  ScheduleTick(open);
}

template <class E>
void Dispatcher::Feed(const OpenPtr& open, E event) {
  {
    std::scoped_lock lock(open->mutex);
    if (!open->life) return;
    const int64_t dropped = open->life->dropped().Total();
    CarryOut(*open, open->life->On(std::move(event), Now()));
    if (open->life->dropped().Total() != dropped) {
      events::Log(EventId::kChunkDropped, {{"request", open->id.value()}});
    }
  }
  ScheduleTick(open);
}

template <class E>
void Dispatcher::FeedAll(const E& event) {
  for (const OpenPtr& open : m_open.Values()) Feed(open, event);
}

void Dispatcher::ScheduleTick(const OpenPtr& open) {
  TimePoint due;
  {
    std::scoped_lock lock(open->mutex);
    if (open->life->answered()) return;
    due = open->life->NextTickTime();
    if (open->tick_at && *open->tick_at <= due) return;
    open->tick_at = due;
  }
  std::weak_ptr<Open> weak = open;
  m_threads.RunAfter(due - Now(), [self = shared_from_this(), weak] {
    const OpenPtr still_open = weak.lock();
    if (!still_open) return;
    {
      std::scoped_lock lock(still_open->mutex);
      still_open->tick_at.reset();
    }
    self->Feed(still_open, attempts::Tick{});
  });
}

void Dispatcher::NoteLoad(const wire::Frame& frame) {
  if (frame.__isset.granted) m_placer.OnLoad(frame.granted.load);
  if (frame.__isset.queued) m_placer.OnLoad(frame.queued.load);
  if (!frame.__isset.refused) return;
  const wire::Refused& refused = frame.refused;
  m_placer.OnLoad(refused.load);
  m_placer.OnRefused(EngineId(refused.load.engine),
                     std::chrono::milliseconds(refused.retry_after_ms));
}

void Dispatcher::OnFrame(const HostId& host, wire::Frame frame) {
  NoteLoad(frame);
  if (frame.__isset.chunk) {
    OnChunk(std::move(frame.chunk));
  } else if (frame.__isset.granted) {
    OnGranted(host, frame.granted);
  } else if (frame.__isset.queued) {
    const Duration start =
        std::chrono::milliseconds(frame.queued.estimated_start_ms);
    FeedTo(attempts::Queued{wire::FromWire(frame.queued.attempt), start});
  } else if (frame.__isset.finished) {
    const AttemptId attempt = wire::FromWire(frame.finished.attempt);
    NoteHealth(attempt, true);
    FeedTo(attempts::Finished{attempt, CompletionOf(frame.finished)});
  } else if (frame.__isset.failed) {
    OnFailed(frame.failed);
  } else if (frame.__isset.refused) {
    FeedTo(attempts::Refused{wire::FromWire(frame.refused.attempt),
                             ErrorOf(frame.refused)});
  }
}

template <class E>
bool Dispatcher::FeedTo(E event) {
  const auto open = m_open.Find(event.attempt.request);
  if (open) Feed(*open, std::move(event));
  return open.has_value();
}

void Dispatcher::OnGranted(const HostId& host, const wire::Granted& granted) {
  const AttemptId attempt = wire::FromWire(granted.attempt);
  if (FeedTo(attempts::Granted{attempt, granted.epoch})) return;
  // The request was answered meanwhile; nobody else would free the grant.
  const wire::ChannelPtr channel = m_links->Find(host);
  if (channel) channel->Send(CancelFrame(attempt, ErrorCode::kCancelled, {}));
}

void Dispatcher::OnChunk(wire::Chunk chunk) {
  const AttemptId attempt = wire::FromWire(chunk.attempt);
  if (chunk.offset == 0) NoteHealth(attempt, true);
  FeedTo(attempts::ChunkArrived{attempt, chunk.offset, std::move(chunk.data)});
}

void Dispatcher::OnFailed(const wire::Failed& failed) {
  const AttemptId attempt = wire::FromWire(failed.attempt);
  const Error error = ErrorOf(failed);
  events::Log(EventId::kAttemptFailed, {{"attempt", attempt.ToString()},
                                        {"code", failed.code},
                                        {"detail", failed.detail}});
  if (SpeaksAgainstEngine(error.code)) NoteHealth(attempt, false);
  FeedTo(attempts::Failed{attempt, error});
}

void Dispatcher::Abandon(const RequestId& id) {
  if (const auto open = m_open.Find(id)) {
    Feed(*open, attempts::CallerDisconnected{});
  }
}

void Dispatcher::OnLost(const HostId& host) {
  FeedAll(attempts::ConnectionLost{host});
}

void Dispatcher::OnOpened(const HostId& host) {
  FeedAll(attempts::ConnectionRestored{host});
}

std::optional<attempts::RequestTrace> Dispatcher::Explain(
    const RequestId& id) const {
  if (const auto open = m_open.Find(id)) {
    std::scoped_lock lock((*open)->mutex);
    if ((*open)->life) return (*open)->life->trace();
  }
  return m_traces.Find(id);
}

void Dispatcher::NoteHealth(const AttemptId& attempt, bool healthy) {
  const auto open = m_open.Find(attempt.request);
  if (!open) return;
  EngineId engine;
  {
    std::scoped_lock lock((*open)->mutex);
    auto it = (*open)->engines.find(attempt.number);
    if (it == (*open)->engines.end()) return;
    engine = it->second;
  }
  const auto breaker = BreakerOf(engine);
  if (healthy) {
    breaker->NoteSuccess();
  } else {
    breaker->NoteFailure(Now());
  }
}

std::shared_ptr<attempts::RetryBudget> Dispatcher::BudgetOf(
    const control::ControlState& state, const std::string& service) {
  std::scoped_lock lock(m_services_mutex);
  auto& budget = m_budgets[service];
  if (budget) return budget;
  double fraction = control::ServiceConfig().retry_fraction;
  for (const control::ServiceConfig& config : state.configuration->services) {
    if (config.name == service || config.model == service) {
      fraction = config.retry_fraction;
    }
  }
  budget = std::make_shared<attempts::RetryBudget>(fraction);
  return budget;
}

std::shared_ptr<attempts::CircuitBreaker> Dispatcher::BreakerOf(
    const EngineId& engine) {
  if (const auto known = m_breakers.Find(engine)) return *known;
  m_breakers.Insert(engine, std::make_shared<attempts::CircuitBreaker>());
  return *m_breakers.Find(engine);
}

}  // namespace peridotshelf::entry
