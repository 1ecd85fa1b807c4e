#include "peridotshelf/ledger/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace peridotshelf::ledger {

namespace {

/// A team with a share of 0 would never be served.
constexpr double kMinShare = 0.01;

}  // namespace

double FairQueue::FindShare(const TeamId& team) const {
  auto it = m_shares.find(team);
  return it == m_shares.end() ? 1.0 : std::max(it->second, kMinShare);
}

void FairQueue::Push(WaitingRequest waiting) {
  Level& level = m_levels[waiting.request.priority];
  const TeamId& id = waiting.request.team;
  auto team = std::find_if(level.begin(), level.end(),
                           [&id](const Team& t) { return t.id == id; });
  if (team == level.end()) {
    level.push_back({id, 0, {}});
    team = std::prev(level.end());
  }
  m_size += 1;
  m_tokens += waiting.request.tokens();
  const DeadlineKey key{waiting.request.deadline.time_point(),
                        m_next_arrival++};
  team->waiting.emplace(key, std::move(waiting));
}

FairQueue::Choice FairQueue::Choose(const Level& level) const {
  Choice best{level.end(), 0};
  for (auto team = level.begin(); team != level.end(); ++team) {
    const auto cost =
        static_cast<double>(team->waiting.begin()->second.request.tokens());
    const double missing = std::max(0.0, cost - team->deficit);
    const double rounds =
        std::ceil(missing / (kQuantumTokens * FindShare(team->id)));
    if (best.team == level.end() || rounds < best.rounds) best = {team, rounds};
  }
  return best;
}

const WaitingRequest* FairQueue::Peek() const {
  if (m_levels.empty()) return nullptr;
  return &Choose(m_levels.begin()->second).team->waiting.begin()->second;
}

WaitingRequest FairQueue::PopFirst(Team& team) {
  WaitingRequest popped = std::move(team.waiting.begin()->second);
  team.waiting.erase(team.waiting.begin());
  m_size -= 1;
  m_tokens -= popped.request.tokens();
  return popped;
}

std::optional<WaitingRequest> FairQueue::Pop() {
  if (m_levels.empty()) return std::nullopt;
  Level& level = m_levels.begin()->second;
  const Choice choice = Choose(level);
  for (Team& team : level) {
    team.deficit += choice.rounds * kQuantumTokens * FindShare(team.id);
  }
  // Erasing an empty range turns the const iterator into a mutable one.
  auto chosen = level.erase(choice.team, choice.team);
  WaitingRequest popped = PopFirst(*chosen);
  chosen->deficit -= static_cast<double>(popped.request.tokens());
  if (chosen->waiting.empty()) {
    level.erase(chosen);
  } else {
    level.splice(level.end(), level, chosen);
  }
  if (level.empty()) m_levels.erase(m_levels.begin());
  return popped;
}

std::optional<WaitingRequest> FairQueue::Remove(const AttemptId& attempt) {
  auto removed = RemoveIf([&attempt](const WaitingRequest& waiting) {
    return waiting.request.attempt == attempt;
  });
  if (removed.empty()) return std::nullopt;
  return std::move(removed.front());
}

bool FairQueue::Contains(const AttemptId& attempt) const {
  bool found = false;
  ForEach([&](const WaitingRequest& waiting) {
    found = found || waiting.request.attempt == attempt;
  });
  return found;
}

std::vector<WaitingRequest> FairQueue::RemoveIf(
    const std::function<bool(const WaitingRequest&)>& predicate) {
  std::vector<WaitingRequest> removed;
  for (auto& [priority, level] : m_levels) {
    for (Team& team : level) {
      for (auto it = team.waiting.begin(); it != team.waiting.end();) {
        if (!predicate(it->second)) {
          ++it;
          continue;
        }
        m_size -= 1;
        m_tokens -= it->second.request.tokens();
        removed.push_back(std::move(it->second));
        it = team.waiting.erase(it);
      }
    }
    level.remove_if([](const Team& team) { return team.waiting.empty(); });
  }
  std::erase_if(m_levels, [](const auto& item) { return item.second.empty(); });
  return removed;
}

void FairQueue::ForEach(
    const std::function<void(const WaitingRequest&)>& visit) const {
  for (const auto& [priority, level] : m_levels) {
    for (const Team& team : level) {
      for (const auto& [key, waiting] : team.waiting) visit(waiting);
    }
  }
}

}  // namespace peridotshelf::ledger
