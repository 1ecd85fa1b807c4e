/// Which engine an entry asks first. Works on hints; the side decides.
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

/// An engine and where it stands.
struct EngineLocation {
  control::EngineConfig config;
  FailureDomain failure_domain;
};

/// What is to be placed.
struct PlacementRequest {
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  /// As PrefixHashes gives them.
  std::span<const uint64_t> prefix_hashes;
  /// Engines that were tried already.
  std::span<const EngineId> excluded;

  int64_t tokens() const { return prompt_tokens + max_tokens; }
};

/// Why the first candidate was chosen.
enum class PlacementReason {
  kPrefix,       ///< Its cache is likely to hold the prompt's prefix.
  kTwoChoices,   ///< The less loaded of two.
  kOtherDomain,  ///< As kTwoChoices, since the own domain was full.
  kSpill,        ///< From the other pool, since the own was loaded.
  kAllRefused,   ///< All engines sampled refused lately; soonest to recover.
};

/// What became of one engine in a decision.
enum class CandidateVerdict {
  kChosen,
  kSecond,      ///< To be asked if the first refuses.
  kMoreLoaded,  ///< The other sample was less loaded.
  kOverBound,   ///< Holds the prefix, but is loaded too far above the mean.
  kRecentlyRefused,  ///< Its side refused a moment ago.
  kIneligible,       ///< Too small, leaving or tried already.
};

/// One line of a decision's trace.
struct Considered {
  EngineId engine;
  double load = 0;
  CandidateVerdict verdict = CandidateVerdict::kIneligible;
};

/// Where to ask, in order, and why.
struct PlacementResult {
  struct Candidate {
    EngineId engine;
    HostId host;
    friend bool operator==(const Candidate&, const Candidate&) = default;
  };
  std::vector<Candidate> candidates;
  PlacementReason reason = PlacementReason::kTwoChoices;
  std::vector<Considered> trace;
};

/// Turns single mechanisms off, for ablations in the policy benchmark.
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

/// The engines of all models. Thread-safe: one lock per model. A decision
/// costs O(log engines).
class Placement {
 public:
  explicit Placement(FailureDomain local_domain,
                     PlacementFeatures mechanisms = {});
  ~Placement();

  /// Takes the engines and preset in force. Hints of engines that stay are
  /// kept.
  void Update(std::span<const EngineLocation> engines,
              const control::Preset& preset);

  /// Chooses up to two candidates. kUnknownModel, kNoBackend or kTooLarge if
  /// there is none.
  Result<PlacementResult> Place(const PlacementRequest& request, TimePoint now,
                                std::mt19937_64& random);

  /// A side reported `load`, taken at `taken_at` on this process's clock.
  /// Older than what is known, it is ignored.
  void OnLoad(const EngineId& engine, const EngineLoad& load,
              TimePoint taken_at);
  /// A side refused now; `retry_after` zero if it did not say.
  void OnRefused(const EngineId& engine, TimePoint now, Duration retry_after);

 private:
  std::shared_ptr<EnginePool> FindPool(const EngineId& engine) const;

  const FailureDomain m_local_domain;
  const PlacementFeatures m_mechanisms;
  mutable std::shared_mutex m_mutex;
  std::map<std::string, std::shared_ptr<EnginePool>, std::less<>> m_pools;
  std::unordered_map<EngineId, std::shared_ptr<EnginePool>> m_pool_of;
};

}  // namespace peridotshelf::policy
