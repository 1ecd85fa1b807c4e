#include "side/execution.h"

#include <utility>

#include "peridotshelf/events/log.h"
#include "peridotshelf/wire/codec.h"

namespace peridotshelf::side {
namespace {

using events::EventId;

constexpr Duration kRecoverRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kStreamResumeDelay = std::chrono::milliseconds(50);
constexpr int32_t kMaxConsecutiveBreaks = 3;

TimePoint Now() { return SteadyClock().Now(); }

}  // namespace

void Executions::Recover(const EnginePtr& engine) {
  engine->client.ListStreams(
      [self = shared_from_this(),
       engine](const Result<std::vector<backend::EngineStream>>& streams) {
        if (streams) {
          self->AdoptStreams(engine, *streams);
          return;
        }
        events::Log(EventId::kBackendCallFailed,
                    {{"engine", engine->config.id.value()},
                     {"detail", streams.error().detail}});
        self->m_threads.RunAfter(kRecoverRetryDelay,
                                 [self, engine] { self->Recover(engine); });
      });
}

void Executions::AdoptStreams(
    const EnginePtr& engine,
    const std::vector<backend::EngineStream>& streams) {
  engine->admission.Rebuild(streams, Now());
  std::vector<AttemptId> running;
  for (const backend::EngineStream& stream : streams) {
    auto execution = std::make_shared<Execution>();
    execution->attempt = stream.attempt;
    execution->engine = engine;
    if (m_executions.Insert(stream.attempt, execution)) {
      running.push_back(stream.attempt);
    }
  }
  m_streams->Recover(running);
  engine->recovered = true;
}

void Executions::Reserve(const EnginePtr& engine,
                         const wire::ChannelPtr& channel,
                         const wire::Reserve& reserve) {
  const AttemptId attempt = wire::FromWire(reserve.attempt);
  const Result<void> admitted = m_streams->Admit(
      channel, attempt, std::chrono::milliseconds(reserve.remaining_ms));
  if (!admitted) {
    SendFailed(*channel, attempt, admitted.error());
    return;
  }
  auto execution = std::make_shared<Execution>();
  execution->attempt = attempt;
  execution->engine = engine;
  execution->run.attempt = attempt;
  execution->run.priority = reserve.priority;
  // Inserted before the reservation, since a tick may grant it at any time.
  m_executions.Insert(attempt, execution);
  const wire::Frame frame = engine->admission.Reserve(
      reserve, ProcessId(channel->peer().process_id), Now());
  if (frame.__isset.refused || frame.__isset.failed) {
    m_executions.Take(attempt);
    m_streams->Cancel(nullptr, attempt, ErrorCode::kOverloaded);
  }
  channel->Send(frame);
}

void Executions::TickEngine(const EnginePtr& engine, bool leaving) {
  ApplyTick(engine, engine->admission.SetLeaving(leaving, Now()));
  ApplyTick(engine, engine->admission.Tick(Now()));
}

void Executions::ApplyTick(const EnginePtr& engine, const AdmissionTick& tick) {
  for (const auto& [attempt, frame] : tick.frames) {
    if (frame.__isset.refused || frame.__isset.failed) {
      m_executions.Take(attempt);
      m_streams->Cancel(nullptr, attempt, ErrorCode::kOverloaded);
    }
    m_streams->Send(attempt, frame);
  }
  for (const AttemptId& attempt : tick.cancels) {
    m_streams->Cancel(nullptr, attempt, ErrorCode::kCancelled);
    if (const auto found = m_executions.Find(attempt)) {
      CancelAtEngine(*found);
      continue;
    }
    auto unknown = std::make_shared<Execution>();
    unknown->attempt = attempt;
    unknown->engine = engine;
    CancelAtEngine(unknown);
  }
}

void Executions::Claim(const AttemptId& attempt, const ProcessId& owner) {
  const auto found = m_executions.Find(attempt);
  if (found) (*found)->engine->admission.Claim(attempt, owner, Now());
}

void Executions::Start(const wire::ChannelPtr& channel,
                       const wire::Start& start) {
  const AttemptId attempt = wire::FromWire(start.attempt);
  const auto found = m_executions.Find(attempt);
  if (!found) {
    // The execution table returns the reason: cancelled, expired, or granted
    // before a restart.
    const auto decision = m_streams->Start(attempt, start.epoch);
    if (!decision) SendFailed(*channel, attempt, decision.error());
    return;
  }
  {
    std::scoped_lock lock((*found)->mutex);
    (*found)->epoch = start.epoch;
    (*found)->run.model = start.model;
    (*found)->run.max_tokens = start.max_tokens;
    (*found)->run.epoch = m_streams->epoch();
    (*found)->run.prompt_json = start.payload;
  }
  if (start.payload_ends) Run(channel, *found);
}

void Executions::AddPayload(const wire::ChannelPtr& channel,
                            const wire::PayloadPart& part) {
  const auto found = m_executions.Find(wire::FromWire(part.attempt));
  // The entry has received the error as the reply to its Start or Cancel.
  if (!found) return;
  {
    std::scoped_lock lock((*found)->mutex);
    (*found)->run.prompt_json += part.payload;
  }
  if (part.payload_ends) Run(channel, *found);
}

void Executions::Run(const wire::ChannelPtr& channel,
                     const ExecutionPtr& execution) {
  backend::EngineRun run;
  {
    std::scoped_lock lock(execution->mutex);
    run = std::move(execution->run);
  }
  const Result<void> committed = execution->engine->admission.Commit(
      execution->attempt, execution->epoch, Now());
  if (!committed) {
    m_streams->Cancel(nullptr, execution->attempt, committed.error().code);
    m_executions.Take(execution->attempt);
    SendFailed(*channel, execution->attempt, committed.error());
    return;
  }
  const auto decision = m_streams->Start(execution->attempt, execution->epoch);
  if (!decision) {
    // The attempt has ended since the Commit; Release or OnDone releases its
    // allocation.
    SendFailed(*channel, execution->attempt, decision.error());
    return;
  }
  if (*decision == attempts::StartDecision::kDuplicate) return;
  events::Log(EventId::kAttemptStarted,
              {{"attempt", execution->attempt.ToString()},
               {"engine", execution->engine->config.id.value()}});
  execution->engine->client.Run(run, MakeCallbacks(execution));
}

backend::EngineCallbacks Executions::MakeCallbacks(
    const ExecutionPtr& execution) {
  auto self = shared_from_this();
  backend::EngineCallbacks callbacks;
  callbacks.on_chunk = [self, execution](const backend::EngineChunk& chunk) {
    if (chunk.offset == 0) {
      execution->engine->admission.EndPrefill(execution->attempt, Now());
    }
    {
      std::scoped_lock lock(execution->mutex);
      execution->next_offset = chunk.offset + 1;
      execution->consecutive_breaks = 0;
    }
    self->m_streams->Append(execution->attempt, chunk.offset, chunk.text);
  };
  callbacks.on_done = [self,
                       execution](const Result<backend::EngineUsage>& usage) {
    self->OnDone(execution, usage);
  };
  return callbacks;
}

void Executions::OnDone(const ExecutionPtr& execution,
                        const Result<backend::EngineUsage>& usage) {
  if (!usage && ResumeBrokenStream(execution, usage.error())) return;
  events::Log(EventId::kAttemptFinished,
              {{"attempt", execution->attempt.ToString()},
               {"whole", usage.has_value()}});
  if (usage) {
    m_streams->Finish(execution->attempt,
                      attempts::Completion{usage->chunks,
                                           200,
                                           {},
                                           usage->prompt_tokens,
                                           usage->cached_tokens});
    ReleaseAllocation(execution);
    return;
  }
  Error error = usage.error();
  {
    std::scoped_lock lock(execution->mutex);
    // If the stream was resumed, the error does not show whether the attempt
    // ran.
    const bool resumed =
        execution->next_offset > 0 || execution->consecutive_breaks > 0;
    error.not_run = error.not_run && !resumed;
  }
  error.code = ErrorCode::kBackendFailed;
  m_streams->Finish(execution->attempt, tl::unexpected<Error>(error));
  CancelAtEngine(execution);
}

bool Executions::ResumeBrokenStream(const ExecutionPtr& execution,
                                    const Error& error) {
  if (error.code != ErrorCode::kConnectionLost) return false;
  // The stream of a cancelled attempt ends with the same error.
  if (!m_executions.Find(execution->attempt)) return true;
  int64_t from_offset = 0;
  {
    std::scoped_lock lock(execution->mutex);
    const bool was_never_sent = error.not_run && execution->next_offset == 0 &&
                                execution->consecutive_breaks == 0;
    if (was_never_sent ||
        ++execution->consecutive_breaks > kMaxConsecutiveBreaks)
      return false;
    from_offset = execution->next_offset;
  }
  m_threads.RunAfter(
      kStreamResumeDelay, [self = shared_from_this(), execution, from_offset] {
        execution->engine->client.Resume(execution->attempt, from_offset,
                                         self->MakeCallbacks(execution));
      });
  return true;
}

void Executions::ResumeAtEngine(const AttemptId& attempt, int64_t from_offset) {
  const auto found = m_executions.Find(attempt);
  if (!found) return;
  {
    std::scoped_lock lock((*found)->mutex);
    (*found)->next_offset = from_offset;
    // Marks the stream as resumed, also at offset 0, so that an error is not
    // reported as `not_run`.
    (*found)->consecutive_breaks = 1;
  }
  (*found)->engine->client.Resume(attempt, from_offset, MakeCallbacks(*found));
}

void Executions::Release(const AttemptId& attempt, bool cancel_at_engine) {
  const auto found = m_executions.Find(attempt);
  if (!found) return;
  events::Log(EventId::kAttemptCancelled, {{"attempt", attempt.ToString()}});
  const ledger::CancelResult result =
      (*found)->engine->admission.Cancel(attempt, Now());
  if (cancel_at_engine || result == ledger::CancelResult::kRunning) {
    CancelAtEngine(*found);
  } else {
    ReleaseAllocation(*found);
  }
}

void Executions::CancelAtEngine(const ExecutionPtr& execution) {
  // Memory stays allocated until the engine confirms the cancel; the
  // admission's Tick resends a cancel that failed. An engine that accepts no
  // connection is down and has no memory in use.
  execution->engine->admission.Cancel(execution->attempt, Now());
  execution->engine->client.Cancel(
      execution->attempt,
      [self = shared_from_this(), execution](const Result<void>& cancelled) {
        if (cancelled || cancelled.error().not_run)
          self->ReleaseAllocation(execution);
      });
}

void Executions::ReleaseAllocation(const ExecutionPtr& execution) {
  execution->engine->admission.Release(execution->attempt, Now());
  m_executions.Take(execution->attempt);
}

}  // namespace peridotshelf::side
