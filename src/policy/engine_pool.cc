#include "policy/engine_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotshelf::policy {

using control::EngineRole;

namespace {

/// Points of each engine on the hash ring.
constexpr uint64_t kRingPoints = 16;
/// Ring points checked before prefix affinity is abandoned.
constexpr int kMaxRingProbes = 3;
/// An engine with the prefix is used if its load is at most this multiple of
/// the mean load, or exceeds the mean by at most this much.
constexpr double kLoadBoundFactor = 1.25;
constexpr double kLoadBoundSlack = 0.1;
/// Eligible engines sampled for a short prompt.
constexpr int kSamples = 2;
/// More samples for other prompts, since they delay one another by seconds.
constexpr int kLongPoolSamples = 8;
constexpr int kMaxSamples = 16;
/// Time constant with which an old load report decays to the mean load.
constexpr double kHintDecaySeconds = 15;
/// Load added for each second of running and queued prefill.
constexpr double kLoadPerBacklogSecond = 0.5;
/// Load added to engines of the other pool in a comparison.
constexpr double kSpillLoadPenalty = 0.2;
/// Mean loads of the general pool at which short prompts start and stop using
/// the long pool.
constexpr double kShortSpillStartLoad = 0.9;
constexpr double kShortSpillStopLoad = 0.7;
/// Bounds of the time for which an engine is avoided after a refusal.
constexpr Duration kMinRefusalTime = std::chrono::milliseconds(100);
constexpr Duration kMaxRefusalTime = std::chrono::seconds(2);

uint64_t HashEngineId(const EngineId& id) {
  return XXH3_64bits(id.value().data(), id.value().size());
}

/// Returns one of an engine's points on the ring. The point's number is hashed
/// as data: used as a small seed, it would give engines with short names the
/// same points.
uint64_t HashRingPoint(uint64_t engine_hash, uint64_t number) {
  const std::array<uint64_t, 2> data{engine_hash, number};
  return XXH3_64bits(data.data(), sizeof(data));
}

double ToDouble(int64_t value) { return static_cast<double>(value); }

}  // namespace

EnginePool::EnginePool(FailureDomain local_domain, PlacementFeatures features)
    : m_local_domain(std::move(local_domain)), m_features(features) {}

void EnginePool::Update(std::vector<EngineLocation> engines,
                        const control::Preset& preset) {
  std::scoped_lock lock(m_mutex);
  std::vector<EngineState> states;
  states.reserve(engines.size());
  for (EngineLocation& engine : engines) {
    auto previous = m_index_by_id.find(engine.config.id);
    EngineState state = previous == m_index_by_id.end()
                            ? EngineState{}
                            : m_engines[previous->second];
    state.engine = std::move(engine);
    states.push_back(std::move(state));
  }
  m_engines = std::move(states);
  m_index_by_id.clear();
  m_largest_memory = 0;
  for (Index i = 0; i < m_engines.size(); ++i) {
    const control::EngineConfig& config = m_engines[i].engine.config;
    m_index_by_id[config.id] = i;
    m_largest_memory = std::max(m_largest_memory, config.memory_tokens);
  }
  AssignPools(preset);
  BuildSubPools();
}

void EnginePool::AssignPools(const control::Preset& preset) {
  std::vector<Index> order(m_engines.size());
  std::iota(order.begin(), order.end(), 0);
  // Sorts by role, then hash, so that an engine that joins or leaves moves few
  // others between the pools.
  const auto sort_key = [this](Index i) {
    const control::EngineConfig& config = m_engines[i].engine.config;
    return std::make_pair(config.role != EngineRole::kLong,
                          HashEngineId(config.id));
  };
  std::sort(order.begin(), order.end(),
            [&](Index a, Index b) { return sort_key(a) < sort_key(b); });
  const double size = ToDouble(static_cast<int64_t>(order.size()));
  const auto long_pool_size =
      static_cast<size_t>(std::ceil(size * preset.long_engine_fraction - 1e-9));
  const bool is_divided = m_features.long_pool && order.size() > 1;
  for (size_t i = 0; i < order.size(); ++i) {
    EngineState& state = m_engines[order[i]];
    const bool has_long_role = state.engine.config.role == EngineRole::kLong;
    state.in_long_pool = is_divided && (has_long_role || i < long_pool_size);
  }
}

