#include <algorithm>
#include <utility>

#include "entry/attempt_frames.h"
#include "entry/dispatcher.h"
#include "entry/key_owner_placement.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::entry {
namespace {

using events::EventId;

/// Maximum number of draws for one placement. A service call for which every
/// drawn backend server should be avoided goes to the last drawn server.
constexpr int kMaxCandidateDraws = 16;

TimePoint Now() { return SteadyClock().Now(); }

void AppendCommands(attempts::Commands& follow_ups,
                    attempts::Commands commands) {
  std::move(commands.begin(), commands.end(), std::back_inserter(follow_ups));
}

}  // namespace

void Dispatcher::ExecuteCommands(RequestContext& context,
                                 attempts::Commands commands) {
  while (!commands.empty()) {
    attempts::Commands follow_ups;
    for (const attempts::Command& command : commands) {
      std::visit([&](const auto& c) { Handle(context, c, follow_ups); },
                 command);
    }
    commands = std::move(follow_ups);
  }
}

attempts::PlacementReply Dispatcher::PlacePrompt(
    RequestContext& context, const attempts::Place& command) {
  attempts::PlacementReply reply;
  std::vector<EngineId> excluded = command.avoid;
  for (int draw = 0; draw < kMaxCandidateDraws; ++draw) {
    const auto found = m_placer.Place(
        context.state, *context.completion, excluded,
        [this](const HostId& host) { return m_links->Find(host) != nullptr; });
    if (!found) {
      reply.error = found.error();
      break;
    }
    for (const auto& candidate : found->candidates) {
      excluded.push_back(candidate.engine);
      if (!BreakerFor(candidate.engine)->Allow(Now())) continue;
      reply.candidates.push_back({candidate.engine, candidate.host});
    }
    if (!reply.candidates.empty()) break;
  }
  return reply;
}

attempts::PlacementReply Dispatcher::PlaceCall(const RequestContext& context,
                                               const attempts::Place& command) {
  const bool needs_key_owner =
      context.unrepeatable && !context.call->options.idempotency_key.empty();
  const ReachabilityCheck is_reachable = [this](const HostId& host) {
    return m_links->Find(host) != nullptr;
  };
  attempts::PlacementReply reply;
  for (int draw = 0; draw < kMaxCandidateDraws; ++draw) {
    const Result<Candidate> candidate =
        needs_key_owner
            ? PlaceAtKeyOwner(*context.state, *context.call)
            : PlaceServiceCall(*context.state, *context.call, is_reachable);
    if (!candidate) {
      reply.error = candidate.error();
      return reply;
    }
    const EngineId backend(candidate->backend);
    // Keeps a backend server that should be avoided as the fallback.
    reply.candidates = {{backend, candidate->host}};
    const bool is_avoided =
        std::find(command.avoid.begin(), command.avoid.end(), backend) !=
        command.avoid.end();
    if (needs_key_owner || (!is_avoided && BreakerFor(backend)->Allow(Now())))
      break;
  }
  return reply;
}

attempts::PlacementReply Dispatcher::ChooseCandidates(
    RequestContext& context, const attempts::Place& command) {
  return context.completion ? PlacePrompt(context, command)
                            : PlaceCall(context, command);
}

attempts::ReportedVersions Dispatcher::ReportedVersionsFor(
    const RequestContext& context) const {
  // Only key owners use the versions, and collecting them visits every side.
  return context.unrepeatable ? m_links->CollectReportedVersions()
                              : attempts::ReportedVersions{};
}

void Dispatcher::Handle(RequestContext& context, const attempts::Place& command,
                        attempts::Commands& follow_ups) {
  AppendCommands(follow_ups, context.state_machine->On(
                                 ChooseCandidates(context, command), Now()));
}

void Dispatcher::RefuseUnsent(RequestContext& context, const AttemptId& attempt,
                              const HostId& host,
                              attempts::Commands& follow_ups) {
  const Error error{ErrorCode::kNoBackend,
                    "no connection to " + host.value(),
                    /*not_run=*/true,
                    {}};
  AppendCommands(follow_ups, context.state_machine->On(
                                 attempts::Refused{attempt, error}, Now()));
}

void Dispatcher::Handle(RequestContext& context,
                        const attempts::Reserve& command,
                        attempts::Commands& follow_ups) {
  context.engines[command.attempt.number] = command.candidate.engine;
  const wire::ChannelPtr channel = m_links->Find(command.candidate.host);
  if (!channel) {
    RefuseUnsent(context, command.attempt, command.candidate.host, follow_ups);
    return;
  }
  channel->Send(MakeReserveFrame(command, *context.completion,
                                 context.unrepeatable, *context.state,
                                 ReportedVersionsFor(context)));
}

void Dispatcher::Handle(RequestContext& context, const attempts::Start& command,
                        attempts::Commands& follow_ups) {
  context.engines[command.attempt.number] = command.candidate.engine;
  const wire::ChannelPtr channel = m_links->Find(command.candidate.host);
  if (!channel) {
    RefuseUnsent(context, command.attempt, command.candidate.host, follow_ups);
    return;
  }
  context.start_processes[command.attempt.number] = channel->peer().process_id;
  if (context.completion) {
    SendStart(*channel, command, *context.completion);
  } else {
    channel->Send(MakeServiceCallFrame(command, *context.call,
                                       context.unrepeatable, *context.state,
                                       ReportedVersionsFor(context)));
  }
}

void Dispatcher::Handle(RequestContext& context,
                        const attempts::Resume& command, attempts::Commands&) {
  // Without a connection, a later ConnectionRestored event causes a new Resume.
  const wire::ChannelPtr channel = m_links->Find(command.host);
  if (!channel) return;
  channel->Send(MakeResumeFrame(
      command, context.start_processes[command.attempt.number]));
}

void Dispatcher::Handle(RequestContext& context,
                        const attempts::Cancel& command, attempts::Commands&) {
  // Without a connection, the side ends the attempt when the lease expires.
  const wire::ChannelPtr channel = m_links->Find(command.host);
  if (!channel) return;
  const auto started = context.start_processes.find(command.attempt.number);
  channel->Send(MakeCancelFrame(command.attempt, command.code,
                                started == context.start_processes.end()
                                    ? std::string()
                                    : started->second));
}

void Dispatcher::Handle(RequestContext& context,
                        const attempts::DeliverChunk& command,
                        attempts::Commands&) {
  context.answer.on_chunk(command.data);
}

void Dispatcher::Handle(RequestContext& context,
                        const attempts::Answer& command, attempts::Commands&) {
  if (command.result) {
    const attempts::Completion& completion = *command.result;
    events::Log(EventId::kRequestFinished, {{"request", context.id.value()}});
    AnswerSummary summary;
    summary.chunks = completion.chunks;
    summary.prompt_tokens = completion.prompt_tokens;
    summary.cached_tokens = completion.cached_tokens;
    summary.http_status = completion.http_status;
    summary.content_type = completion.content_type;
    context.answer.on_finished(summary);
  } else {
    const Error& error = command.result.error();
    events::Log(EventId::kRequestRefused, {{"request", context.id.value()},
                                           {"code", ToString(error.code)},
                                           {"not_run", error.not_run}});
    context.answer.on_failed(error);
  }
  if (context.answer.on_trace)
    context.answer.on_trace(context.state_machine->trace());
  // Releases the callbacks, which may own the caller's connection.
  context.answer = {};
  context.team_allocation.reset();
  m_traces.Add(context.state_machine->trace());
  m_contexts.Take(context.id);
}

}  // namespace peridotshelf::entry
