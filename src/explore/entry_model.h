/// An entry process in virtual time. It runs the production request state
/// machines and connects them to simulated callers and sides.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "explore/call.h"
#include "explore/network.h"
#include "explore/side_model.h"
#include "peridotshelf/attempts/request_state_machine.h"

namespace peridotshelf::explore {

/// One entry and its callers' connections.
class EntryModel {
 public:
  EntryModel(Context& context, Process& process, Network& network,
             std::array<Process, kSides>& sides,
             std::array<std::unique_ptr<SideModel>, kSides>& side_models,
             size_t number);

  /// Admits a call.
  void Admit(const CallPlan& plan);
  /// Disconnects the caller of a call if it is still connected.
  void DisconnectCaller(size_t call);
  /// Passes a message of a side to the request's state machine.
  template <class Message>
  void OnMessage(const Message& message) {
    DispatchEvent(ParseCallNumber(message.attempt.request), message);
  }
  /// Passes a chunk to its request's state machine. Duplicates some chunks and
  /// passes some to another request as well, to test the chunk checks.
  void OnChunk(const attempts::ChunkArrived& chunk);
  void OnRefused(const attempts::Refused& refused);
  void OnConnectionLost(size_t side);
  void OnConnectionRestored(size_t side);
  void Tick();
  /// Ends the process; its callers lose their connections.
  void Terminate();
  /// Returns whether all calls have ended.
  bool idle() const;

 private:
  /// A call that was admitted by this incarnation.
  struct OpenCall {
    CallPlan plan;
    TimePoint deadline;
    std::unique_ptr<attempts::RequestStateMachine> state_machine;
    int64_t delivered = 0;
    /// The caller has its outcome or has disconnected.
    bool ended = false;
    bool caller_disconnected = false;
    /// Attempts that were neither refused by a side nor cancelled.
    std::set<AttemptId> active_attempts;
    /// The epochs of the start messages sent.
    std::map<AttemptId, int64_t> start_epochs;
  };

  void RunCommands(OpenCall& open, const attempts::Commands& commands);
  void Handle(OpenCall& open, const attempts::Place& command);
  void Handle(OpenCall& open, const attempts::Reserve& command);
  void Handle(OpenCall& open, const attempts::Start& command);
  void Handle(OpenCall& open, const attempts::Resume& command);
  void Handle(OpenCall& open, const attempts::Cancel& command);
  void Handle(OpenCall& open, const attempts::DeliverChunk& command);
  void Handle(OpenCall& open, const attempts::Answer& command);
  /// Sends `action` to a side. Without a connection, notifies the request of
  /// the loss, since the entry may have noticed it before the request chose the
  /// side.
  void SendToSide(const OpenCall& open, const HostId& host,
                  std::function<void(SideModel&, ConnectionId)> action);
  void Deliver(OpenCall& open, const std::string& text);
  void End(OpenCall& open, history::EventBody outcome);
  void AbandonIfFrozen(size_t call);
  template <class Event>
  void DispatchEvent(size_t call, const Event& event) {
    const auto found = m_open_calls.find(call);
    if (found == m_open_calls.end()) return;
    OpenCall& open = found->second;
    RunCommands(open, open.state_machine->On(event, m_context.Now()));
  }
  void Record(history::EventBody body) {
    m_context.Record(m_process.id, std::move(body));
  }

  /// Passes `event` to the request's state machine after the current event has
  /// been processed.
  template <class Event>
  void DispatchLater(const OpenCall& open, const Event& event) {
    m_context.timeline().RunAfter(
        Duration::zero(), [this, call = open.plan.number, event] {
          RunInProcess(m_context, m_process,
                       [this, call, event] { DispatchEvent(call, event); });
        });
  }

  Context& m_context;
  Process& m_process;
  Network& m_network;
  std::array<Process, kSides>& m_sides;
  std::array<std::unique_ptr<SideModel>, kSides>& m_side_models;
  const size_t m_number;
  std::shared_ptr<attempts::RetryBudget> m_retry_budget =
      std::make_shared<attempts::RetryBudget>(1.0);
  std::map<size_t, OpenCall> m_open_calls;
};

}  // namespace peridotshelf::explore
