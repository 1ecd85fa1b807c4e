/// Chooses the engine to which an entry sends a request first. Works on load
/// hints, which may be stale; the engine's side makes the final decision.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <shared_mutex>
#include <span>
#include <string>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/policy/engine_load.h"
#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::policy {

/// An engine and its failure domain.
struct EngineLocation {
  control::EngineConfig config;
  FailureDomain failure_domain;
};

/// A request to be placed.
struct PlacementRequest {
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  /// As returned by HashPrefixBlocks.
  std::span<const uint64_t> prefix_hashes;
  /// Engines that were tried already.
  std::span<const EngineId> excluded;

  int64_t tokens() const { return prompt_tokens + max_tokens; }
};

/// Why the first candidate was chosen.
enum class PlacementReason {
  kPrefix,       ///< Its prefix cache probably contains the prompt's prefix.
  kTwoChoices,   ///< The least loaded of the sampled engines.
  kOtherDomain,  ///< Sampled from all domains: the local domain was full.
  /// From the other pool: the preferred pool was loaded or had no eligible
  /// engine.
  kSpill,
  /// The least loaded engine; all sampled engines recently refused a request.
  kAllRefused,
};

/// The result of a placement decision for one engine.
enum class CandidateVerdict {
  kChosen,
  kSecond,      ///< Fallback if the first refuses.
  kMoreLoaded,  ///< Other samples were less loaded.
  kOverBound,   ///< Has the prefix, but its load is too far above the mean.
  kRecentlyRefused,  ///< Its side recently refused a request.
  kIneligible,       ///< Too small, leaving or already tried.
};

/// An engine that a placement decision considered.
struct ConsideredEngine {
  EngineId engine;
  double load = 0;
  CandidateVerdict verdict = CandidateVerdict::kIneligible;
};

/// The chosen engines in the order in which to try them, and the reason.
struct PlacementResult {
  struct Candidate {
    EngineId engine;
    HostId host;
    friend bool operator==(const Candidate&, const Candidate&) = default;
  };
  std::vector<Candidate> candidates;
  PlacementReason reason = PlacementReason::kTwoChoices;
  std::vector<ConsideredEngine> trace;
};

/// Switches for single features, for ablations in the policy benchmark.
struct PlacementFeatures {
  bool prefix_affinity = true;
  bool bounded_load = true;
  bool two_choices = true;
  bool long_pool = true;
  bool refusal_memory = true;
  bool hint_aging = true;
  bool local_domain = true;
};

class EnginePool;

/// Places requests on the engines of all models. Thread-safe: one lock per
/// model. Place takes O(log engines) time.
class Placement {
 public:
  explicit Placement(FailureDomain local_domain,
                     PlacementFeatures features = {});
  ~Placement();

  /// Applies the current engines and preset. Hints about engines that remain
  /// are kept.
  void Update(std::span<const EngineLocation> engines,
              const control::Preset& preset);

  /// Returns one or two candidates. Fails with kUnknownModel, kNoBackend or
  /// kTooLarge.
  Result<PlacementResult> Place(const PlacementRequest& request, TimePoint now,
                                std::mt19937_64& random);

  /// Handles a load report, measured at `measured_at` on this process's clock.
  /// A report older than the current one is ignored.
  void OnLoad(const EngineId& engine, const EngineLoad& load,
              TimePoint measured_at);
  /// Handles a refusal by the engine's side; `retry_after` is zero if the side
  /// did not send one.
  void OnRefused(const EngineId& engine, TimePoint now, Duration retry_after);

 private:
  std::shared_ptr<EnginePool> FindPool(const EngineId& engine) const;

  const FailureDomain m_local_domain;
  const PlacementFeatures m_features;
  mutable std::shared_mutex m_mutex;
  std::map<std::string, std::shared_ptr<EnginePool>, std::less<>> m_pools;
  std::unordered_map<EngineId, std::shared_ptr<EnginePool>> m_pool_by_engine;
};

}  // namespace peridotshelf::policy
