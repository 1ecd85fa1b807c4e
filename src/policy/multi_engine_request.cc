#include "peridotshelf/policy/multi_engine_request.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::policy {

Result<std::vector<EngineShard>> SplitIntoShards(
    int64_t tokens, std::span<const ShardCandidate> candidates) {
  std::vector<ShardCandidate> sorted(candidates.begin(), candidates.end());
  std::sort(sorted.begin(), sorted.end(),
            [](const ShardCandidate& a, const ShardCandidate& b) {
              return std::make_pair(b.free_tokens, a.engine) <
                     std::make_pair(a.free_tokens, b.engine);
            });
  int64_t max_shard_tokens = INT64_MAX;
  for (size_t count = 1; count <= sorted.size(); ++count) {
    const auto memory = static_cast<double>(sorted[count - 1].memory_tokens);
    max_shard_tokens = std::min(
        max_shard_tokens, static_cast<int64_t>(memory * kShardMemoryFraction));
    const auto shard_count = static_cast<int64_t>(count);
    const int64_t shard_tokens = (tokens + shard_count - 1) / shard_count;
    if (shard_tokens > max_shard_tokens) continue;
    std::vector<EngineShard> shards;
    for (size_t i = 0; i < count; ++i) {
      shards.push_back({sorted[i].engine, shard_tokens});
    }
    return shards;
  }
  return Fail(ErrorCode::kTooLarge,
              "the prompt exceeds the engines of its model");
}

MultiEngineRequest::MultiEngineRequest(std::vector<EngineShard> shards,
                                       TimePoint reserve_deadline)
    : m_shards(std::move(shards)),
      m_shard_states(m_shards.size(), ShardState::kNotRequested),
      m_reserve_deadline(reserve_deadline) {
  std::sort(m_shards.begin(), m_shards.end(),
            [](const EngineShard& a, const EngineShard& b) {
              return a.engine < b.engine;
            });
}

size_t MultiEngineRequest::FindIndex(const EngineId& engine) const {
  const auto it = std::find_if(
      m_shards.begin(), m_shards.end(),
      [&engine](const EngineShard& shard) { return shard.engine == engine; });
  return static_cast<size_t>(it - m_shards.begin());
}

std::vector<ShardAction> MultiEngineRequest::Begin() {
  m_shard_states.front() = ShardState::kRequested;
  return {{ShardStep::kReserve, m_shards.front()}};
}

std::vector<ShardAction> MultiEngineRequest::OnGranted(const EngineId& engine) {
  const size_t index = FindIndex(engine);
  if (index == m_shards.size()) return {};
  if (m_state == State::kFailed) {
    return {{ShardStep::kRelease, m_shards[index]}};
  }
  if (m_shard_states[index] != ShardState::kRequested) return {};
  m_shard_states[index] = ShardState::kAllocated;
  const size_t next = index + 1;
  if (next < m_shards.size()) {
    m_shard_states[next] = ShardState::kRequested;
    return {{ShardStep::kReserve, m_shards[next]}};
  }
  m_state = State::kRunning;
  std::vector<ShardAction> starts;
  for (const EngineShard& shard : m_shards) {
    starts.push_back({ShardStep::kStart, shard});
  }
  return starts;
}

std::vector<ShardAction> MultiEngineRequest::OnLost(const EngineId& engine) {
  const size_t index = FindIndex(engine);
  const bool has_ended = m_state == State::kDone || m_state == State::kFailed;
  if (index == m_shards.size() || has_ended) return {};
  if (m_shard_states[index] == ShardState::kEnded) return {};
  return ReleaseAll();
}

std::vector<ShardAction> MultiEngineRequest::OnFinished(
    const EngineId& engine) {
  const size_t index = FindIndex(engine);
  if (index == m_shards.size() || m_state != State::kRunning) return {};
  m_shard_states[index] = ShardState::kEnded;
  const bool is_done =
      std::all_of(m_shard_states.begin(), m_shard_states.end(),
                  [](ShardState state) { return state == ShardState::kEnded; });
  if (is_done) m_state = State::kDone;
  return {};
}

std::vector<ShardAction> MultiEngineRequest::Tick(TimePoint now) {
  if (m_state != State::kReservingShards || now < m_reserve_deadline) return {};
  return ReleaseAll();
}

std::vector<ShardAction> MultiEngineRequest::ReleaseAll() {
  m_state = State::kFailed;
  std::vector<ShardAction> releases;
  for (size_t i = 0; i < m_shards.size(); ++i) {
    const bool needs_release = m_shard_states[i] == ShardState::kRequested ||
                               m_shard_states[i] == ShardState::kAllocated;
    if (needs_release) releases.push_back({ShardStep::kRelease, m_shards[i]});
  }
  return releases;
}

}  // namespace peridotshelf::policy
