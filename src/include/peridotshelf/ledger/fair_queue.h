/// Requests that wait at one engine: highest priority first, teams of one
/// priority by deficit round robin in tokens, one team's by earliest deadline.
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

/// What an entry asks a side for.
struct ReserveRequest {
  AttemptId attempt;
  /// The entry process that asks.
  ProcessId owner;
  TeamId team;
  /// Higher goes first; preset offsets are already added.
  int32_t priority = 0;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  policy::SizeClass size_class = policy::SizeClass::kShort;
  /// For a part of a gang: when its request was admitted, on the side's clock.
  std::optional<TimePoint> multi_engine_since;
  RequestDeadline budget = RequestDeadline::FromRemaining({}, {});

  /// Memory the attempt needs, in tokens.
  int64_t tokens() const { return prompt_tokens + max_tokens; }
};

/// A request and what was said when it began to wait.
struct WaitingRequest {
  ReserveRequest request;
  TimePoint queued_at;
  /// The wait that was predicted.
  Duration predicted_wait{};
  /// After this the request can no longer be answered in time.
  TimePoint latest_start;
};

/// The waiting requests. Costs are linear in the teams that wait. Not
/// thread-safe.
class FairQueue {
 public:
  /// Tokens that a team of share 1 may start before the next team's turn.
  static constexpr double kQuantumTokens = 8'192;

  /// Sets the weight of a team; 1 if never set.
  void SetShare(const TeamId& team, double share) { m_shares[team] = share; }
  void Push(WaitingRequest waiting);
  /// The next in order, or null if none waits.
  const WaitingRequest* Peek() const;
  /// Takes the next in order and charges its team.
  std::optional<WaitingRequest> Pop();
  /// Takes one out of turn, without a charge.
  std::optional<WaitingRequest> Remove(const AttemptId& attempt);
  bool Contains(const AttemptId& attempt) const;
  /// Takes all for which `ended` holds, without a charge.
  std::vector<WaitingRequest> RemoveIf(
      const std::function<bool(const WaitingRequest&)>& ended);
  void ForEach(const std::function<void(const WaitingRequest&)>& visit) const;
  size_t size() const { return m_size; }
  int64_t tokens() const { return m_tokens; }

 private:
  /// By deadline, then arrival.
  using DeadlineKey = std::pair<TimePoint, uint64_t>;
  struct Team {
    TeamId id;
    double deficit = 0;
    std::map<DeadlineKey, WaitingRequest> waiting;
  };
  /// Teams in turn order.
  using Level = std::list<Team>;
  struct Choice {
    Level::const_iterator team;
    /// Rounds of quanta until the team can afford its first request.
    double rounds = 0;
  };

  double ShareOf(const TeamId& team) const;
  Choice Choose(const Level& level) const;
  WaitingRequest TakeFirst(Team& team);

  std::map<int32_t, Level, std::greater<>> m_levels;
  std::unordered_map<TeamId, double> m_shares;
  uint64_t m_next_arrival = 0;
  size_t m_size = 0;
  int64_t m_tokens = 0;
};

}  // namespace peridotshelf::ledger
