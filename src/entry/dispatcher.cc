#include "entry/dispatcher.h"

#include "peridotshelf/events/log.h"

namespace peridotshelf::entry {
namespace {

using events::EventId;

constexpr Duration kRetryAfter = std::chrono::seconds(1);
/// How long engines of a host are avoided whose connection was lost.
constexpr Duration kLostHostAvoided = std::chrono::seconds(1);

TimePoint Now() { return SteadyClock().Now(); }

Error FromWire(const wire::Failed& failed) {
  Error error;
  error.code = ParseErrorCode(failed.code).value_or(ErrorCode::kProtocol);
  error.detail = failed.detail;
  error.not_run = failed.not_run;
  if (failed.retry_after_ms > 0) {
    error.retry_after = std::chrono::milliseconds(failed.retry_after_ms);
  }
  return error;
}

Error FromWire(const wire::Refused& refused) {
  Error error;
  error.code = ParseErrorCode(refused.code).value_or(ErrorCode::kProtocol);
  error.detail = refused.detail;
  error.not_run = true;
  if (refused.retry_after_ms > 0) {
    error.retry_after = std::chrono::milliseconds(refused.retry_after_ms);
  }
  return error;
}

}  // namespace

Dispatcher::OpenPtr Dispatcher::Add(const RequestId& id,
                                    const CallerTerms& terms,
                                    const HostId& host,
                                    AnswerCallbacks answer) {
  auto open =
      std::make_shared<Open>(Budget::FromRemaining(Now(), terms.timeout));
  open->attempt = {id, 1};
  open->host = host;
  open->answer = std::move(answer);
  m_open.Insert(id, open);
  std::weak_ptr<Open> weak = open;
  m_threads.After(terms.timeout, [self = shared_from_this(), weak] {
    const OpenPtr late = weak.lock();
    if (!late) return;
    bool started = false;
    {
      std::scoped_lock lock(late->mutex);
      if (late->ended) return;
      started = late->started;
    }
    self->CancelAtSide(late, ErrorCode::kOutOfTime);
    self->Fail(
        late,
        {ErrorCode::kOutOfTime, "the caller's time passed", !started, {}});
  });
  return open;
}

Reachable Dispatcher::IsReachable() const {
  return [this](const HostId& host) { return m_links->Find(host) != nullptr; };
}

void Dispatcher::Submit(const control::ControlStatePtr& state,
                        CompletionRequest request, AnswerCallbacks answer) {
  const Result<TeamHoldPtr> team_hold = m_placer.Admit(*state, request);
  if (!team_hold) {
    answer.on_failed(team_hold.error());
    return;
  }
  const auto placed = m_placer.Place(state, request, {}, IsReachable());
  if (!placed) {
    Error error = placed.error();
    error.not_run = true;
    if (error.code == ErrorCode::kNoBackend) error.retry_after = kRetryAfter;
    answer.on_failed(error);
    return;
  }
  const policy::PlacementResult::Candidate& chosen = placed->candidates.front();
  const wire::ChannelPtr channel = m_links->Find(chosen.host);
  if (!channel) {
    answer.on_failed(
        {ErrorCode::kNoBackend, "no connection", true, kRetryAfter});
    return;
  }
  wire::Reserve reserve;
  reserve.engine = chosen.engine.value();
  reserve.priority = PriorityOf(*state, request.model, request.terms.team);
  reserve.team = request.terms.team.value();
  reserve.prompt_tokens = request.prompt_tokens;
  reserve.max_tokens = request.max_tokens;
  reserve.remaining_ms = ToMilliseconds(request.terms.timeout);
  reserve.control_version = state->version;
  OpenPtr open = Add(request.id, request.terms, chosen.host, std::move(answer));
  reserve.attempt = wire::ToWire(open->attempt);
  {
    std::scoped_lock lock(open->mutex);
    open->engine = chosen.engine;
    open->team_hold = *team_hold;
    open->completion = std::move(request);
  }
  wire::Frame frame;
  frame.__set_reserve(reserve);
  channel->Send(frame);
}

void Dispatcher::SubmitCall(const control::ControlStatePtr& state,
                            ServiceRequest request, AnswerCallbacks answer) {
  const Result<Candidate> candidate =
      PlaceServiceCall(*state, request, IsReachable());
  if (!candidate) {
    Error error = candidate.error();
    error.not_run = true;
    if (error.code == ErrorCode::kNoBackend) error.retry_after = kRetryAfter;
    answer.on_failed(error);
    return;
  }
  const wire::ChannelPtr channel = m_links->Find(candidate->host);
  if (!channel) {
    answer.on_failed(
        {ErrorCode::kNoBackend, "no connection", true, kRetryAfter});
    return;
  }
  OpenPtr open =
      Add(request.id, request.terms, candidate->host, std::move(answer));
  wire::Frame frame;
  wire::ServiceCall& call = frame.service_call;
  call.attempt = wire::ToWire(open->attempt);
  call.backend = candidate->backend;
  call.method = std::move(request.method);
  call.target = std::move(request.target);
  call.content_type = std::move(request.content_type);
  call.payload = std::move(request.body);
  call.remaining_ms = ToMilliseconds(request.terms.timeout);
  call.idempotency_key = std::move(request.terms.idempotency_key);
  call.control_version = state->version;
  frame.__isset.service_call = true;
  {
    std::scoped_lock lock(open->mutex);
    open->started = true;
  }
  channel->Send(frame);
}

Dispatcher::OpenPtr Dispatcher::FindAttempt(const wire::Attempt& attempt) {
  const auto found = m_open.Find(RequestId(attempt.request));
  if (!found) return nullptr;
  std::scoped_lock lock((*found)->mutex);
  return (*found)->attempt.number == attempt.number ? *found : nullptr;
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

void Dispatcher::OnFrame(const HostId& /*host*/, const wire::Frame& frame) {
  NoteLoad(frame);
  if (frame.__isset.granted) {
    if (auto open = FindAttempt(frame.granted.attempt)) {
      OnGranted(open, frame.granted);
    }
  } else if (frame.__isset.chunk) {
    if (auto open = FindAttempt(frame.chunk.attempt)) {
      OnChunk(open, frame.chunk);
    }
  } else if (frame.__isset.finished) {
    if (auto open = FindAttempt(frame.finished.attempt)) {
      OnFinished(open, frame.finished);
    }
  } else if (frame.__isset.failed) {
    if (auto open = FindAttempt(frame.failed.attempt)) {
      Fail(open, FromWire(frame.failed));
    }
  } else if (frame.__isset.refused) {
    if (auto open = FindAttempt(frame.refused.attempt)) {
      Fail(open, FromWire(frame.refused));
    }
  }
}

void Dispatcher::OnGranted(const OpenPtr& open, const wire::Granted& granted) {
  const wire::ChannelPtr channel = m_links->Find(open->host);
  if (!channel) return;
  std::scoped_lock lock(open->mutex);
  if (open->ended || open->started) return;
  open->started = true;
  std::string_view rest = open->completion.prompt_json;
  const std::string_view first = rest.substr(0, wire::kPayloadPartBytes);
  rest.remove_prefix(first.size());
  wire::Frame frame;
  frame.start.attempt = granted.attempt;
  frame.start.epoch = granted.epoch;
  frame.start.model = open->completion.model;
  frame.start.max_tokens = open->completion.max_tokens;
  frame.start.remaining_ms = ToMilliseconds(open->budget.Remaining(Now()));
  frame.start.payload = first;
  frame.start.payload_ends = rest.empty();
  frame.__isset.start = true;
  channel->Send(frame);
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, wire::kPayloadPartBytes);
    rest.remove_prefix(part.size());
    wire::Frame next;
    next.payload_part.attempt = granted.attempt;
    next.payload_part.payload = part;
    next.payload_part.payload_ends = rest.empty();
    next.__isset.payload_part = true;
    channel->Send(next);
  }
}

