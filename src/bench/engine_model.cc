#include "bench/engine_model.h"

#include <algorithm>

namespace peridotshelf::bench {

IdleTime TimeOnIdleEngine(const SimRequest& request,
                          const EngineModelCosts& costs) {
  EngineModelCosts empty = costs;
  empty.cache_tokens = 0;
  EngineModel engine(empty);
  engine.Start(request, 0);
  IdleTime time;
  while (!engine.idle()) {
    const StepResult step = engine.Step();
    time.whole += step.seconds;
    if (!step.first_tokens.empty()) time.first_token = time.whole;
  }
  return time;
}

int64_t EngineModel::Start(const SimRequest& request, int priority) {
  Stream stream;
  stream.id = request.id;
  stream.priority = priority;
  stream.document = request.document;
  stream.document_tokens = request.document_tokens;
  stream.prompt_tokens = request.prompt_tokens;
  stream.to_generate = request.output_tokens;
  const bool cached = Caches(request.document);
  if (cached) {
    stream.prefilled = request.document_tokens;
    Remember(request.document, request.document_tokens);
  }
  m_streams.push_back(stream);
  return stream.prefilled;
}

void EngineModel::Cancel(int id) {
  m_streams.remove_if([id](const Stream& stream) { return stream.id == id; });
}

void EngineModel::Remember(uint64_t document, int64_t tokens) {
  auto known = m_cache.find(document);
  if (known != m_cache.end()) {
    m_uses.splice(m_uses.end(), m_uses, known->second.use);
    return;
  }
  if (tokens == 0 || tokens > m_costs.cache_tokens) return;
  m_uses.push_back(document);
  m_cache[document] = {tokens, std::prev(m_uses.end())};
  m_cached_tokens += tokens;
  while (m_cached_tokens > m_costs.cache_tokens) {
    auto oldest = m_cache.find(m_uses.front());
    m_cached_tokens -= oldest->second.tokens;
    m_cache.erase(oldest);
    m_uses.pop_front();
  }
}

double EngineModel::Prefill(std::vector<Stream*>& waiting, StepResult& result) {
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const Stream* a, const Stream* b) {
                     return a->priority > b->priority;
                   });
  int64_t budget = m_costs.step_tokens;
  double seconds = 0;
  for (Stream* stream : waiting) {
    const int64_t left = stream->prompt_tokens - stream->prefilled;
    const int64_t tokens = std::min(budget, left);
    if (tokens == 0 && left > 0) break;
    const double context = static_cast<double>(stream->prefilled) +
                           static_cast<double>(tokens) / 2;
    seconds += static_cast<double>(tokens) *
               (m_costs.prefill_token + context * m_costs.prefill_context);
    budget -= tokens;
    stream->prefilled += tokens;
    if (stream->prefilled < stream->prompt_tokens) continue;
    stream->to_generate -= 1;
    result.first_tokens.push_back(stream->id);
    Remember(stream->document, stream->document_tokens);
  }
  return seconds;
}

StepResult EngineModel::Step() {
  StepResult result;
  result.seconds = m_costs.step;
  std::vector<Stream*> waiting;
  for (Stream& stream : m_streams) {
    if (stream.prefilled < stream.prompt_tokens) {
      waiting.push_back(&stream);
      continue;
    }
    stream.to_generate -= 1;
    result.seconds +=
        m_costs.decode_stream +
        static_cast<double>(stream.prompt_tokens) * m_costs.decode_context;
  }
  result.seconds += Prefill(waiting, result);
  for (auto it = m_streams.begin(); it != m_streams.end();) {
    const bool whole =
        it->prefilled >= it->prompt_tokens && it->to_generate <= 0;
    if (whole) result.finished.push_back(it->id);
    it = whole ? m_streams.erase(it) : std::next(it);
  }
  m_busy_seconds += result.seconds;
  return result;
}

}  // namespace peridotshelf::bench
