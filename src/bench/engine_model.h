/// A cost model of a continuously batching engine, in virtual time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::bench {

/// One prompt and what is asked for it.
struct SimRequest {
  int id = 0;
  double arrival = 0;
  /// Seconds after arrival.
  double window = 0;
  int team = 0;
  /// Prompts over one document share its tokens as a prefix.
  uint64_t document = 0;
  int64_t document_tokens = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  int64_t max_tokens = 0;
  policy::SizeClass size_class = policy::SizeClass::kShort;
};

/// Seconds of an engine.
struct EngineModelCosts {
  double step = 0.008;
  double prefill_token = 25e-6;
  double prefill_context = 250e-12;
  double decode_stream = 1e-4;
  double decode_context = 1e-8;
  /// Prompt tokens that one step takes on.
  int64_t step_tokens = 2048;
  /// Part of memory that the prefix cache uses besides running streams.
  int64_t cache_tokens = 400'000;
};

/// Seconds that a request takes on an idle engine with an empty cache.
struct IdleTime {
  double first_token = 0;
  double whole = 0;
};
IdleTime TimeOnIdleEngine(const SimRequest& request,
                          const EngineModelCosts& costs);

/// What one step brought.
struct StepResult {
  double seconds = 0;
  std::vector<int> first_tokens;
  std::vector<int> finished;
};

/// One engine. A step prefills up to step_tokens, highest priority first and
/// then in order of arrival, and generates one token for each other stream.
class EngineModel {
 public:
  explicit EngineModel(const EngineModelCosts& costs) : m_costs(costs) {}

  /// Begins a request; yields the prompt tokens found in the prefix cache.
  int64_t Start(const SimRequest& request, int priority);
  void Cancel(int id);
  StepResult Step();
  bool idle() const { return m_streams.empty(); }
  size_t streams() const { return m_streams.size(); }
  bool Caches(uint64_t document) const { return m_cache.contains(document); }
  double busy_seconds() const { return m_busy_seconds; }

 private:
  struct Stream {
    int id = 0;
    int priority = 0;
    uint64_t document = 0;
    int64_t document_tokens = 0;
    int64_t prompt_tokens = 0;
    int64_t prefilled = 0;
    int64_t to_generate = 0;
  };
  struct CacheEntry {
    int64_t tokens = 0;
    std::list<uint64_t>::iterator use;
  };

  void Remember(uint64_t document, int64_t tokens);
  double Prefill(std::vector<Stream*>& waiting, StepResult& result);

  EngineModelCosts m_costs;
  std::list<Stream> m_streams;
  std::unordered_map<uint64_t, CacheEntry> m_cache;
  /// Documents, the least recently used first.
  std::list<uint64_t> m_uses;
  int64_t m_cached_tokens = 0;
  double m_busy_seconds = 0;
};

}  // namespace peridotshelf::bench