void EnginePool::BuildSubPools() {
  m_general_pool = {};
  m_long_pool = {};
  for (Index i = 0; i < m_engines.size(); ++i) {
    const EngineState& state = m_engines[i];
    SubPool& sub_pool = state.in_long_pool ? m_long_pool : m_general_pool;
    sub_pool.all.push_back(i);
    if (state.engine.failure_domain == m_local_domain) {
      sub_pool.local_domain.push_back(i);
    }
    const uint64_t hash = HashEngineId(state.engine.config.id);
    for (uint64_t point = 0; point < kRingPoints; ++point) {
      sub_pool.ring.emplace_back(HashRingPoint(hash, point), i);
    }
    sub_pool.load_sum += state.reported_load + state.pending_load;
  }
  std::sort(m_general_pool.ring.begin(), m_general_pool.ring.end());
  std::sort(m_long_pool.ring.begin(), m_long_pool.ring.end());
}

void EnginePool::UpdateShortSpill() {
  const double general_load = m_general_pool.MeanLoad();
  if (general_load >= kShortSpillStartLoad) m_short_requests_spill = true;
  if (general_load <= kShortSpillStopLoad) m_short_requests_spill = false;
}

double EnginePool::ComputeLoad(const EngineState& state,
                               const SubPool& sub_pool,
                               const Decision& decision) const {
  const double load = state.reported_load;
  if (!m_features.hint_aging) return load + state.pending_load;
  const std::chrono::duration<double> age = decision.now - state.load_at;
  const double weight = std::exp(-age.count() / kHintDecaySeconds);
  const double mean = sub_pool.MeanLoad();
  return mean + (load - mean) * weight + state.pending_load;
}

bool EnginePool::IsEligible(const EngineState& state,
                            const Decision& decision) const {
  const PlacementRequest& request = decision.request;
  const control::EngineConfig& config = state.engine.config;
  // Ignores an old `leaving` report: the host may have stopped leaving, which
  // only another reservation would show.
  const bool is_recent = decision.now - state.load_at < kMaxRefusalTime;
  if (state.load.leaving && is_recent) return false;
  if (request.tokens() > config.memory_tokens) return false;
  return std::find(request.excluded.begin(), request.excluded.end(),
                   config.id) == request.excluded.end();
}

Result<PlacementResult> EnginePool::Place(const PlacementRequest& request,
                                          TimePoint now,
                                          std::mt19937_64& random) {
  std::scoped_lock lock(m_mutex);
  if (request.tokens() > m_largest_memory) {
    return Fail(ErrorCode::kTooLarge, request.model);
  }
  const SizeClass size_class =
      ClassifySize(request.prompt_tokens, request.max_tokens, m_largest_memory);
  Decision decision{request, size_class, now, random, {}, {}};
  UpdateShortSpill();
  const bool prefers_long_pool =
      UsesLongPool(size_class) && !m_long_pool.all.empty();
  SubPool& preferred = prefers_long_pool || m_general_pool.all.empty()
                           ? m_long_pool
                           : m_general_pool;
  const SubPool& alternative =
      &preferred == &m_long_pool ? m_general_pool : m_long_pool;
  // A cached prefix does not outweigh the wait behind another long prompt.
  const bool is_chosen_by_prefix = m_features.prefix_affinity &&
                                   !IsLong(size_class) &&
                                   ChooseByPrefix(preferred, decision);
  if (!is_chosen_by_prefix) ChooseByLoad(preferred, decision);
  const bool may_spill =
      &preferred == &m_general_pool && m_short_requests_spill;
  if (!is_chosen_by_prefix && may_spill && !alternative.all.empty()) {
    const size_t old_choice_count = decision.choices.size();
    SampleByLoad(alternative.all, alternative, decision);
    for (size_t i = old_choice_count; i < decision.choices.size(); ++i) {
      decision.choices[i].load += kSpillLoadPenalty;
    }
  }
  // Falls back to the other pool if the preferred one has no eligible engine.
  if (decision.choices.empty())
    SampleByLoad(alternative.all, alternative, decision);
  if (decision.choices.empty()) {
    return Fail(ErrorCode::kNoBackend, request.model);
  }
  FillResult(decision);
  return std::move(decision.result);
}

