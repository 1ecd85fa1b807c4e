#include "side/execution.h"

#include "peridotshelf/events/log.h"

namespace peridotshelf::side {
namespace {

using events::EventId;

TimePoint Now() { return SteadyClock().Now(); }

void SendChunk(wire::Channel& channel, const AttemptId& attempt, int64_t offset,
               const std::string& data) {
  wire::Frame frame;
  frame.chunk.attempt = wire::ToWire(attempt);
  frame.chunk.offset = offset;
  frame.chunk.data = data;
  frame.__isset.chunk = true;
  channel.Send(frame);
}

}  // namespace

void SendFailed(wire::Channel& channel, const wire::Attempt& attempt,
                const Error& error) {
  wire::Failed failed;
  failed.attempt = attempt;
  failed.code = ToString(error.code);
  failed.detail = error.detail;
  failed.not_run = error.not_run;
  failed.retry_after_ms =
      error.retry_after ? ToMilliseconds(*error.retry_after) : 0;
  wire::Frame frame;
  frame.__set_failed(failed);
  channel.Send(frame);
}

void Executions::Reserve(const EnginePtr& engine,
                         const wire::ChannelPtr& channel,
                         const wire::Reserve& reserve) {
  auto execution = std::make_shared<Execution>();
  execution->attempt = wire::FromWire(reserve.attempt);
  execution->engine = engine;
  execution->channel = channel;
  execution->run.attempt = execution->attempt;
  execution->run.priority = reserve.priority;
  execution->run.max_tokens = reserve.max_tokens;
  // Known before it is granted: a tick may grant it at any moment.
  const bool added = m_executions.Insert(execution->attempt, execution);
  const wire::Frame frame = engine->admission.Reserve(
      reserve, ProcessId(channel->peer().process_id), Now());
  const bool ended = frame.__isset.refused || frame.__isset.failed;
  if (added && ended) m_executions.Take(execution->attempt);
  channel->Send(frame);
}

void Executions::Deliver(const EnginePtr& engine, const AdmissionTick& tick) {
  for (const auto& [attempt, frame] : tick.frames) {
    const auto found = m_executions.Find(attempt);
    if (!found) continue;
    if (frame.__isset.refused) m_executions.Take(attempt);
    std::scoped_lock lock((*found)->mutex);
    if (frame.__isset.refused) (*found)->ended = true;
    if ((*found)->channel) (*found)->channel->Send(frame);
  }
  for (const AttemptId& attempt : tick.cancels) {
    if (const auto found = m_executions.Find(attempt)) {
      CancelUnclaimed(*found);
      continue;
    }
    // Found at the engine after a restart and claimed by nobody.
    engine->client.Cancel(attempt, [engine, attempt](const Result<void>& done) {
      if (done) engine->admission.Release(attempt, Now());
    });
  }
}

void Executions::TickEngine(const EnginePtr& engine, bool leaving) {
  Deliver(engine, engine->admission.SetLeaving(leaving, Now()));
  Deliver(engine, engine->admission.Tick(Now()));
}

void Executions::Start(const wire::ChannelPtr& channel,
                       const wire::Start& start) {
  const auto found = m_executions.Find(wire::FromWire(start.attempt));
  if (!found || start.epoch != m_epoch) {
    SendFailed(*channel, start.attempt,
               {ErrorCode::kBackendFailed, "no reservation", true, {}});
    return;
  }
  {
    std::scoped_lock lock((*found)->mutex);
    (*found)->run.model = start.model;
    (*found)->run.epoch = m_epoch;
    (*found)->run.prompt_json = start.payload;
  }
  if (start.payload_ends) RunAtEngine(*found);
}

void Executions::AddPayload(const wire::ChannelPtr& channel,
                            const wire::PayloadPart& part) {
  const auto found = m_executions.Find(wire::FromWire(part.attempt));
  if (!found) {
    SendFailed(*channel, part.attempt,
               {ErrorCode::kBackendFailed, "no reservation", true, {}});
    return;
  }
  {
    std::scoped_lock lock((*found)->mutex);
    (*found)->run.prompt_json += part.payload;
  }
  if (part.payload_ends) RunAtEngine(*found);
}

void Executions::RunAtEngine(const ExecutionPtr& execution) {
  backend::EngineRun run;
  {
    std::scoped_lock lock(execution->mutex);
    if (execution->started || execution->ended) return;
    execution->started = true;
    run = std::move(execution->run);
  }
  const Result<void> committed =
      execution->engine->admission.Commit(execution->attempt, m_epoch, Now());
  if (!committed) {
    std::scoped_lock lock(execution->mutex);
    execution->ended = true;
    m_executions.Take(execution->attempt);
    if (execution->channel) {
      SendFailed(*execution->channel, wire::ToWire(execution->attempt),
                 committed.error());
    }
    return;
  }
  events::Log(EventId::kAttemptStarted,
              {{"attempt", execution->attempt.ToString()},
               {"engine", execution->engine->config.id.value()}});
  auto self = shared_from_this();
  execution->engine->client.Run(
      run, {[self, execution](backend::EngineChunk chunk) {
              self->OnChunk(execution, std::move(chunk));
            },
            [self, execution](const Result<backend::EngineUsage>& usage) {
              self->OnDone(execution, usage);
            }});
}

void Executions::OnChunk(const ExecutionPtr& execution,
                         backend::EngineChunk chunk) {
  std::scoped_lock lock(execution->mutex);
  if (execution->ended) return;
  if (chunk.offset != static_cast<int64_t>(execution->chunks.size())) {
    events::Log(
        EventId::kChunkDropped,
        {{"attempt", execution->attempt.ToString()}, {"offset", chunk.offset}});
    return;
  }
  if (chunk.offset == 0) {
    execution->engine->admission.EndPrefill(execution->attempt, Now());
  }
  if (execution->channel) {
    SendChunk(*execution->channel, execution->attempt, chunk.offset,
              chunk.text);
  }
  execution->chunks.push_back(std::move(chunk.text));
}

void Executions::OnDone(const ExecutionPtr& execution,
                        const Result<backend::EngineUsage>& usage) {
  {
    std::scoped_lock lock(execution->mutex);
    if (execution->ended) return;
    if (execution->channel && usage) {
      wire::Finished finished;
      finished.attempt = wire::ToWire(execution->attempt);
      finished.chunks = usage->chunks;
      finished.prompt_tokens = usage->prompt_tokens;
      finished.cached_tokens = usage->cached_tokens;
      wire::Frame frame;
      frame.__set_finished(finished);
      execution->channel->Send(frame);
    } else if (execution->channel) {
      SendFailed(*execution->channel, wire::ToWire(execution->attempt),
                 usage.error());
    }
  }
  events::Log(EventId::kAttemptFinished,
              {{"attempt", execution->attempt.ToString()},
               {"whole", usage.has_value()}});
  End(execution);
}

void Executions::End(const ExecutionPtr& execution) {
  {
    std::scoped_lock lock(execution->mutex);
    execution->ended = true;
  }
  execution->engine->admission.Release(execution->attempt, Now());
  m_executions.Take(execution->attempt);
}

void Executions::Cancel(const wire::ChannelPtr& channel,
                        const wire::Cancel& cancel) {
  const auto found = m_executions.Find(wire::FromWire(cancel.attempt));
  if (!found) return;
  const ExecutionPtr& execution = *found;
  bool started = false;
  {
    std::scoped_lock lock(execution->mutex);
    started = execution->started;
  }
  const auto result =
      execution->engine->admission.Cancel(execution->attempt, Now());
  const bool not_run =
      !started && result == ledger::CancelResult::kNeverStarted;
  SendFailed(*channel, cancel.attempt,
             {ErrorCode::kCancelled, cancel.code, not_run, {}});
  if (result == ledger::CancelResult::kRunning) {
    CancelUnclaimed(execution);
  } else {
    End(execution);
  }
}

void Executions::CancelUnclaimed(const ExecutionPtr& execution) {
  events::Log(EventId::kAttemptCancelled,
              {{"attempt", execution->attempt.ToString()}});
  auto self = shared_from_this();
  {
    std::scoped_lock lock(execution->mutex);
    execution->ended = true;
  }
  // Memory counts as held until the engine confirms that it is free.
  execution->engine->client.Cancel(execution->attempt,
                                   [self, execution](const Result<void>& done) {
                                     // The admission's next tick repeats a
                                     // cancel that failed.
                                     if (done) self->End(execution);
                                   });
}

void Executions::Resume(const wire::ChannelPtr& channel,
                        const wire::Resume& resume) {
  const auto found = m_executions.Find(wire::FromWire(resume.attempt));
  if (!found) {
    SendFailed(*channel, resume.attempt,
               {ErrorCode::kOutcomeUnknown, "unknown attempt", false, {}});
    return;
  }
  (*found)->engine->admission.Claim(
      (*found)->attempt, ProcessId(channel->peer().process_id), Now());
  std::scoped_lock lock((*found)->mutex);
  (*found)->channel = channel;
  const auto& chunks = (*found)->chunks;
  for (size_t i = static_cast<size_t>(resume.from_offset); i < chunks.size();
       ++i) {
    SendChunk(*channel, (*found)->attempt, static_cast<int64_t>(i), chunks[i]);
  }
}

void Executions::Detach(const wire::ChannelPtr& channel) {
  for (const ExecutionPtr& execution : m_executions.Values()) {
    std::scoped_lock lock(execution->mutex);
    if (execution->channel != channel) continue;
    execution->channel = nullptr;
    m_threads.After(m_lease, [self = shared_from_this(), execution] {
      {
        std::scoped_lock inner(execution->mutex);
        if (execution->channel || execution->ended) return;
      }
      self->CancelUnclaimed(execution);
    });
  }
}

}  // namespace peridotshelf::side
