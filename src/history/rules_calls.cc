// Rules on what callers see.
#include <algorithm>
#include <map>

#include "peridotshelf/history/rules.h"

namespace peridotshelf::history {
namespace {

/// Codes that the request's own text or the configuration decides.
bool KnownAtArrival(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidField:
    case ErrorCode::kUnknownModel:
    case ErrorCode::kUnknownService:
    case ErrorCode::kUnknownTeam:
    case ErrorCode::kTooLarge:
      return true;
    default:
      return false;
  }
}

/// What is wrong with the chunks of `call`, or nothing.
std::string FaultOfChunks(const Call& call) {
  const std::string& expected = call.invocation.expected_text;
  std::string text;
  int64_t next_offset = 0;
  for (const ChunkReceived& chunk : call.chunks) {
    if (chunk.offset != next_offset) {
      return "chunk " + std::to_string(chunk.offset) + " came in place of " +
             std::to_string(next_offset);
    }
    ++next_offset;
    text += chunk.text;
    if (expected.compare(0, text.size(), text) != 0) {
      return "chunk " + std::to_string(chunk.offset) + " is not its own";
    }
  }
  const bool answered =
      !call.ends.empty() && call.ends.front().outcome == CallOutcome::kAnswered;
  if (answered && text != expected) return "the answer's end is missing";
  return {};
}

}  // namespace

void AnsweredInTime::Check(const Index& index, const Limits& limits,
                           std::vector<Violation>& found) {
  for (const auto& [id, call] : index.calls()) {
    const TimePoint latest = call.deadline() + limits.answer_grace;
    if (call.ends.size() > 1) {
      found.push_back({kInvariant, call.ends[1].time, id.value(),
                       "has more than one outcome"});
    }
    if (!call.EndedBy(latest) && index.end() > latest) {
      found.push_back(
          {kInvariant, latest, id.value(), "has no outcome within its time"});
    }
  }
}

void WholeAnswer::Check(const Index& index, const Limits&,
                        std::vector<Violation>& found) {
  for (const auto& [id, call] : index.calls()) {
    const std::string fault = FaultOfChunks(call);
    if (fault.empty()) continue;
    const TimePoint time = call.ends.empty() ? call.begin : call.ends[0].time;
    found.push_back({kInvariant, time, id.value(), fault});
  }
}

void NotRunTrue::Check(const Index& index, const Limits&,
                       std::vector<Violation>& found) {
  for (const auto& [id, call] : index.calls()) {
    const bool said_not_run =
        std::any_of(call.ends.begin(), call.ends.end(),
                    [](const CallEnd& end) { return end.not_run; });
    if (!said_not_run || !call.request) continue;
    for (const Execution* execution : index.ExecutionsOf(*call.request)) {
      found.push_back({kInvariant, execution->begin, id.value(),
                       "ran at " + execution->backend.value() + " as " +
                           execution->attempt.ToString()});
    }
  }
}

void AtMostOnce::Check(const Index& index, const Limits&,
                       std::vector<Violation>& found) {
  // Executions are counted by key, or by request where there is no key.
  std::map<std::string, int64_t> limited;
  std::map<RequestId, std::string> name_of_request;
  for (const auto& [id, call] : index.calls()) {
    const Invocation& invocation = call.invocation;
    if (!invocation.unrepeatable) continue;
    const std::string name = invocation.idempotency_key.empty()
                                 ? "call " + id.value()
                                 : "key " + invocation.idempotency_key;
    limited.emplace(name, 0);
    if (call.request) name_of_request[*call.request] = name;
  }
  for (const Execution& execution : index.executions()) {
    const auto known = name_of_request.find(execution.attempt.request);
    const std::string name = known != name_of_request.end()
                                 ? known->second
                                 : "key " + execution.idempotency_key;
    const auto entry = limited.find(name);
    if (entry == limited.end() || ++entry->second == 1) continue;
    found.push_back({kInvariant, execution.begin, name,
                     "runs again at " + execution.backend.value()});
  }
}

void GivenUpAtOnce::Check(const Index& index, const Limits& limits,
                          std::vector<Violation>& found) {
  ForEach<GivenUp>(
      index.events(), [&](const HistoryEvent& event, const GivenUp& body) {
        const Call* call = index.CallOf(body.request);
        const TimePoint latest = event.time + limits.give_up_bound;
        if (call == nullptr || call->EndedBy(latest) || index.end() <= latest) {
          return;
        }
        found.push_back(
            {kInvariant, latest, body.request.value(), "was not told at once"});
      });
  for (const auto& [id, call] : index.calls()) {
    if (call.ends.empty()) continue;
    const CallEnd& end = call.ends.front();
    if (end.outcome != CallOutcome::kRefused || !KnownAtArrival(end.code)) {
      continue;
    }
    if (end.time <= call.begin + limits.give_up_bound) continue;
    found.push_back(
        {kInvariant, end.time, id.value(), "was refused only after a wait"});
  }
}

}  // namespace peridotshelf::history
