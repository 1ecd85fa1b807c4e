#include "policy/engine_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotshelf::policy {

using control::EngineRole;

namespace {

/// Points of one engine on the hash ring.
constexpr uint64_t kRingPoints = 16;
/// Ring points visited before affinity is given up.
constexpr int kRingTries = 3;
/// An engine with the prefix is used up to this multiple of the mean load, or
/// this far above it.
constexpr double kBoundFactor = 1.25;
constexpr double kBoundSlack = 0.1;
/// Engines sampled by load; more only if some do not fit.
constexpr int kSamples = 2;
/// Prompts that are not short wait for seconds behind one another.
constexpr int kLongPoolSamples = 8;
constexpr int kMostSamples = 16;
/// Hints fade to the mean with this time constant.
constexpr double kHintSeconds = 15;
/// What a second of prefill that runs or waits adds to an engine's load.
constexpr double kLoadPerBacklogSecond = 0.5;
/// Added to the load of an engine of the other part when it is compared.
constexpr double kOtherPartLoad = 0.2;
/// Mean loads at which short prompts begin and cease to use the long pool.
constexpr double kShortSpillBegin = 0.9;
constexpr double kShortSpillEnd = 0.7;
/// Bounds of how long a refusal is remembered.
constexpr Duration kMinRefusal = std::chrono::milliseconds(100);
constexpr Duration kMaxRefusal = std::chrono::seconds(2);

uint64_t HashOf(const EngineId& id) {
  return XXH3_64bits(id.value().data(), id.value().size());
}

/// One of an engine's points on the ring. The point's number is hashed as
/// data: as a small seed it would give short names the same set of points.
uint64_t RingPoint(uint64_t engine_hash, uint64_t number) {
  const std::array<uint64_t, 2> data{engine_hash, number};
  return XXH3_64bits(data.data(), sizeof(data));
}

double AsDouble(int64_t value) { return static_cast<double>(value); }

}  // namespace

EnginePool::EnginePool(FailureDomain local_domain, PlacementFeatures mechanisms)
    : m_local_domain(std::move(local_domain)), m_mechanisms(mechanisms) {}

void EnginePool::Update(std::vector<EngineLocation> engines,
                        const control::Preset& preset) {
  std::scoped_lock lock(m_mutex);
  std::vector<EngineState> states;
  states.reserve(engines.size());
  for (EngineLocation& engine : engines) {
    auto known = m_index_of.find(engine.config.id);
    EngineState state =
        known == m_index_of.end() ? EngineState{} : m_engines[known->second];
    state.engine = std::move(engine);
    states.push_back(std::move(state));
  }
  m_engines = std::move(states);
  m_index_of.clear();
  m_largest_memory = 0;
  for (Index i = 0; i < m_engines.size(); ++i) {
    const control::EngineConfig& config = m_engines[i].engine.config;
    m_index_of[config.id] = i;
    m_largest_memory = std::max(m_largest_memory, config.memory_tokens);
  }
  Divide(preset);
  BuildParts();
}

void EnginePool::Divide(const control::Preset& preset) {
  std::vector<Index> order(m_engines.size());
  std::iota(order.begin(), order.end(), 0);
  // By role, then hash: an engine that joins or leaves moves few others.
  const auto rank = [this](Index i) {
    const control::EngineConfig& config = m_engines[i].engine.config;
    return std::make_pair(config.role != EngineRole::kLong, HashOf(config.id));
  };
  std::sort(order.begin(), order.end(),
            [&](Index a, Index b) { return rank(a) < rank(b); });
  const double size = AsDouble(static_cast<int64_t>(order.size()));
  const auto wanted =
      static_cast<size_t>(std::ceil(size * preset.long_engine_fraction - 1e-9));
  const bool divided = m_mechanisms.long_pool && order.size() > 1;
  for (size_t i = 0; i < order.size(); ++i) {
    EngineState& state = m_engines[order[i]];
    const bool by_role = state.engine.config.role == EngineRole::kLong;
    state.in_long_pool = divided && (by_role || i < wanted);
  }
}

void EnginePool::BuildParts() {
  m_general = {};
  m_long = {};
  for (Index i = 0; i < m_engines.size(); ++i) {
    const EngineState& state = m_engines[i];
    Part& part = state.in_long_pool ? m_long : m_general;
    part.all.push_back(i);
    if (state.engine.failure_domain == m_local_domain) {
      part.local_domain.push_back(i);
    }
    const uint64_t hash = HashOf(state.engine.config.id);
    for (uint64_t point = 0; point < kRingPoints; ++point) {
      part.ring.emplace_back(RingPoint(hash, point), i);
    }
    part.load_sum += state.reported_load + state.pending_load;
  }
  std::sort(m_general.ring.begin(), m_general.ring.end());
  std::sort(m_long.ring.begin(), m_long.ring.end());
}

