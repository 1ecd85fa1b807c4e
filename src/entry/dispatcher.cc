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

/// Returns whether the failure indicates an unhealthy engine or side.
bool IndicatesUnhealthyEngine(ErrorCode code) {
  return code == ErrorCode::kBackendFailed ||
         code == ErrorCode::kConnectionLost || code == ErrorCode::kInternal;
}

}  // namespace

void Dispatcher::Submit(const control::ControlStatePtr& state,
                        CompletionRequest request, AnswerCallbacks answer) {
  const bool unrepeatable = request.options.unrepeatable.value_or(false);
  if (unrepeatable && !request.options.idempotency_key.empty()) {
    // Key owners record the idempotency keys of plain services only.
    answer.on_failed(
        {ErrorCode::kInvalidField,
         "Idempotency-Key: not allowed for unrepeatable completions",
         true,
         {}});
    return;
  }
  const Result<TeamAllocationPtr> team_allocation =
      m_placer.Admit(*state, request);
  if (!team_allocation) {
    answer.on_failed(team_allocation.error());
    return;
  }
  auto context = std::make_shared<RequestContext>();
  context->id = request.id;
  context->state = state;
  context->answer = std::move(answer);
  context->team_allocation = *team_allocation;
  context->unrepeatable = unrepeatable;
  const std::string service = request.model;
  const CallerOptions options = request.options;
  context->completion = std::move(request);
  Begin(context, service, options);
}

void Dispatcher::SubmitCall(const control::ControlStatePtr& state,
                            ServiceRequest request, AnswerCallbacks answer) {
  auto context = std::make_shared<RequestContext>();
  context->id = request.id;
  context->state = state;
  context->answer = std::move(answer);
  context->unrepeatable = IsUnrepeatable(*state, request);
  const std::string service = request.service;
  const CallerOptions options = request.options;
  context->call = std::move(request);
  Begin(context, service, options);
}

void Dispatcher::Begin(const RequestContextPtr& context,
                       const std::string& service,
                       const CallerOptions& options) {
  const TimePoint now = Now();
  attempts::RequestParameters parameters{
      context->id,
      service,
      RequestDeadline::FromRemaining(now, options.timeout),
      !context->unrepeatable,
      context->completion.has_value(),
      /*tied=*/false,
      DrawSeed()};
  m_contexts.Insert(context->id, context);
  {
    std::scoped_lock lock(context->mutex);
    context->state_machine.emplace(
        std::move(parameters), attempts::RequestOptions{},
        RetryBudgetFor(*context->state, service), now);
    ExecuteCommands(*context, context->state_machine->Begin(now));
  }
  ScheduleTick(context);
}

template <class E>
void Dispatcher::Feed(const RequestContextPtr& context, E event) {
  {
    std::scoped_lock lock(context->mutex);
    if (!context->state_machine) return;
    const int64_t dropped = context->state_machine->dropped().Total();
    ExecuteCommands(*context,
                    context->state_machine->On(std::move(event), Now()));
    if (context->state_machine->dropped().Total() != dropped) {
      events::Log(EventId::kChunkDropped, {{"request", context->id.value()}});
    }
  }
  ScheduleTick(context);
}

template <class E>
void Dispatcher::FeedToAll(const E& event) {
  for (const RequestContextPtr& context : m_contexts.Values())
    Feed(context, event);
}

