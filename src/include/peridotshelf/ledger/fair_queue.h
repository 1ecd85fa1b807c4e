/// Queue of requests for one engine: highest priority first; teams of equal
/// priority by deficit round robin in tokens; requests of one team by earliest
/// deadline.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotshelf/base/ids.h"
#include "peridotshelf/base/request_deadline.h"
#include "peridotshelf/policy/size_class.h"

namespace peridotshelf::ledger {

/// An entry's request to a side for memory and a slot of an engine.
struct ReserveRequest {
  AttemptId attempt;
  /// The entry process that sent the request.
  ProcessId owner;
  TeamId team;
  /// Higher values are granted first; preset offsets are already added.
  int32_t priority = 0;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  policy::SizeClass size_class = policy::SizeClass::kShort;
  /// For a shard of a multi-engine request: when that request was admitted, on
  /// the side's clock.
  std::optional<TimePoint> multi_engine_since;
  RequestDeadline deadline = RequestDeadline::FromRemaining({}, {});

  /// Memory the attempt needs, in tokens.
  int64_t tokens() const { return prompt_tokens + max_tokens; }
};

/// A queued request and the estimates made when it was queued.
struct WaitingRequest {
  ReserveRequest request;
  TimePoint queued_at;
  Duration predicted_wait{};
  /// A request that starts later cannot meet its deadline.
  TimePoint latest_start;
};

/// Queue of requests. Push, Peek and Pop take time linear in the number of
/// teams with queued requests. Not thread-safe.
class FairQueue {
 public:
  /// Tokens added per round to the deficit of a team with a share of 1.
  static constexpr double kQuantumTokens = 8'192;

  /// Sets the share (round-robin weight) of a team, 1 by default.
  void SetShare(const TeamId& team, double share) { m_shares[team] = share; }
  void Push(WaitingRequest waiting);
  /// Returns the next request in order, or null if the queue is empty.
  const WaitingRequest* Peek() const;
  /// Removes the next request in order and charges its tokens to its team.
  std::optional<WaitingRequest> Pop();
  /// Removes a request out of order, without charging its team.
  std::optional<WaitingRequest> Remove(const AttemptId& attempt);
  bool Contains(const AttemptId& attempt) const;
  /// Removes all requests that match `predicate`, without charging their teams.
  std::vector<WaitingRequest> RemoveIf(
      const std::function<bool(const WaitingRequest&)>& predicate);
  void ForEach(const std::function<void(const WaitingRequest&)>& visit) const;
  size_t size() const { return m_size; }
  int64_t tokens() const { return m_tokens; }

 private:
  /// Orders a team's requests by deadline, then by arrival.
  using DeadlineKey = std::pair<TimePoint, uint64_t>;
  struct Team {
    TeamId id;
    double deficit = 0;
    std::map<DeadlineKey, WaitingRequest> waiting;
  };
  /// The teams of one priority in round-robin order.
  using Level = std::list<Team>;
  struct Choice {
    Level::const_iterator team;
    /// Rounds until the team's deficit covers its first request.
    double rounds = 0;
  };

  double FindShare(const TeamId& team) const;
  Choice Choose(const Level& level) const;
  WaitingRequest PopFirst(Team& team);

  std::map<int32_t, Level, std::greater<>> m_levels;
  std::unordered_map<TeamId, double> m_shares;
  uint64_t m_next_arrival = 0;
  size_t m_size = 0;
  int64_t m_tokens = 0;
};

}  // namespace peridotshelf::ledger