void Dispatcher::OnChunk(const OpenPtr& open, const wire::Chunk& chunk) {
  std::scoped_lock lock(open->mutex);
  if (open->ended) return;
  if (chunk.offset != open->next_offset) {
    events::Log(
        EventId::kChunkDropped,
        {{"request", open->attempt.request.value()}, {"offset", chunk.offset}});
    return;
  }
  ++open->next_offset;
  open->answer.on_chunk(chunk.data);
}

void Dispatcher::OnFinished(const OpenPtr& open,
                            const wire::Finished& finished) {
  bool whole = false;
  {
    std::scoped_lock lock(open->mutex);
    if (open->ended) return;
    whole = finished.chunks == open->next_offset;
    if (whole) {
      open->ended = true;
      AnswerSummary summary;
      summary.chunks = finished.chunks;
      summary.prompt_tokens = finished.prompt_tokens;
      summary.cached_tokens = finished.cached_tokens;
      summary.http_status = finished.http_status;
      summary.content_type = finished.content_type;
      open->answer.on_finished(summary);
    }
  }
  if (!whole) {
    Fail(open, {ErrorCode::kBackendFailed, "chunks are missing", false, {}});
    return;
  }
  m_open.Take(open->attempt.request);
}

void Dispatcher::Fail(const OpenPtr& open, const Error& error) {
  {
    std::scoped_lock lock(open->mutex);
    if (open->ended) return;
    open->ended = true;
    open->answer.on_failed(error);
  }
  m_open.Take(open->attempt.request);
}

void Dispatcher::CancelAtSide(const OpenPtr& open, ErrorCode code) {
  const wire::ChannelPtr channel = m_links->Find(open->host);
  if (!channel) return;
  wire::Frame frame;
  frame.cancel.attempt = wire::ToWire(open->attempt);
  frame.cancel.code = ToString(code);
  frame.__isset.cancel = true;
  channel->Send(frame);
}

void Dispatcher::Abandon(const RequestId& id) {
  const auto found = m_open.Find(id);
  if (!found) return;
  CancelAtSide(*found, ErrorCode::kCancelled);
  Fail(*found, {ErrorCode::kCancelled, "the caller hung up", false, {}});
}

void Dispatcher::OnLost(const HostId& host) {
  for (const OpenPtr& open : m_open.Values()) {
    bool started = false;
    {
      std::scoped_lock lock(open->mutex);
      if (open->host != host) continue;
      started = open->started;
      m_placer.OnRefused(open->engine, kLostHostAvoided);
    }
    Fail(open, {ErrorCode::kConnectionLost, host.value(), !started, {}});
  }
}

}  // namespace peridotshelf::entry
