// Rules on the outcomes of calls.
#include <algorithm>
#include <map>

#include "peridotshelf/history/rules.h"

namespace peridotshelf::history {
namespace {

/// Returns whether the entry can refuse with `code` at a request's arrival,
/// from the request and the configuration alone.
bool IsKnownAtArrival(ErrorCode code) {
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

/// Returns a description of the first error in the chunks of `call`, or an
/// empty string.
std::string FindChunkError(const Call& call) {
  const std::string& expected = call.invocation.expected_text;
  std::string text;
  int64_t next_offset = 0;
  for (const ChunkReceived& chunk : call.chunks) {
    if (chunk.offset != next_offset) {
      return "received chunk " + std::to_string(chunk.offset) + " instead of " +
             std::to_string(next_offset);
    }
    ++next_offset;
    text += chunk.text;
    if (expected.compare(0, text.size(), text) != 0) {
      return "chunk " + std::to_string(chunk.offset) +
             " differs from the expected text";
    }
  }
  const bool answered =
      !call.ends.empty() && call.ends.front().outcome == CallOutcome::kAnswered;
  if (answered && text != expected) return "the end of the answer is missing";
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
    if (!call.HasEndedBy(latest) && index.end() > latest) {
      found.push_back(
          {kInvariant, latest, id.value(), "has no outcome by its deadline"});
    }
  }
}

void WholeAnswer::Check(const Index& index, const Limits&,
                        std::vector<Violation>& found) {
  for (const auto& [id, call] : index.calls()) {
    const std::string error = FindChunkError(call);
    if (error.empty()) continue;
    const TimePoint time = call.ends.empty() ? call.begin : call.ends[0].time;
    found.push_back({kInvariant, time, id.value(), error});
  }
}

void NotRunTrue::Check(const Index& index, const Limits&,
                       std::vector<Violation>& found) {
  for (const auto& [id, call] : index.calls()) {
    const bool said_not_run =
        std::any_of(call.ends.begin(), call.ends.end(),
                    [](const CallEnd& end) { return end.not_run; });
    if (!said_not_run || !call.request) continue;
    for (const Execution* execution : index.FindExecutions(*call.request)) {
      found.push_back({kInvariant, execution->begin, id.value(),
                       "ran at " + execution->backend.value() + " as " +
                           execution->attempt.ToString()});
    }
  }
}

void AtMostOnce::Check(const Index& index, const Limits&,
                       std::vector<Violation>& found) {
  // Counts executions per idempotency key, or per call without a key.
  std::map<std::string, int64_t> execution_counts;
  std::map<RequestId, std::string> name_of_request;
  for (const auto& [id, call] : index.calls()) {
    const Invocation& invocation = call.invocation;
    if (!invocation.unrepeatable) continue;
    const std::string name = invocation.idempotency_key.empty()
                                 ? "call " + id.value()
                                 : "key " + invocation.idempotency_key;
    execution_counts.emplace(name, 0);
    if (call.request) name_of_request[*call.request] = name;
  }
  for (const Execution& execution : index.executions()) {
    const auto found_name = name_of_request.find(execution.attempt.request);
    const std::string name = found_name != name_of_request.end()
                                 ? found_name->second
                                 : "key " + execution.idempotency_key;
    const auto entry = execution_counts.find(name);
    if (entry == execution_counts.end() || ++entry->second == 1) continue;
    found.push_back({kInvariant, execution.begin, name,
                     "runs again at " + execution.backend.value()});
  }
}

void GivenUpAtOnce::Check(const Index& index, const Limits& limits,
                          std::vector<Violation>& found) {
  ForEach<GivenUp>(index.events(), [&](const HistoryEvent& event,
                                       const GivenUp& body) {
    const Call* call = index.FindCall(body.request);
    const TimePoint latest = event.time + limits.give_up_bound;
    if (call == nullptr || call->HasEndedBy(latest) || index.end() <= latest) {
      return;
    }
    found.push_back({kInvariant, latest, body.request.value(),
                     "was given up without a prompt outcome"});
  });
  for (const auto& [id, call] : index.calls()) {
    if (call.ends.empty()) continue;
    const CallEnd& end = call.ends.front();
    if (end.outcome != CallOutcome::kRefused || !IsKnownAtArrival(end.code)) {
      continue;
    }
    if (end.time <= call.begin + limits.give_up_bound) continue;
    found.push_back(
        {kInvariant, end.time, id.value(),
         "was refused late although the error was known at its arrival"});
  }
}

}  // namespace peridotshelf::history
