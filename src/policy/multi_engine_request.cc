#include "peridotshelf/policy/gang.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::policy {

Result<std::vector<GangMember>> DivideGang(
    int64_t tokens, std::span<const GangCandidate> candidates) {
  std::vector<GangCandidate> order(candidates.begin(), candidates.end());
  std::sort(order.begin(), order.end(),
            [](const GangCandidate& a, const GangCandidate& b) {
              return std::make_pair(b.free_tokens, a.engine) <
                     std::make_pair(a.free_tokens, b.engine);
            });
  int64_t smallest_part = INT64_MAX;
  for (size_t count = 1; count <= order.size(); ++count) {
    const auto memory = static_cast<double>(order[count - 1].memory_tokens);
    smallest_part =
        std::min(smallest_part, static_cast<int64_t>(memory * kGangMemoryPart));
    const auto parts = static_cast<int64_t>(count);
    const int64_t part = (tokens + parts - 1) / parts;
    if (part > smallest_part) continue;
    std::vector<GangMember> members;
    for (size_t i = 0; i < count; ++i) {
      members.push_back({order[i].engine, part});
    }
    return members;
  }
  return Fail(ErrorCode::kTooLarge, "gang");
}

Gang::Gang(std::vector<GangMember> members, TimePoint gather_until)
    : m_members(std::move(members)),
      m_parts(m_members.size(), Part::kUnasked),
      m_gather_until(gather_until) {
  std::sort(m_members.begin(), m_members.end(),
            [](const GangMember& a, const GangMember& b) {
              return a.engine < b.engine;
            });
}

size_t Gang::IndexOf(const EngineId& engine) const {
  const auto it = std::find_if(
      m_members.begin(), m_members.end(),
      [&engine](const GangMember& member) { return member.engine == engine; });
  return static_cast<size_t>(it - m_members.begin());
}

std::vector<GangAction> Gang::Begin() {
  m_parts.front() = Part::kAsked;
  return {{GangStep::kReserve, m_members.front()}};
}

std::vector<GangAction> Gang::OnGranted(const EngineId& engine) {
  const size_t index = IndexOf(engine);
  if (index == m_members.size()) return {};
  if (m_state == State::kFailed) {
    return {{GangStep::kRelease, m_members[index]}};
  }
  if (m_parts[index] != Part::kAsked) return {};
  m_parts[index] = Part::kHeld;
  const size_t next = index + 1;
  if (next < m_members.size()) {
    m_parts[next] = Part::kAsked;
    return {{GangStep::kReserve, m_members[next]}};
  }
  m_state = State::kRunning;
  std::vector<GangAction> starts;
  for (const GangMember& member : m_members) {
    starts.push_back({GangStep::kStart, member});
  }
  return starts;
}

std::vector<GangAction> Gang::OnLost(const EngineId& engine) {
  const size_t index = IndexOf(engine);
  const bool ended = m_state == State::kDone || m_state == State::kFailed;
  if (index == m_members.size() || ended) return {};
  if (m_parts[index] == Part::kEnded) return {};
  return ReleaseAll();
}

std::vector<GangAction> Gang::OnFinished(const EngineId& engine) {
  const size_t index = IndexOf(engine);
  if (index == m_members.size() || m_state != State::kRunning) return {};
  m_parts[index] = Part::kEnded;
  const bool done = std::all_of(m_parts.begin(), m_parts.end(),
                                [](Part part) { return part == Part::kEnded; });
  if (done) m_state = State::kDone;
  return {};
}

std::vector<GangAction> Gang::Tick(TimePoint now) {
  if (m_state != State::kGathering || now < m_gather_until) return {};
  return ReleaseAll();
}

std::vector<GangAction> Gang::ReleaseAll() {
  m_state = State::kFailed;
  std::vector<GangAction> releases;
  for (size_t i = 0; i < m_members.size(); ++i) {
    const bool touched =
        m_parts[i] == Part::kAsked || m_parts[i] == Part::kHeld;
    if (touched) releases.push_back({GangStep::kRelease, m_members[i]});
  }
  return releases;
}

}  // namespace peridotshelf::policy
