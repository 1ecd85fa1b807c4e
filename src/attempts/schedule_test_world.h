/// Test support: entries' request lives and sides' execution tables joined by
/// a network in virtual time that loses, delays, reorders and repeats.
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

/// What happens at one moment of a schedule.
enum class FaultKind {
  kCut,          ///< One connection ends; frames under way are lost.
  kCutSilently,  ///< The same, but frames under way still arrive, late.
  kKillSide,     ///< A side restarts; its engine goes on.
  kKillEngine,   ///< An engine drops all it runs.
  kFreezeEntry,  ///< The entry handles nothing for a while.
  kHangUp        ///< One caller goes away.
};

struct Fault {
  FaultKind kind = FaultKind::kCut;
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
  int32_t repeat_chunk = 0;
  int32_t refuse = 0;
  int32_t unrepeatable = 50;
  int32_t reserve_first = 50;
  std::vector<Fault> faults;
};

/// What became of one request.
struct RequestRecord {
  bool retryable = true;
  TimePoint deadline{};
  /// Answered more than a tick after its deadline, or after the entry woke.
  bool answered_late = false;
  std::vector<std::string> delivered;
  std::vector<Result<Completion>> answers;
  /// Attempts that began at an engine.
  std::vector<AttemptId> executions;
  int64_t dropped = 0;
};

/// One entry, a few sides each with one engine, and some requests.
class World {
 public:
  static constexpr size_t kSides = 3;
  static constexpr size_t kRequests = 8;
  static constexpr int64_t kChunks = 6;
  static constexpr auto kWindow = std::chrono::seconds(20);
  static constexpr auto kTick = std::chrono::milliseconds(50);
  static constexpr auto kDetection = std::chrono::milliseconds(800);

  explicit World(const Schedule& schedule);
  /// Runs until nothing can happen any more.
  void Run();

  const std::vector<RequestRecord>& records() const { return m_records; }
  /// What sides and engines still hold, as text; empty if nothing.
  std::string Held() const;

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
    /// What the engine runs, with the next chunk's offset.
    std::unordered_map<AttemptId, int64_t> engine;
    std::unordered_set<AttemptId> holds;
    ConnectionId connection = 0;
    bool connected = true;
    int64_t incarnation = 1;
  };

  int64_t Draw(int64_t low, int64_t high);
  bool Percent(int32_t percent) { return Draw(0, 99) < percent; }
  void At(TimePoint at, std::function<void()> action);
  void RunAfter(Duration delay, std::function<void()> action);
  HostId HostOf(size_t side) const;
  size_t SideOf(const HostId& host) const;

  void Admit(size_t request);
  template <class E>
  void ToLife(size_t request, E event);
  /// Sends from a side to the entry, or the other way, over the side's
  /// present connection; `action` runs on arrival.
  void Send(size_t side, Duration delay, std::function<void()> action);
  /// The same to a side; a side reads nothing from a connection it has closed.
  void SendToSide(size_t side, std::function<void()> action);
  void Obey(size_t request, const Commands& commands);
  void Handle(size_t request, const Place& command);
  void Handle(size_t request, const Reserve& command);
  void Handle(size_t request, const Start& command);
  void Handle(size_t request, const Resume& command);
  void Handle(size_t request, const Cancel& command);
  void Handle(size_t request, const DeliverChunk& command);
  void Handle(size_t request, const Answer& command);
  void SideStarts(size_t side, size_t request, const Start& command);
  void SideResumes(size_t side, size_t request, const Resume& command,
                   int64_t started_at_incarnation);
  void Generate(size_t side, size_t request, const AttemptId& attempt);
  void SendOutcome(size_t side, size_t request, const AttemptId& attempt,
                   const Result<Completion>& outcome);
  void SendChunk(size_t side, size_t request, const AttemptId& attempt,
                 int64_t offset, const std::string& data);
  void Apply(const Fault& fault);
  void Cut(size_t side, bool frames_arrive);
  void KillSide(size_t side);
  void KillEngine(size_t side);
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
  std::vector<std::unique_ptr<RequestStateMachine>> m_lives;
  std::vector<RequestRecord> m_records{kRequests};
  std::unordered_map<AttemptId, int64_t> m_start_incarnations;
  TimePoint m_frozen_until{};
  /// Connections whose frames are lost.
  std::unordered_set<ConnectionId> m_dead;
  /// Connections that their side has closed.
  std::unordered_set<ConnectionId> m_closed;
  ConnectionId m_next_connection = 1;
};

/// One schedule from a seed: faults, rates and times.
Schedule MakeSchedule(uint32_t seed, const std::vector<Fault>& faults);

}  // namespace peridotshelf::attempts