bool EnginePool::ChooseByPrefix(const SubPool& sub_pool, Decision& decision) {
  const auto& hashes = decision.request.prefix_hashes;
  if (hashes.empty() || sub_pool.ring.empty()) return false;
  const double mean = sub_pool.MeanLoad();
  const double load_bound =
      std::max(mean * kLoadBoundFactor, mean + kLoadBoundSlack);
  auto point = std::lower_bound(sub_pool.ring.begin(), sub_pool.ring.end(),
                                std::make_pair(hashes.back(), Index{0}));
  for (int i = 0; i < kMaxRingProbes; ++i, ++point) {
    if (point == sub_pool.ring.end()) point = sub_pool.ring.begin();
    const EngineState& state = m_engines[point->second];
    const double load = ComputeLoad(state, sub_pool, decision);
    ConsideredEngine considered{state.engine.config.id, load,
                                CandidateVerdict::kOverBound};
    if (!IsEligible(state, decision)) {
      considered.verdict = CandidateVerdict::kIneligible;
    } else if (m_features.refusal_memory &&
               state.refused_until > decision.now) {
      considered.verdict = CandidateVerdict::kRecentlyRefused;
    } else if (load <= load_bound || !m_features.bounded_load) {
      decision.choices.push_back({point->second, load, false});
      decision.result.reason = PlacementReason::kPrefix;
      ChooseByLoad(sub_pool, decision);
      return true;
    }
    decision.result.trace.push_back(std::move(considered));
  }
  return false;
}

void EnginePool::ChooseByLoad(const SubPool& sub_pool, Decision& decision) {
  const bool is_chosen_by_prefix = !decision.choices.empty();
  // The network latency to another failure domain is negligible compared with a
  // longer prefill.
  const bool prefers_local_domain =
      m_features.local_domain && !UsesLongPool(decision.size_class);
  if (prefers_local_domain && !sub_pool.local_domain.empty()) {
    SampleByLoad(sub_pool.local_domain, sub_pool, decision);
    const bool has_room = std::any_of(
        decision.choices.begin(), decision.choices.end(), [](const Choice& c) {
          return !c.is_refused && c.load < kShortSpillStartLoad;
        });
    if (has_room || is_chosen_by_prefix) return;
    decision.result.reason = PlacementReason::kOtherDomain;
  }
  SampleByLoad(sub_pool.all, sub_pool, decision);
}

void EnginePool::SampleByLoad(const std::vector<Index>& from,
                              const SubPool& sub_pool, Decision& decision) {
  if (from.empty()) return;
  const int samples =
      UsesLongPool(decision.size_class) ? kLongPoolSamples : kSamples;
  const int wanted_samples = m_features.two_choices ? samples : 1;
  const size_t old_choice_count = decision.choices.size();
  std::uniform_int_distribution<size_t> index_distribution(0, from.size() - 1);
  int accepted_samples = 0;
  for (int i = 0; i < kMaxSamples && accepted_samples < wanted_samples; ++i) {
    const Index index = from[index_distribution(decision.random)];
    const EngineState& state = m_engines[index];
    if (!IsEligible(state, decision)) continue;
    const bool is_duplicate = std::any_of(
        decision.choices.begin(), decision.choices.end(),
        [index](const Choice& choice) { return choice.index == index; });
    if (is_duplicate) continue;
    const bool is_refused =
        m_features.refusal_memory && state.refused_until > decision.now;
    decision.choices.push_back(
        {index, ComputeLoad(state, sub_pool, decision), is_refused});
    if (!is_refused) ++accepted_samples;
  }
  if (decision.choices.size() > old_choice_count) return;
  // Checks every engine, since sampling may miss the few eligible ones.
  for (const Index index : from) {
    const EngineState& state = m_engines[index];
    if (!IsEligible(state, decision)) continue;
    const bool is_refused = state.refused_until > decision.now;
    decision.choices.push_back(
        {index, ComputeLoad(state, sub_pool, decision), is_refused});
  }
}