void Dispatcher::ScheduleTick(const RequestContextPtr& context) {
  TimePoint due;
  {
    std::scoped_lock lock(context->mutex);
    if (context->state_machine->answered()) return;
    due = context->state_machine->NextTickTime();
    if (context->next_tick && *context->next_tick <= due) return;
    context->next_tick = due;
  }
  std::weak_ptr<RequestContext> weak = context;
  m_threads.RunAfter(due - Now(), [self = shared_from_this(), weak] {
    const RequestContextPtr locked = weak.lock();
    if (!locked) return;
    {
      std::scoped_lock lock(locked->mutex);
      locked->next_tick.reset();
    }
    self->Feed(locked, attempts::Tick{});
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
    FeedToRequest(
        attempts::Queued{wire::FromWire(frame.queued.attempt), start});
  } else if (frame.__isset.finished) {
    const AttemptId attempt = wire::FromWire(frame.finished.attempt);
    NoteHealth(attempt, true);
    FeedToRequest(attempts::Finished{attempt, ToCompletion(frame.finished)});
  } else if (frame.__isset.failed) {
    OnFailed(frame.failed);
  } else if (frame.__isset.refused) {
    FeedToRequest(attempts::Refused{wire::FromWire(frame.refused.attempt),
                                    ToError(frame.refused)});
  }
}

template <class E>
bool Dispatcher::FeedToRequest(E event) {
  const auto context = m_contexts.Find(event.attempt.request);
  if (context) Feed(*context, std::move(event));
  return context.has_value();
}

void Dispatcher::OnGranted(const HostId& host, const wire::Granted& granted) {
  const AttemptId attempt = wire::FromWire(granted.attempt);
  if (FeedToRequest(attempts::Granted{attempt, granted.epoch})) return;
  // The request already has its final answer, so nothing else would release
  // the granted reservation.
  const wire::ChannelPtr channel = m_links->Find(host);
  if (channel)
    channel->Send(MakeCancelFrame(attempt, ErrorCode::kCancelled, {}));
}

void Dispatcher::OnChunk(wire::Chunk chunk) {
  const AttemptId attempt = wire::FromWire(chunk.attempt);
  if (chunk.offset == 0) NoteHealth(attempt, true);
  FeedToRequest(
      attempts::ChunkArrived{attempt, chunk.offset, std::move(chunk.data)});
}

void Dispatcher::OnFailed(const wire::Failed& failed) {
  const AttemptId attempt = wire::FromWire(failed.attempt);
  const Error error = ToError(failed);
  events::Log(EventId::kAttemptFailed, {{"attempt", attempt.ToString()},
                                        {"code", failed.code},
                                        {"detail", failed.detail}});
  if (IndicatesUnhealthyEngine(error.code)) NoteHealth(attempt, false);
  FeedToRequest(attempts::Failed{attempt, error});
}

void Dispatcher::OnCallerDisconnected(const RequestId& id) {
  if (const auto context = m_contexts.Find(id)) {
    Feed(*context, attempts::CallerDisconnected{});
  }
}

void Dispatcher::OnConnectionLost(const HostId& host) {
  FeedToAll(attempts::ConnectionLost{host});
}

void Dispatcher::OnConnectionOpened(const HostId& host) {
  FeedToAll(attempts::ConnectionRestored{host});
}

std::optional<attempts::RequestTrace> Dispatcher::FindTrace(
    const RequestId& id) const {
  if (const auto context = m_contexts.Find(id)) {
    std::scoped_lock lock((*context)->mutex);
    if ((*context)->state_machine) return (*context)->state_machine->trace();
  }
  return m_traces.Find(id);
}

void Dispatcher::NoteHealth(const AttemptId& attempt, bool healthy) {
  const auto context = m_contexts.Find(attempt.request);
  if (!context) return;
  EngineId engine;
  {
    std::scoped_lock lock((*context)->mutex);
    auto it = (*context)->engines.find(attempt.number);
    if (it == (*context)->engines.end()) return;
    engine = it->second;
  }
  const auto breaker = BreakerFor(engine);
  if (healthy) {
    breaker->NoteSuccess();
  } else {
    breaker->NoteFailure(Now());
  }
}

std::shared_ptr<attempts::RetryBudget> Dispatcher::RetryBudgetFor(
    const control::ControlState& state, const std::string& service) {
  std::scoped_lock lock(m_retry_budgets_mutex);
  auto& budget = m_retry_budgets[service];
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

std::shared_ptr<attempts::CircuitBreaker> Dispatcher::BreakerFor(
    const EngineId& engine) {
  if (const auto known = m_breakers.Find(engine)) return *known;
  m_breakers.Insert(engine, std::make_shared<attempts::CircuitBreaker>());
  return *m_breakers.Find(engine);
}

}  // namespace peridotshelf::entry
