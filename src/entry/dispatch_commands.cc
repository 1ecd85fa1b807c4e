#include <algorithm>
#include <utility>

#include "entry/attempt_frames.h"
#include "entry/dispatcher.h"
#include "entry/home_placement.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::entry {
namespace {

using events::EventId;

/// Draws of a candidate before an engine to be avoided is accepted.
constexpr int kPlacementDraws = 16;

TimePoint Now() { return SteadyClock().Now(); }

void Append(attempts::Commands& more, attempts::Commands commands) {
  std::move(commands.begin(), commands.end(), std::back_inserter(more));
}

}  // namespace

void Dispatcher::CarryOut(Open& open, attempts::Commands commands) {
  while (!commands.empty()) {
    attempts::Commands more;
    for (const attempts::Command& command : commands) {
      std::visit([&](const auto& c) { Handle(open, c, more); }, command);
    }
    commands = std::move(more);
  }
}

Result<Candidate> Dispatcher::ChooseOnce(const Open& open) const {
  const Reachable reachable = [this](const HostId& host) {
    return m_links->Find(host) != nullptr;
  };
  if (open.completion) {
    return PlaceCompletion(*open.state, *open.completion, reachable);
  }
  if (open.unrepeatable && !open.call->terms.idempotency_key.empty()) {
    return PlaceAtHome(*open.state, *open.call);
  }
  return PlaceServiceCall(*open.state, *open.call, reachable);
}

Result<Candidate> Dispatcher::Choose(const Open& open,
                                     const attempts::Place& command) {
  std::optional<Candidate> second_best;
  for (int draw = 0; draw < kPlacementDraws; ++draw) {
    Result<Candidate> candidate = ChooseOnce(open);
    if (!candidate) return candidate;
    if (m_links->Find(candidate->host) == nullptr) continue;
    const EngineId engine(candidate->backend);
    const bool avoided = std::find(command.avoid.begin(), command.avoid.end(),
                                   engine) != command.avoid.end();
    if (!avoided && BreakerOf(engine)->Allow(Now())) return candidate;
    second_best = *candidate;
  }
  if (second_best) return *second_best;
  return Fail(ErrorCode::kNoBackend, "no connection to any side");
}

attempts::HeardVersions Dispatcher::HeardFor(const Open& open) const {
  // Only the homes of keys ask for it, and it costs a look at every side.
  return open.unrepeatable ? m_links->Heard() : attempts::HeardVersions{};
}

void Dispatcher::Handle(Open& open, const attempts::Place& command,
                        attempts::Commands& more) {
  attempts::Placed placed;
  const Result<Candidate> candidate = Choose(open, command);
  if (candidate) {
    placed.candidates.push_back(
        {EngineId(candidate->backend), candidate->host});
  } else {
    placed.error = candidate.error();
  }
  Append(more, open.life->On(placed, Now()));
}

void Dispatcher::Unsent(Open& open, const AttemptId& attempt,
                        const HostId& host, attempts::Commands& more) {
  const Error error{ErrorCode::kNoBackend,
                    "no connection to " + host.value(),
                    /*not_run=*/true,
                    {}};
  Append(more, open.life->On(attempts::Refused{attempt, error}, Now()));
}

void Dispatcher::Handle(Open& open, const attempts::Reserve& command,
                        attempts::Commands& more) {
  open.engines[command.attempt.number] = command.candidate.engine;
  const wire::ChannelPtr channel = m_links->Find(command.candidate.host);
  if (!channel) {
    Unsent(open, command.attempt, command.candidate.host, more);
    return;
  }
  channel->Send(ReserveFrame(command, *open.completion, open.unrepeatable,
                             *open.state, HeardFor(open)));
}

void Dispatcher::Handle(Open& open, const attempts::Start& command,
                        attempts::Commands& more) {
  open.engines[command.attempt.number] = command.candidate.engine;
  const wire::ChannelPtr channel = m_links->Find(command.candidate.host);
  if (!channel) {
    Unsent(open, command.attempt, command.candidate.host, more);
    return;
  }
  open.start_processes[command.attempt.number] = channel->peer().process_id;
  if (open.completion) {
    SendStart(*channel, command, *open.completion);
  } else {
    channel->Send(ServiceCallFrame(command, *open.call, open.unrepeatable,
                                   *open.state, HeardFor(open)));
  }
}

void Dispatcher::Handle(Open& open, const attempts::Resume& command,
                        attempts::Commands&) {
  // Without a connection another ConnectionRestored follows.
  const wire::ChannelPtr channel = m_links->Find(command.host);
  if (!channel) return;
  channel->Send(
      ResumeFrame(command, open.start_processes[command.attempt.number]));
}

void Dispatcher::Handle(Open&, const attempts::Cancel& command,
                        attempts::Commands&) {
  // Without a connection the side's lease ends the attempt.
  const wire::ChannelPtr channel = m_links->Find(command.host);
  if (channel) channel->Send(CancelFrame(command.attempt, command.code));
}

void Dispatcher::Handle(Open& open, const attempts::DeliverChunk& command,
                        attempts::Commands&) {
  open.answer.on_chunk(command.data);
}

void Dispatcher::Handle(Open& open, const attempts::Answer& command,
                        attempts::Commands&) {
  if (command.result) {
    const attempts::Completion& completion = *command.result;
    events::Log(EventId::kRequestFinished, {{"request", open.id.value()}});
    AnswerSummary summary;
    summary.chunks = completion.chunks;
    summary.prompt_tokens = completion.prompt_tokens;
    summary.cached_tokens = completion.cached_tokens;
    summary.http_status = completion.http_status;
    summary.content_type = completion.content_type;
    open.answer.on_finished(summary);
  } else {
    const Error& error = command.result.error();
    events::Log(EventId::kRequestRefused, {{"request", open.id.value()},
                                           {"code", ToString(error.code)},
                                           {"not_run", error.not_run}});
    open.answer.on_failed(error);
  }
  if (open.answer.on_trace) open.answer.on_trace(open.life->trace());
  // The callbacks may own the caller's connection.
  open.answer = {};
  m_traces.Add(open.life->trace());
  m_open.Take(open.id);
}

}  // namespace peridotshelf::entry