void EnginePool::UpdateSpill() {
  const double general = m_general.MeanLoad();
  if (general >= kShortSpillBegin) m_short_spill = true;
  if (general <= kShortSpillEnd) m_short_spill = false;
}

double EnginePool::ComputeLoad(const EngineState& state, const Part& part,
                               const Decision& decision) const {
  const double load = state.reported_load;
  if (!m_mechanisms.hint_aging) return load + state.pending_load;
  const std::chrono::duration<double> age = decision.now - state.load_at;
  const double weight = std::exp(-age.count() / kHintSeconds);
  const double mean = part.MeanLoad();
  return mean + (load - mean) * weight + state.pending_load;
}

bool EnginePool::Fits(const EngineState& state,
                      const Decision& decision) const {
  const PlacementRequest& request = decision.request;
  const control::EngineConfig& config = state.engine.config;
  // A host may stop leaving, and only a reservation would tell.
  const bool fresh = decision.now - state.load_at < kMaxRefusal;
  if (state.load.leaving && fresh) return false;
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
  UpdateSpill();
  const bool wants_long = UsesLongPool(size_class) && !m_long.all.empty();
  Part& own = wants_long || m_general.all.empty() ? m_long : m_general;
  const Part& other = &own == &m_long ? m_general : m_long;
  // A cached long prefix is not worth the wait behind another long prompt.
  const bool by_prefix = m_mechanisms.prefix_affinity && !IsLong(size_class) &&
                         ChooseByPrefix(own, decision);
  if (!by_prefix) ChooseByLoad(own, decision);
  const bool spills = &own == &m_general && m_short_spill;
  if (!by_prefix && spills && !other.all.empty()) {
    const size_t before = decision.choices.size();
    Sample(other.all, other, decision);
    for (size_t i = before; i < decision.choices.size(); ++i) {
      decision.choices[i].load += kOtherPartLoad;
    }
  }
  // Engines of the other part are a last resort.
  if (decision.choices.empty()) Sample(other.all, other, decision);
  if (decision.choices.empty()) {
    return Fail(ErrorCode::kNoBackend, request.model);
  }
  Finish(decision);
  return std::move(decision.result);
}

bool EnginePool::ChooseByPrefix(const Part& part, Decision& decision) {
  const auto& hashes = decision.request.prefix_hashes;
  if (hashes.empty() || part.ring.empty()) return false;
  const double mean = part.MeanLoad();
  const double bound = std::max(mean * kBoundFactor, mean + kBoundSlack);
  auto point = std::lower_bound(part.ring.begin(), part.ring.end(),
                                std::make_pair(hashes.back(), Index{0}));
  for (int i = 0; i < kRingTries; ++i, ++point) {
    if (point == part.ring.end()) point = part.ring.begin();
    const EngineState& state = m_engines[point->second];
    const double load = ComputeLoad(state, part, decision);
    Considered line{state.engine.config.id, load, CandidateVerdict::kOverBound};
    if (!Fits(state, decision)) {
      line.verdict = CandidateVerdict::kIneligible;
    } else if (m_mechanisms.refusal_memory &&
               state.refused_until > decision.now) {
      line.verdict = CandidateVerdict::kRecentlyRefused;
    } else if (load <= bound || !m_mechanisms.bounded_load) {
      decision.choices.push_back({point->second, load, false});
      decision.result.reason = PlacementReason::kPrefix;
      ChooseByLoad(part, decision);
      return true;
    }
    decision.result.trace.push_back(std::move(line));
  }
  return false;
}

void EnginePool::ChooseByLoad(const Part& part, Decision& decision) {
  const bool by_prefix = !decision.choices.empty();
  // The way to another domain is as nothing beside a longer prefill.
  const bool near =
      m_mechanisms.local_domain && !UsesLongPool(decision.size_class);
  if (near && !part.local_domain.empty()) {
    Sample(part.local_domain, part, decision);
    const bool room = std::any_of(
        decision.choices.begin(), decision.choices.end(), [](const Choice& c) {
          return !c.refused && c.load < kShortSpillBegin;
        });
    if (room || by_prefix) return;
    decision.result.reason = PlacementReason::kOtherDomain;
  }
  Sample(part.all, part, decision);
}

