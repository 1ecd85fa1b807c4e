#include "peridotshelf/policy/multi_engine_request.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::policy {

Result<std::vector<EngineShard>> SplitIntoShards(
    int64_t tokens, std::span<const ShardCandidate> candidates) {
  std::vector<ShardCandidate> order(candidates.begin(), candidates.end());
  std::sort(order.begin(), order.end(),
            [](const ShardCandidate& a, const ShardCandidate& b) {
              return std::make_pair(b.free_tokens, a.engine) <
                     std::make_pair(a.free_tokens, b.engine);
            });
  int64_t smallest_part = INT64_MAX;
  for (size_t count = 1; count <= order.size(); ++count) {
    const auto memory = static_cast<double>(order[count - 1].memory_tokens);
    smallest_part = std::min(
        smallest_part, static_cast<int64_t>(memory * kShardMemoryFraction));
    const auto parts = static_cast<int64_t>(count);
    const int64_t part = (tokens + parts - 1) / parts;
    if (part > smallest_part) continue;
    std::vector<EngineShard> members;
    for (size_t i = 0; i < count; ++i) {
      members.push_back({order[i].engine, part});
    }
    return members;
  }
  return Fail(ErrorCode::kTooLarge, "gang");
}

MultiEngineRequest::MultiEngineRequest(std::vector<EngineShard> members,
                                       TimePoint reserve_deadline)
    : m_members(std::move(members)),
      m_parts(m_members.size(), Part::kUnasked),
      m_reserve_deadline(reserve_deadline) {
  std::sort(m_members.begin(), m_members.end(),
            [](const EngineShard& a, const EngineShard& b) {
              return a.engine < b.engine;
            });
}

size_t MultiEngineRequest::IndexOf(const EngineId& engine) const {
  const auto it = std::find_if(
      m_members.begin(), m_members.end(),
      [&engine](const EngineShard& member) { return member.engine == engine; });
  return static_cast<size_t>(it - m_members.begin());
}

std::vector<ShardAction> MultiEngineRequest::Begin() {
  m_parts.front() = Part::kAsked;
  return {{ShardStep::kReserve, m_members.front()}};
}

std::vector<ShardAction> MultiEngineRequest::OnGranted(const EngineId& engine) {
  const size_t index = IndexOf(engine);
  if (index == m_members.size()) return {};
  if (m_state == State::kFailed) {
    return {{ShardStep::kRelease, m_members[index]}};
  }
  if (m_parts[index] != Part::kAsked) return {};
  m_parts[index] = Part::kHeld;
  const size_t next = index + 1;
  if (next < m_members.size()) {
    m_parts[next] = Part::kAsked;
    return {{ShardStep::kReserve, m_members[next]}};
  }
  m_state = State::kRunning;
  std::vector<ShardAction> starts;
  for (const EngineShard& member : m_members) {
    starts.push_back({ShardStep::kStart, member});
  }
  return starts;
}

std::vector<ShardAction> MultiEngineRequest::OnLost(const EngineId& engine) {
  const size_t index = IndexOf(engine);
  const bool ended = m_state == State::kDone || m_state == State::kFailed;
  if (index == m_members.size() || ended) return {};
  if (m_parts[index] == Part::kEnded) return {};
  return ReleaseAll();
}

std::vector<ShardAction> MultiEngineRequest::OnFinished(
    const EngineId& engine) {
  const size_t index = IndexOf(engine);
  if (index == m_members.size() || m_state != State::kRunning) return {};
  m_parts[index] = Part::kEnded;
  const bool done = std::all_of(m_parts.begin(), m_parts.end(),
                                [](Part part) { return part == Part::kEnded; });
  if (done) m_state = State::kDone;
  return {};
}

std::vector<ShardAction> MultiEngineRequest::Tick(TimePoint now) {
  if (m_state != State::kReservingShards || now < m_reserve_deadline) return {};
  return ReleaseAll();
}

std::vector<ShardAction> MultiEngineRequest::ReleaseAll() {
  m_state = State::kFailed;
  std::vector<ShardAction> releases;
  for (size_t i = 0; i < m_members.size(); ++i) {
    const bool touched =
        m_parts[i] == Part::kAsked || m_parts[i] == Part::kHeld;
    if (touched) releases.push_back({ShardStep::kRelease, m_members[i]});
  }
  return releases;
}

}  // namespace peridotshelf::policy