void EnginePool::FillResult(Decision& decision) {
  auto& choices = decision.choices;
  PlacementResult& result = decision.result;
  // An engine chosen by its prefix stays first.
  auto begin = choices.begin();
  if (result.reason == PlacementReason::kPrefix) ++begin;
  std::sort(begin, choices.end(), [](const Choice& a, const Choice& b) {
    return std::make_pair(a.is_refused, a.load) <
           std::make_pair(b.is_refused, b.load);
  });
  if (choices.front().is_refused) result.reason = PlacementReason::kAllRefused;
  const bool is_from_long_pool = m_engines[choices.front().index].in_long_pool;
  const bool prefers_long_pool = UsesLongPool(decision.size_class);
  if (is_from_long_pool != prefers_long_pool && !m_long_pool.all.empty() &&
      !m_general_pool.all.empty()) {
    result.reason = PlacementReason::kSpill;
  }
  for (size_t i = 0; i < choices.size(); ++i) {
    const EngineLocation& engine = m_engines[choices[i].index].engine;
    CandidateVerdict verdict = choices[i].is_refused
                                   ? CandidateVerdict::kRecentlyRefused
                                   : CandidateVerdict::kMoreLoaded;
    if (i == 0) verdict = CandidateVerdict::kChosen;
    if (i == 1) verdict = CandidateVerdict::kSecond;
    result.trace.push_back({engine.config.id, choices[i].load, verdict});
    if (i < 2) {
      result.candidates.push_back({engine.config.id, engine.config.host});
    }
  }
  AddPending(m_engines[choices.front().index], decision.request.tokens());
}

void EnginePool::SetLoad(EngineState& state, double reported, double pending) {
  SubPool& sub_pool = state.in_long_pool ? m_long_pool : m_general_pool;
  sub_pool.load_sum +=
      reported + pending - state.reported_load - state.pending_load;
  state.reported_load = reported;
  state.pending_load = pending;
}

void EnginePool::AddPending(EngineState& state, int64_t tokens) {
  const control::EngineConfig& config = state.engine.config;
  const double by_tokens = ToDouble(tokens) / ToDouble(config.memory_tokens);
  const double by_slots = 1.0 / std::max(1, config.slots);
  SetLoad(state, state.reported_load,
          state.pending_load + std::max(by_tokens, by_slots));
}

void EnginePool::OnLoad(const EngineId& engine, const EngineLoad& load,
                        TimePoint measured_at) {
  std::scoped_lock lock(m_mutex);
  auto it = m_index_by_id.find(engine);
  if (it == m_index_by_id.end()) return;
  EngineState& state = m_engines[it->second];
  if (measured_at < state.load_at) return;
  if (m_features.refusal_memory && measured_at < state.refused_at) return;
  const control::EngineConfig& config = state.engine.config;
  const int64_t used =
      config.memory_tokens - load.free_tokens + load.queued_tokens;
  const int32_t slots = config.slots - load.free_slots + load.queued;
  const double by_tokens = ToDouble(used) / ToDouble(config.memory_tokens);
  const double by_slots =
      static_cast<double>(slots) / std::max(1, config.slots);
  state.load = load;
  state.load_at = measured_at;
  const std::chrono::duration<double> backlog = load.prefill_backlog;
  SetLoad(
      state,
      std::max(by_tokens, by_slots) + kLoadPerBacklogSecond * backlog.count(),
      0);
}

void EnginePool::OnRefused(const EngineId& engine, TimePoint now,
                           Duration retry_after) {
  std::scoped_lock lock(m_mutex);
  auto it = m_index_by_id.find(engine);
  if (it == m_index_by_id.end()) return;
  EngineState& state = m_engines[it->second];
  state.refused_at = now;
  state.refused_until =
      now + std::clamp(retry_after, kMinRefusalTime, kMaxRefusalTime);
}

}  // namespace peridotshelf::policy
