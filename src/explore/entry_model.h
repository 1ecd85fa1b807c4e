/// An entry process in virtual time: the real life of each request, joined
/// with callers as the process joins them.
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

  /// A caller sends a call.
  void Admit(const CallPlan& plan);
  /// The caller of a call goes away, if it is still there.
  void HangUp(size_t call);
  /// Hands a message of a side to the request's life.
  template <class Message>
  void OnMessage(const Message& message) {
    Tell(CallNumber(message.attempt.request), message);
  }
  /// The same for a chunk, which may come twice or cross to another request.
  void OnChunk(const attempts::ChunkArrived& chunk);
  void OnRefused(const attempts::Refused& refused);
  void OnConnectionLost(size_t side);
  void OnConnectionRestored(size_t side);
  void Tick();
  /// The process dies: its callers lose their connections.
  void Die();
  /// Whether all calls have their outcome.
  bool idle() const;

 private:
  /// A call that this incarnation admitted.
  struct Open {
    CallPlan plan;
    TimePoint deadline;
    std::unique_ptr<attempts::RequestStateMachine> life;
    int64_t delivered = 0;
    /// The caller has its outcome or went away.
    bool ended = false;
    bool hung_up = false;
    /// Attempts that no side has refused or ended yet.
    std::set<AttemptId> live;
    /// The epochs of the starts sent.
    std::map<AttemptId, int64_t> epochs;
  };

  void Obey(Open& open, const attempts::Commands& commands);
  void Handle(Open& open, const attempts::Place& command);
  void Handle(Open& open, const attempts::Reserve& command);
  void Handle(Open& open, const attempts::Start& command);
  void Handle(Open& open, const attempts::Resume& command);
  void Handle(Open& open, const attempts::Cancel& command);
  void Handle(Open& open, const attempts::DeliverChunk& command);
  void Handle(Open& open, const attempts::Answer& command);
  /// Carries `action` to a side. Without a connection the request is told so,
  /// since the loss may have been noticed before it chose the side.
  void SendToSide(const Open& open, const HostId& host,
                  std::function<void(SideModel&, ConnectionId)> action);
  void Deliver(Open& open, const std::string& text);
  void End(Open& open, history::EventBody outcome);
  void AbandonIfFrozen(size_t call);
  template <class Event>
  void Tell(size_t call, const Event& event) {
    const auto found = m_open.find(call);
    if (found == m_open.end()) return;
    Open& open = found->second;
    Obey(open, open.life->On(event, m_context.Now()));
  }
  void Record(history::EventBody body) {
    m_context.Record(m_process.id, std::move(body));
  }

  /// Tells the request's life of `event` once the current event is dealt with.
  template <class Event>
  void Later(const Open& open, const Event& event) {
    m_context.timeline().RunAfter(
        Duration::zero(), [this, call = open.plan.number, event] {
          RunIn(m_context, m_process,
                [this, call, event] { Tell(call, event); });
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
  std::map<size_t, Open> m_open;
};

}  // namespace peridotshelf::explore
