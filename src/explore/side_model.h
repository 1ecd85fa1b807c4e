/// A side process in virtual time. It connects the production admission and
/// execution table to a simulated engine.
#pragma once

#include <memory>
#include <unordered_map>

#include "explore/engine_model.h"
#include "explore/network.h"
#include "peridotshelf/attempts/execution_table.h"
#include "peridotshelf/ledger/admission.h"

namespace peridotshelf::explore {

/// Receives the messages from sides at the entries.
struct SideReplies {
  virtual ~SideReplies() = default;
  virtual void OnGranted(size_t entry, const attempts::Granted& message) = 0;
  virtual void OnQueued(size_t entry, const attempts::Queued& message) = 0;
  virtual void OnRefused(size_t entry, const attempts::Refused& message) = 0;
  virtual void OnChunk(size_t entry, const attempts::ChunkArrived& message) = 0;
  virtual void OnFinished(size_t entry, const attempts::Finished& message) = 0;
  virtual void OnFailed(size_t entry, const attempts::Failed& message) = 0;
};

/// One side and its engine.
class SideModel : private EngineObserver {
 public:
  SideModel(Context& context, Process& process, Network& network,
            SideReplies& replies, size_t number);

  /// Handlers of messages from entries.
  void OnReserve(ConnectionId connection, const ProcessId& owner,
                 const AttemptId& attempt, const CallPlan& plan,
                 Duration remaining);
  void OnStart(ConnectionId connection, const AttemptId& attempt, int64_t epoch,
               const CallPlan& plan);
  void OnCancel(ConnectionId connection, const AttemptId& attempt,
                ErrorCode code);
  void OnResume(ConnectionId connection, const ProcessId& owner,
                const AttemptId& attempt, int64_t from_offset,
                int64_t start_epoch);
  void OnHeartbeat(const ProcessId& owner);
  void OnConnectionLost(ConnectionId connection);

  void Tick();
  /// Ends the process. The engine keeps running.
  void Terminate();
  /// Starts a new process for the engine.
  void Start();
  void StartLeaving();
  /// Replaces this idle host by a new one.
  void Replace();
  /// Returns whether no attempt is admitted, allocated or running.
  bool idle() const;
  EngineModel& engine() { return m_engine; }
  /// Returns a description of the attempts and memory that are still held, or
  /// an empty string if there are none.
  std::string DescribeLeaks() const;

 private:
  void OnEngineChunk(const AttemptId& attempt, int64_t offset,
                     const std::string& text) override;
  void OnEngineEnd(const AttemptId& attempt, bool is_complete,
                   int64_t chunks) override;
  void ForwardChunk(const AttemptId& attempt, int64_t offset,
                    const std::string& text);
  void FinishAttempt(const AttemptId& attempt,
                     const Result<attempts::Completion>&);
  void Handle(const ledger::Granted& granted);
  void Handle(const ledger::Queued& queued);
  void Handle(const ledger::Refused& refused);
  void Handle(const ledger::EngineCancellation& cancel);
  void CancelAttempt(const AttemptId& attempt);
  template <class Message>
  void Send(ConnectionId connection,
            void (SideReplies::*deliver)(size_t, const Message&),
            Message message);
  void SendFailed(ConnectionId connection, const AttemptId& attempt,
                  Error error);

  Context& m_context;
  Process& m_process;
  Network& m_network;
  SideReplies& m_replies;
  const size_t m_number;
  int64_t m_generation = 1;
  EngineModel m_engine;
  std::unique_ptr<ledger::Admission> m_admission;
  std::unique_ptr<attempts::ExecutionTable> m_table;
  /// The connections that wait for the decision on a reservation.
  std::unordered_map<AttemptId, ConnectionId> m_reservation_connections;
};

}  // namespace peridotshelf::explore
