/// The simulation of one schedule in virtual time: entries, sides and engines
/// connected by a network, with calls, faults and a recorded history.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "explore/entry_model.h"
#include "explore/side_model.h"

namespace peridotshelf::explore {

/// Runs one schedule.
class World : private LinkObserver, private SideReplies {
 public:
  explicit World(const Schedule& schedule, const Mechanisms& without = {});

  /// Runs the schedule until all calls have ended and all leases have expired.
  void Run();
  const std::vector<history::HistoryEvent>& history() const {
    return m_context.history();
  }
  /// Returns a description of the attempts and memory that sides still hold, or
  /// an empty string if there are none.
  std::string DescribeLeaks() const;

 private:
  void OnLostAtEntry(size_t entry, size_t side) override;
  void OnRestoredAtEntry(size_t entry, size_t side) override;
  void OnLostAtSide(size_t side, ConnectionId connection) override;
  void OnGranted(size_t entry, const attempts::Granted& message) override;
  void OnQueued(size_t entry, const attempts::Queued& message) override;
  void OnRefused(size_t entry, const attempts::Refused& message) override;
  void OnChunk(size_t entry, const attempts::ChunkArrived& message) override;
  void OnFinished(size_t entry, const attempts::Finished& message) override;
  void OnFailed(size_t entry, const attempts::Failed& message) override;

  void ScheduleCalls();
  CallPlan DrawCallPlan(size_t number);
  void Admit(const CallPlan& plan);
  void TickAll();
  void SendHeartbeats();
  void InjectFault(const Fault& fault);
  void KillEntry(size_t entry);
  void KillSide(size_t side);
  void KillEngine(size_t side);
  void FreezeEntry(size_t entry, Duration length);
  void FreezeSide(size_t side, Duration length);
  void Freeze(Process& process, Duration length,
              std::vector<history::BackendId> backends);
  void ReplaceEntry(size_t entry);
  void ReplaceSide(size_t side);
  void StopEntryWhenIdle(size_t entry, int64_t incarnation);
  void StopSideWhenIdle(size_t side, int64_t incarnation);
  void StartEntry(size_t entry);
  void StartSide(size_t side, bool new_host);
  std::vector<history::BackendId> FindBackends(size_t side) const;

  Context m_context;
  std::array<Process, kEntries> m_entry_processes;
  std::array<Process, kSides> m_side_processes;
  Network m_network;
  std::array<std::unique_ptr<SideModel>, kSides> m_sides;
  std::array<std::unique_ptr<EntryModel>, kEntries> m_entries;
};

}  // namespace peridotshelf::explore
