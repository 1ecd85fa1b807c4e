/// A cost model of an engine with continuous batching, in virtual time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::bench {

/// One simulated request.
struct SimRequest {
  int id = 0;
  /// Arrival time, in seconds.
  double arrival = 0;
  /// Caller timeout, in seconds after arrival.
  double timeout = 0;
  int team = 0;
  /// Requests with the same document share its tokens as a prefix.
  uint64_t document = 0;
  int64_t document_tokens = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  int64_t max_tokens = 0;
  policy::SizeClass size_class = policy::SizeClass::kShort;
};

/// Costs of an engine, in seconds unless noted.
struct EngineModelCosts {
  /// Per step.
  double step = 0.008;
  /// Per prompt token.
  double prefill_token = 25e-6;
  /// Per prompt token and token of context before it.
  double prefill_context = 250e-12;
  /// Per decoding request in a step.
  double decode_stream = 1e-4;
  /// Per decoding request in a step and token of its prompt.
  double decode_context = 1e-8;
  /// Maximum prompt tokens prefilled in one step.
  int64_t step_tokens = 2048;
  /// Capacity of the prefix cache in tokens, in addition to the memory of
  /// running requests.
  int64_t cache_tokens = 400'000;
};

/// Latency of a request on an idle engine with an empty cache, in seconds.
struct IdleEngineLatency {
  double first_token = 0;
  double total = 0;
};
IdleEngineLatency SimulateOnIdleEngine(const SimRequest& request,
                                       const EngineModelCosts& costs);

/// Result of one step: its duration and the IDs of the requests that generated
/// their first token or finished in it.
struct StepResult {
  double seconds = 0;
  std::vector<int> first_tokens;
  std::vector<int> finished;
};

/// One engine. A step prefills up to `step_tokens` prompt tokens, by priority
/// and then by arrival, and generates one token for each decoding request.
class EngineModel {
 public:
  explicit EngineModel(const EngineModelCosts& costs) : m_costs(costs) {}

  /// Starts a request. Returns its prompt tokens found in the prefix cache.
  int64_t Start(const SimRequest& request, int priority);
  void Cancel(int id);
  StepResult Step();
  bool idle() const { return m_streams.empty(); }
  size_t streams() const { return m_streams.size(); }
  bool HasCached(uint64_t document) const { return m_cache.contains(document); }
  double busy_seconds() const { return m_busy_seconds; }

 private:
  struct Stream {
    int id = 0;
    int priority = 0;
    uint64_t document = 0;
    int64_t document_tokens = 0;
    int64_t prompt_tokens = 0;
    int64_t prefilled = 0;
    int64_t remaining_output = 0;
  };
  struct CacheEntry {
    int64_t tokens = 0;
    std::list<uint64_t>::iterator lru_position;
  };

  void AddToCache(uint64_t document, int64_t tokens);
  double Prefill(std::vector<Stream*>& prefilling, StepResult& result);

  EngineModelCosts m_costs;
  std::list<Stream> m_streams;
  std::unordered_map<uint64_t, CacheEntry> m_cache;
  /// Cached documents, least recently used first.
  std::list<uint64_t> m_lru_documents;
  int64_t m_cached_tokens = 0;
  double m_busy_seconds = 0;
};

}  // namespace peridotshelf::bench
