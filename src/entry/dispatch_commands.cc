#include <algorithm>
#include <utility>

#include "entry/attempt_frames.h"
#include "entry/dispatcher.h"
#include "entry/key_owner_placement.h"
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

attempts::PlacementReply Dispatcher::PlacePrompt(
    Open& open, const attempts::Place& command) {
  attempts::PlacementReply placed;
  std::vector<EngineId> excluded = command.avoid;
  for (int draw = 0; draw < kPlacementDraws; ++draw) {
    const auto found = m_placer.Place(
        open.state, *open.completion, excluded,
        [this](const HostId& host) { return m_links->Find(host) != nullptr; });
    if (!found) {
      placed.error = found.error();
      break;
    }
    for (const auto& candidate : found->candidates) {
      excluded.push_back(candidate.engine);
      if (!BreakerOf(candidate.engine)->Allow(Now())) continue;
      placed.candidates.push_back({candidate.engine, candidate.host});
    }
    if (!placed.candidates.empty()) break;
  }
  return placed;
}

attempts::PlacementReply Dispatcher::PlaceCall(const Open& open,
                                               const attempts::Place& command) {
  const bool at_home =
      open.unrepeatable && !open.call->terms.idempotency_key.empty();
  const Reachable reachable = [this](const HostId& host) {
    return m_links->Find(host) != nullptr;
  };
  attempts::PlacementReply placed;
  for (int draw = 0; draw < kPlacementDraws; ++draw) {
    const Result<Candidate> candidate =
        at_home ? PlaceAtKeyOwner(*open.state, *open.call)
                : PlaceServiceCall(*open.state, *open.call, reachable);
    if (!candidate) {
      placed.error = candidate.error();
      return placed;
    }
    const EngineId backend(candidate->backend);
    // A second choice is better than none.
    placed.candidates = {{backend, candidate->host}};
    const bool avoided = std::find(command.avoid.begin(), command.avoid.end(),
                                   backend) != command.avoid.end();
    if (at_home || (!avoided && BreakerOf(backend)->Allow(Now()))) break;
  }
  return placed;
}

attempts::PlacementReply Dispatcher::Choose(Open& open,
                                            const attempts::Place& command) {
  return open.completion ? PlacePrompt(open, command)
                         : PlaceCall(open, command);
}

attempts::ReportedVersions Dispatcher::HeardFor(const Open& open) const {
  // Only the homes of keys ask for it, and it costs a look at every side.
  return open.unrepeatable ? m_links->Heard() : attempts::ReportedVersions{};
}

void Dispatcher::Handle(Open& open, const attempts::Place& command,
                        attempts::Commands& more) {
  Append(more, open.life->On(Choose(open, command), Now()));
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

void Dispatcher::Handle(Open& open, const attempts::Cancel& command,
                        attempts::Commands&) {
  // Without a connection the side's lease ends the attempt.
  const wire::ChannelPtr channel = m_links->Find(command.host);
  if (!channel) return;
  const auto started = open.start_processes.find(command.attempt.number);
  channel->Send(CancelFrame(
      command.attempt, command.code,
      started == open.start_processes.end() ? std::string() : started->second));
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
  open.team_hold.reset();
  m_traces.Add(open.life->trace());
  m_open.Take(open.id);
}

}  // namespace peridotshelf::entry
