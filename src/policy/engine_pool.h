/// The engines of one model, indexed so that a decision does not visit all of
/// them.
#pragma once

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotshelf/policy/placement.h"

namespace peridotshelf::policy {

/// An entry's view of one engine.
struct EngineState {
  EngineLocation engine;
  bool in_long_pool = false;
  EngineLoad load;
  /// Load as of `load_at`: allocated and queued memory or slots as a fraction
  /// of the total, whichever is larger, plus the weighted prefill backlog.
  double reported_load = 0;
  /// Load of the requests that this entry has sent there since `load_at`.
  double pending_load = 0;
  TimePoint load_at;
  TimePoint refused_at;
  TimePoint refused_until;
};

/// Places requests on the engines of one model. Thread-safe.
class EnginePool {
 public:
  EnginePool(FailureDomain local_domain, PlacementFeatures features);

  /// Replaces the engines; the state of engines that remain is kept.
  void Update(std::vector<EngineLocation> engines,
              const control::Preset& preset);
  Result<PlacementResult> Place(const PlacementRequest& request, TimePoint now,
                                std::mt19937_64& random);
  void OnLoad(const EngineId& engine, const EngineLoad& load,
              TimePoint measured_at);
  void OnRefused(const EngineId& engine, TimePoint now, Duration retry_after);

 private:
  using Index = uint32_t;
  /// The engines for long prompts, or the general ones.
  struct SubPool {
    std::vector<Index> all;
    std::vector<Index> local_domain;
    /// Points on a consistent-hash ring, several for each engine.
    std::vector<std::pair<uint64_t, Index>> ring;
    /// Sum of the engines' reported and pending loads.
    double load_sum = 0;

    double MeanLoad() const {
      return all.empty() ? 0 : load_sum / static_cast<double>(all.size());
    }
  };
  struct Choice {
    Index index = 0;
    double load = 0;
    bool is_refused = false;
  };
  /// The state of one placement decision.
  struct Decision {
    const PlacementRequest& request;
    SizeClass size_class;
    TimePoint now;
    std::mt19937_64& random;
    PlacementResult result;
    std::vector<Choice> choices;
  };

  void AssignPools(const control::Preset& preset);
  void BuildSubPools();
  void UpdateShortSpill();
  double ComputeLoad(const EngineState& state, const SubPool& sub_pool,
                     const Decision& decision) const;
  bool IsEligible(const EngineState& state, const Decision& decision) const;
  bool ChooseByPrefix(const SubPool& sub_pool, Decision& decision);
  void ChooseByLoad(const SubPool& sub_pool, Decision& decision);
  void SampleByLoad(const std::vector<Index>& from, const SubPool& sub_pool,
                    Decision& decision);
  void FillResult(Decision& decision);
  void SetLoad(EngineState& state, double reported, double pending);
  void AddPending(EngineState& state, int64_t tokens);

  const FailureDomain m_local_domain;
  const PlacementFeatures m_features;
  std::mutex m_mutex;
  std::vector<EngineState> m_engines;
  std::unordered_map<EngineId, Index> m_index_by_id;
  SubPool m_general_pool;
  SubPool m_long_pool;
  int64_t m_largest_memory = 0;
  /// Whether short prompts may also use the long pool. Long prompts do not
  /// spill to the general pool, since one long prefill slows all short requests
  /// of its engine.
  bool m_short_requests_spill = false;
};

}  // namespace peridotshelf::policy
