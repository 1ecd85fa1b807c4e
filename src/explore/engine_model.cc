#include "explore/engine_model.h"

#include <utility>

namespace peridotshelf::explore {
namespace {

using history::ExecutionOutcome;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration kChunkInterval = milliseconds(30);
constexpr Duration kPrefillPerToken = microseconds(20);

}  // namespace

void EngineModel::Run(const AttemptId& attempt, const CallPlan& plan) {
  m_context.Record(ProcessId(m_id.value()),
                   history::ExecutionBegin{attempt, m_id, {}});
  m_runs[attempt].plan = plan;
  RecordMemory();
  m_context.timeline().RunAfter(kPrefillPerToken * plan.prompt_tokens,
                                [this, attempt] { Produce(attempt); });
}

void EngineModel::Produce(const AttemptId& attempt) {
  const auto found = m_runs.find(attempt);
  if (found == m_runs.end()) return;
  ActiveRun& run = found->second;
  if (!run.has_listener) {
    run.is_stalled = true;
    return;
  }
  const int64_t offset = run.produced++;
  const int64_t chunks = run.plan.chunks;
  m_observer.OnEngineChunk(attempt, offset,
                           MakeChunkText(attempt.request, offset));
  if (offset + 1 == chunks) {
    End(attempt, ExecutionOutcome::kCompleted);
    m_observer.OnEngineEnd(attempt, true, chunks);
    return;
  }
  m_context.timeline().RunAfter(kChunkInterval,
                                [this, attempt] { Produce(attempt); });
}

bool EngineModel::Resume(const AttemptId& attempt, int64_t offset) {
  const auto found = m_runs.find(attempt);
  if (found == m_runs.end()) return false;
  ActiveRun& run = found->second;
  run.has_listener = true;
  for (int64_t next = offset; next < run.produced; ++next) {
    m_observer.OnEngineChunk(attempt, next,
                             MakeChunkText(attempt.request, next));
  }
  if (std::exchange(run.is_stalled, false)) {
    m_context.timeline().RunAfter(kChunkInterval,
                                  [this, attempt] { Produce(attempt); });
  }
  return true;
}

void EngineModel::Detach() {
  for (auto& [attempt, run] : m_runs) run.has_listener = false;
}

void EngineModel::Cancel(const AttemptId& attempt) {
  if (m_runs.contains(attempt)) End(attempt, ExecutionOutcome::kCancelled);
}

void EngineModel::Kill() {
  std::vector<AttemptId> with_listener;
  std::vector<AttemptId> all;
  for (const auto& [attempt, run] : m_runs) {
    all.push_back(attempt);
    if (run.has_listener) with_listener.push_back(attempt);
  }
  for (const AttemptId& attempt : all) End(attempt, ExecutionOutcome::kFailed);
  for (const AttemptId& attempt : with_listener) {
    m_observer.OnEngineEnd(attempt, false, 0);
  }
}

void EngineModel::End(const AttemptId& attempt, ExecutionOutcome outcome) {
  m_runs.erase(attempt);
  m_context.Record(ProcessId(m_id.value()),
                   history::ExecutionEnd{attempt, m_id, outcome});
  RecordMemory();
}

void EngineModel::RecordMemory() {
  int64_t tokens = 0;
  for (const auto& [attempt, run] : m_runs) tokens += run.plan.prompt_tokens;
  m_context.Record(ProcessId(m_id.value()), history::MemoryHeld{m_id, tokens});
}

std::vector<backend::EngineStream> EngineModel::Streams() const {
  std::vector<backend::EngineStream> streams;
  for (const auto& [attempt, run] : m_runs) {
    streams.push_back({attempt, 0, run.plan.prompt_tokens + run.plan.chunks,
                       run.produced, false});
  }
  return streams;
}

}  // namespace peridotshelf::explore
