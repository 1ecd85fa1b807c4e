#include "bench/engine_model.h"

#include <algorithm>

namespace peridotshelf::bench {

IdleEngineLatency SimulateOnIdleEngine(const SimRequest& request,
                                       const EngineModelCosts& costs) {
  EngineModelCosts no_cache = costs;
  no_cache.cache_tokens = 0;
  EngineModel engine(no_cache);
  engine.Start(request, 0);
  IdleEngineLatency latency;
  while (!engine.idle()) {
    const StepResult step = engine.Step();
    latency.total += step.seconds;
    if (!step.first_tokens.empty()) latency.first_token = latency.total;
  }
  return latency;
}

int64_t EngineModel::Start(const SimRequest& request, int priority) {
  Stream stream;
  stream.id = request.id;
  stream.priority = priority;
  stream.document = request.document;
  stream.document_tokens = request.document_tokens;
  stream.prompt_tokens = request.prompt_tokens;
  stream.remaining_output = request.output_tokens;
  const bool is_cached = HasCached(request.document);
  if (is_cached) {
    stream.prefilled = request.document_tokens;
    AddToCache(request.document, request.document_tokens);
  }
  m_streams.push_back(stream);
  return stream.prefilled;
}

void EngineModel::Cancel(int id) {
  m_streams.remove_if([id](const Stream& stream) { return stream.id == id; });
}

void EngineModel::AddToCache(uint64_t document, int64_t tokens) {
  auto entry = m_cache.find(document);
  if (entry != m_cache.end()) {
    m_lru_documents.splice(m_lru_documents.end(), m_lru_documents,
                           entry->second.lru_position);
    return;
  }
  if (tokens == 0 || tokens > m_costs.cache_tokens) return;
  m_lru_documents.push_back(document);
  m_cache[document] = {tokens, std::prev(m_lru_documents.end())};
  m_cached_tokens += tokens;
  while (m_cached_tokens > m_costs.cache_tokens) {
    auto oldest = m_cache.find(m_lru_documents.front());
    m_cached_tokens -= oldest->second.tokens;
    m_cache.erase(oldest);
    m_lru_documents.pop_front();
  }
}

double EngineModel::Prefill(std::vector<Stream*>& prefilling,
                            StepResult& result) {
  std::stable_sort(prefilling.begin(), prefilling.end(),
                   [](const Stream* a, const Stream* b) {
                     return a->priority > b->priority;
                   });
  int64_t token_budget = m_costs.step_tokens;
  double seconds = 0;
  for (Stream* stream : prefilling) {
    const int64_t remaining = stream->prompt_tokens - stream->prefilled;
    const int64_t tokens = std::min(token_budget, remaining);
    if (tokens == 0 && remaining > 0) break;
    const double context = static_cast<double>(stream->prefilled) +
                           static_cast<double>(tokens) / 2;
    seconds += static_cast<double>(tokens) *
               (m_costs.prefill_token + context * m_costs.prefill_context);
    token_budget -= tokens;
    stream->prefilled += tokens;
    if (stream->prefilled < stream->prompt_tokens) continue;
    stream->remaining_output -= 1;
    result.first_tokens.push_back(stream->id);
    AddToCache(stream->document, stream->document_tokens);
  }
  return seconds;
}

StepResult EngineModel::Step() {
  StepResult result;
  result.seconds = m_costs.step;
  std::vector<Stream*> prefilling;
  for (Stream& stream : m_streams) {
    if (stream.prefilled < stream.prompt_tokens) {
      prefilling.push_back(&stream);
      continue;
    }
    stream.remaining_output -= 1;
    result.seconds +=
        m_costs.decode_stream +
        static_cast<double>(stream.prompt_tokens) * m_costs.decode_context;
  }
  result.seconds += Prefill(prefilling, result);
  for (auto it = m_streams.begin(); it != m_streams.end();) {
    const bool is_finished =
        it->prefilled >= it->prompt_tokens && it->remaining_output <= 0;
    if (is_finished) result.finished.push_back(it->id);
    it = is_finished ? m_streams.erase(it) : std::next(it);
  }
  m_busy_seconds += result.seconds;
  return result;
}

}  // namespace peridotshelf::bench