void EnginePool::Sample(const std::vector<Index>& from, const Part& part,
                        Decision& decision) {
  if (from.empty()) return;
  const int samples =
      UsesLongPool(decision.size_class) ? kLongPoolSamples : kSamples;
  const int wanted = m_mechanisms.two_choices ? samples : 1;
  const size_t before = decision.choices.size();
  std::uniform_int_distribution<size_t> any(0, from.size() - 1);
  int fresh = 0;
  for (int i = 0; i < kMostSamples && fresh < wanted; ++i) {
    const Index index = from[any(decision.random)];
    const EngineState& state = m_engines[index];
    if (!Fits(state, decision)) continue;
    const bool taken = std::any_of(
        decision.choices.begin(), decision.choices.end(),
        [index](const Choice& choice) { return choice.index == index; });
    if (taken) continue;
    const bool refused =
        m_mechanisms.refusal_memory && state.refused_until > decision.now;
    decision.choices.push_back(
        {index, ComputeLoad(state, part, decision), refused});
    if (!refused) ++fresh;
  }
  if (decision.choices.size() > before) return;
  // Few engines fit: look at each, since sampling may miss them.
  for (const Index index : from) {
    const EngineState& state = m_engines[index];
    if (!Fits(state, decision)) continue;
    const bool refused = state.refused_until > decision.now;
    decision.choices.push_back(
        {index, ComputeLoad(state, part, decision), refused});
  }
}

void EnginePool::Finish(Decision& decision) {
  auto& choices = decision.choices;
  PlacementResult& result = decision.result;
  // The engine with the prefix stays first.
  auto begin = choices.begin();
  if (result.reason == PlacementReason::kPrefix) ++begin;
  std::sort(begin, choices.end(), [](const Choice& a, const Choice& b) {
    return std::make_pair(a.refused, a.load) <
           std::make_pair(b.refused, b.load);
  });
  if (choices.front().refused) result.reason = PlacementReason::kAllRefused;
  const bool from_long = m_engines[choices.front().index].in_long_pool;
  const bool wants_long = UsesLongPool(decision.size_class);
  if (from_long != wants_long && !m_long.all.empty() &&
      !m_general.all.empty()) {
    result.reason = PlacementReason::kSpill;
  }
  for (size_t i = 0; i < choices.size(); ++i) {
    const EngineLocation& engine = m_engines[choices[i].index].engine;
    CandidateVerdict verdict = choices[i].refused
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
  Part& part = state.in_long_pool ? m_long : m_general;
  part.load_sum +=
      reported + pending - state.reported_load - state.pending_load;
  state.reported_load = reported;
  state.pending_load = pending;
}

void EnginePool::AddPending(EngineState& state, int64_t tokens) {
  const control::EngineConfig& config = state.engine.config;
  const double by_tokens = AsDouble(tokens) / AsDouble(config.memory_tokens);
  const double by_slots = 1.0 / std::max(1, config.slots);
  SetLoad(state, state.reported_load,
          state.pending_load + std::max(by_tokens, by_slots));
}

void EnginePool::OnLoad(const EngineId& engine, const EngineLoad& load,
                        TimePoint taken_at) {
  std::scoped_lock lock(m_mutex);
  auto it = m_index_of.find(engine);
  if (it == m_index_of.end()) return;
  EngineState& state = m_engines[it->second];
  if (taken_at < state.load_at) return;
  if (m_mechanisms.refusal_memory && taken_at < state.refused_at) return;
  const control::EngineConfig& config = state.engine.config;
  const int64_t used =
      config.memory_tokens - load.free_tokens + load.queued_tokens;
  const int32_t slots = config.slots - load.free_slots + load.queued;
  const double by_tokens = AsDouble(used) / AsDouble(config.memory_tokens);
  const double by_slots =
      static_cast<double>(slots) / std::max(1, config.slots);
  state.load = load;
  state.load_at = taken_at;
  const std::chrono::duration<double> backlog = load.prefill_backlog;
  SetLoad(
      state,
      std::max(by_tokens, by_slots) + kLoadPerBacklogSecond * backlog.count(),
      0);
}

void EnginePool::OnRefused(const EngineId& engine, TimePoint now,
                           Duration retry_after) {
  std::scoped_lock lock(m_mutex);
  auto it = m_index_of.find(engine);
  if (it == m_index_of.end()) return;
  EngineState& state = m_engines[it->second];
  state.refused_at = now;
  state.refused_until = now + std::clamp(retry_after, kMinRefusal, kMaxRefusal);
}

}  // namespace peridotshelf::policy
