/// The engines of one model, indexed so that a decision need not visit all.
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

/// What an entry knows of one engine.
struct EngineState {
  EngineLocation engine;
  bool in_long_pool = false;
  EngineLoad load;
  /// Memory or slots taken or waited for, as a fraction of all, whichever is
  /// more, as of `load_at`.
  double reported_load = 0;
  /// What this entry sent there since.
  double pending_load = 0;
  TimePoint load_at;
  TimePoint refused_at;
  TimePoint refused_until;
};

/// Thread-safe.
class EnginePool {
 public:
  EnginePool(FailureDomain local_domain, PlacementFeatures mechanisms);

  /// Replaces the engines; what is known of those that stay is kept.
  void Update(std::vector<EngineLocation> engines,
              const control::Preset& preset);
  Result<PlacementResult> Place(const PlacementRequest& request, TimePoint now,
                                std::mt19937_64& random);
  void OnLoad(const EngineId& engine, const EngineLoad& load,
              TimePoint taken_at);
  void OnRefused(const EngineId& engine, TimePoint now, Duration retry_after);

 private:
  using Index = uint32_t;
  /// Engines for long prompts, or the others.
  struct Part {
    std::vector<Index> all;
    std::vector<Index> local_domain;
    /// Points on a hash ring, several for each engine.
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
    bool refused = false;
  };
  /// One decision under way.
  struct Decision {
    const PlacementRequest& request;
    SizeClass size_class;
    TimePoint now;
    std::mt19937_64& random;
    PlacementResult result;
    std::vector<Choice> choices;
  };

  void Divide(const control::Preset& preset);
  void BuildParts();
  void UpdateSpill();
  double ComputeLoad(const EngineState& state, const Part& part,
                     const Decision& decision) const;
  bool Fits(const EngineState& state, const Decision& decision) const;
  bool ChooseByPrefix(const Part& part, Decision& decision);
  void ChooseByLoad(const Part& part, Decision& decision);
  void Sample(const std::vector<Index>& from, const Part& part,
              Decision& decision);
  void Finish(Decision& decision);
  void SetLoad(EngineState& state, double reported, double pending);
  void AddPending(EngineState& state, int64_t tokens);

  const FailureDomain m_local_domain;
  const PlacementFeatures m_mechanisms;
  std::mutex m_mutex;
  std::vector<EngineState> m_engines;
  std::unordered_map<EngineId, Index> m_index_of;
  Part m_general;
  Part m_long;
  int64_t m_largest_memory = 0;
  /// Whether short prompts also go to the long part. Never the reverse: one
  /// long prefill would slow all short ones of its engine.
  bool m_short_spill = false;
};

}  // namespace peridotshelf::policy
