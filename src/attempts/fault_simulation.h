/// Test support: request state machines and execution tables, connected by a
/// network in simulated time that loses, delays, reorders and duplicates
/// frames.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <ostream>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "peridotshelf/attempts/execution_table.h"
#include "peridotshelf/attempts/request_state_machine.h"

namespace peridotshelf::attempts {

/// Kinds of injected faults.
enum class FaultKind {
  /// A connection closes; frames in transit are lost.
  kLoseConnection,
  /// A connection closes; frames in transit still arrive afterwards.
  kLoseConnectionKeepFrames,
  kRestartSide,      ///< A side restarts; its engine keeps running.
  kCrashEngine,      ///< An engine loses all its running attempts.
  kPauseEntry,       ///< The entry handles no events for `length_ms`.
  kDisconnectCaller  ///< A caller disconnects.
};

struct Fault {
  FaultKind kind = FaultKind::kLoseConnection;
  int64_t at_ms = 0;
  size_t target = 0;
  int64_t length_ms = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "fault " << static_cast<int>(fault.kind) << " at "
             << fault.at_ms << " ms, target " << fault.target << ", length "
             << fault.length_ms << " ms";
}

struct Schedule {
  uint32_t seed = 0;
  /// Percentages.
  int32_t duplicate_chunk = 0;
  int32_t refuse = 0;
  int32_t unrepeatable = 50;
  int32_t reserve_first = 50;
  std::vector<Fault> faults;
};

/// Recorded result of a request.
struct RequestRecord {
  bool retryable = true;
  TimePoint deadline{};
  /// Answered more than one tick after the later of its deadline and the end of
  /// the entry's pause.
  bool answered_late = false;
  std::vector<std::string> delivered;
  std::vector<Result<Completion>> answers;
  /// Attempts that were started at an engine.
  std::vector<AttemptId> executions;
  int64_t dropped = 0;
};

/// Simulates an entry, several sides with one engine each, and requests.
class FaultSimulation {
 public:
  static constexpr size_t kSides = 3;
  static constexpr size_t kRequests = 8;
  static constexpr int64_t kChunks = 6;
  static constexpr auto kRequestTimeout = std::chrono::seconds(20);
  static constexpr auto kTick = std::chrono::milliseconds(50);
  static constexpr auto kDetectionTime = std::chrono::milliseconds(800);

  explicit FaultSimulation(const Schedule& schedule);
  /// Runs until no events are left.
  void Run();

  const std::vector<RequestRecord>& records() const { return m_records; }
  /// Describes attempts and buffers that sides and engines have not released.
  /// Empty if there are none.
  std::string DescribeUnreleased() const;

 private:
  struct Event {
    TimePoint at;
    int64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Side {
    std::unique_ptr<ExecutionTable> table;
    /// Attempts running at the engine, with the offset of their next chunk.
    std::unordered_map<AttemptId, int64_t> engine;
    std::unordered_set<AttemptId> reserved;
    ConnectionId connection = 0;
    bool connected = true;
    int64_t incarnation = 1;
  };

  int64_t Draw(int64_t low, int64_t high);
  bool DrawChance(int32_t percent) { return Draw(0, 99) < percent; }
  void ScheduleAt(TimePoint at, std::function<void()> action);
  void RunAfter(Duration delay, std::function<void()> action);
  HostId MakeHostId(size_t side) const;
  size_t FindSideIndex(const HostId& host) const;

  void Admit(size_t request);
  template <class E>
  void Deliver(size_t request, E event);
  /// Sends a frame over the side's current connection, in either direction.
  /// `action` runs on arrival.
  void Send(size_t side, Duration delay, std::function<void()> action);
  /// Sends a frame to a side, which ignores frames of a closed connection.
  void SendToSide(size_t side, std::function<void()> action);
  void Execute(size_t request, const Commands& commands);
  void Handle(size_t request, const Place& command);
  void Handle(size_t request, const Reserve& command);
  void Handle(size_t request, const Start& command);
  void Handle(size_t request, const Resume& command);
  void Handle(size_t request, const Cancel& command);
  void Handle(size_t request, const DeliverChunk& command);
  void Handle(size_t request, const Answer& command);
  void HandleStartAtSide(size_t side, size_t request, const Start& command);
  void HandleResumeAtSide(size_t side, size_t request, const Resume& command,
                          int64_t started_at_incarnation);
  void Generate(size_t side, size_t request, const AttemptId& attempt);
  void SendOutcome(size_t side, size_t request, const AttemptId& attempt,
                   const Result<Completion>& outcome);
  void SendChunk(size_t side, size_t request, const AttemptId& attempt,
                 int64_t offset, const std::string& data);
  void Apply(const Fault& fault);
  void LoseConnection(size_t side, bool deliver_in_transit);
  void RestartSide(size_t side);
  void CrashEngine(size_t side);
  void TickAll();

  Schedule m_schedule;
  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  TimePoint m_end;
  int64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<Side> m_sides{kSides};
  std::shared_ptr<RetryBudget> m_retry_budget =
      std::make_shared<RetryBudget>(1.0, 1000.0);
  std::vector<std::unique_ptr<RequestStateMachine>> m_state_machines;
  std::vector<RequestRecord> m_records{kRequests};
  std::unordered_map<AttemptId, int64_t> m_start_incarnations;
  TimePoint m_entry_paused_until{};
  /// Connections whose frames in transit are lost.
  std::unordered_set<ConnectionId> m_dropped_connections;
  /// Connections closed by their side.
  std::unordered_set<ConnectionId> m_closed_connections;
  ConnectionId m_next_connection = 1;
};

/// Returns a schedule with the given faults and rates drawn from `seed`.
Schedule MakeSchedule(uint32_t seed, const std::vector<Fault>& faults);

}  // namespace peridotshelf::attempts
