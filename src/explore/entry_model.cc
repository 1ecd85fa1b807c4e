#include "explore/entry_model.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::explore {
namespace {

using std::chrono::milliseconds;

/// The delay of the list of leaving hosts.
constexpr Duration kLeavingListDelay = milliseconds(1'000);
/// How long callers of a frozen entry wait after their deadline.
constexpr Duration kCallerGracePeriod = milliseconds(200);
constexpr int64_t kDuplicateChunkPercent = 3;
constexpr int64_t kMisroutedChunkPercent = 3;

/// Returns whether all other engines would refuse the request too.
bool IsFinal(ErrorCode code) {
  return code == ErrorCode::kTooLarge || code == ErrorCode::kDeadlineExceeded;
}

}  // namespace

EntryModel::EntryModel(
    Context& context, Process& process, Network& network,
    std::array<Process, kSides>& sides,
    std::array<std::unique_ptr<SideModel>, kSides>& side_models, size_t number)
    : m_context(context),
      m_process(process),
      m_network(network),
      m_sides(sides),
      m_side_models(side_models),
      m_number(number) {}

void EntryModel::Admit(const CallPlan& plan) {
  const TimePoint now = m_context.Now();
  Record(history::Invocation{plan.call(),
                             m_process.id,
                             plan.size,
                             plan.timeout,
                             plan.unrepeatable,
                             {},
                             MakeAnswerText(plan)});
  Record(history::Admission{plan.call(), plan.request()});
  const attempts::RequestParameters request{
      plan.request(),
      "service",
      RequestDeadline::FromRemaining(now, plan.timeout),
      !plan.unrepeatable || !m_context.IsEnabled(Mechanism::kProofBeforeRetry),
      /*needs_reservation=*/true,
      /*tied=*/false,
      static_cast<uint32_t>(m_context.Draw(1, 1 << 30))};
  OpenCall& open = m_open_calls[plan.number];
  open.plan = plan;
  open.deadline = now + plan.timeout;
  open.state_machine = std::make_unique<attempts::RequestStateMachine>(
      request, attempts::RequestOptions{}, m_retry_budget, now);
  m_context.timeline().RunAt(
      open.deadline + kCallerGracePeriod,
      [this, call = plan.number] { AbandonIfFrozen(call); });
  RunCommands(open, open.state_machine->Begin(now));
}

void EntryModel::AbandonIfFrozen(size_t call) {
  if (m_process.IsFrozen(m_context.Now())) DisconnectCaller(call);
}

void EntryModel::DisconnectCaller(size_t call) {
  const auto found = m_open_calls.find(call);
  if (found == m_open_calls.end() || found->second.ended) return;
  found->second.caller_disconnected = true;
  End(found->second, history::HangUp{found->second.plan.call()});
  RunInProcess(m_context, m_process, [this, call] {
    DispatchEvent(call, attempts::CallerDisconnected{});
  });
}

void EntryModel::End(OpenCall& open, history::EventBody outcome) {
  open.ended = true;
  Record(std::move(outcome));
}

bool EntryModel::idle() const {
  return std::all_of(m_open_calls.begin(), m_open_calls.end(),
                     [](const auto& entry) { return entry.second.ended; });
}

void EntryModel::Terminate() {
  for (auto& [call, open] : m_open_calls) {
    if (open.ended) continue;
    End(open, history::CallerConnectionLost{open.plan.call()});
  }
  m_open_calls.clear();
}

void EntryModel::OnChunk(const attempts::ChunkArrived& chunk) {
  const size_t call = ParseCallNumber(chunk.attempt.request);
  const int copies = m_context.DrawBool(kDuplicateChunkPercent) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto found = m_open_calls.find(call);
    if (found == m_open_calls.end()) return;
    if (!m_context.IsEnabled(Mechanism::kChunkChecks)) {
      Deliver(found->second, chunk.data);
    }
    DispatchEvent(call, chunk);
  }
  if (!m_context.DrawBool(kMisroutedChunkPercent)) return;
  const auto other = m_open_calls.upper_bound(call);
  if (other == m_open_calls.end()) return;
  if (!m_context.IsEnabled(Mechanism::kChunkChecks)) {
    Deliver(other->second, chunk.data);
  }
  DispatchEvent(other->first, chunk);
}

void EntryModel::OnRefused(const attempts::Refused& refused) {
  const auto found =
      m_open_calls.find(ParseCallNumber(refused.attempt.request));
  if (found == m_open_calls.end()) return;
  OpenCall& open = found->second;
  open.active_attempts.erase(refused.attempt);
  if (IsFinal(refused.error.code) && open.active_attempts.empty() &&
      !open.ended) {
    Record(history::GivenUp{open.plan.request()});
    if (!m_context.IsEnabled(Mechanism::kPromptRefusal)) return;
  }
  RunCommands(open, open.state_machine->On(refused, m_context.Now()));
}

void EntryModel::OnConnectionLost(size_t side) {
  for (auto& [call, open] : m_open_calls) {
    DispatchEvent(call,
                  attempts::ConnectionLost{HostId(m_sides[side].id.value())});
  }
}

void EntryModel::OnConnectionRestored(size_t side) {
  if (!m_context.IsEnabled(Mechanism::kResume)) return;
  for (auto& [call, open] : m_open_calls) {
    DispatchEvent(
        call, attempts::ConnectionRestored{HostId(m_sides[side].id.value())});
  }
}

void EntryModel::Tick() {
  const TimePoint now = m_context.Now();
  for (auto& [call, open] : m_open_calls) {
    if (open.ended) continue;
    const bool is_late = now >= open.deadline;
    if (is_late && !m_context.IsEnabled(Mechanism::kRequestTimer)) continue;
    DispatchEvent(call, attempts::Tick{});
  }
}

void EntryModel::RunCommands(OpenCall& open,
                             const attempts::Commands& commands) {
  for (const attempts::Command& command : commands) {
    std::visit([&](const auto& each) { Handle(open, each); }, command);
  }
}

void EntryModel::Handle(OpenCall& open, const attempts::Place& command) {
  attempts::PlacementReply placed;
  const auto first = static_cast<size_t>(m_context.Draw(0, kSides - 1));
  const size_t wanted = m_context.DrawBool(30) ? 2 : 1;
  for (size_t i = 0; i < kSides; ++i) {
    const size_t side = (first + i) % kSides;
    const Process& process = m_sides[side];
    const EngineId engine(process.id.value());
    const bool known_to_leave =
        process.leaving &&
        process.leaving_since + kLeavingListDelay <= m_context.Now();
    const bool avoided = std::find(command.avoid.begin(), command.avoid.end(),
                                   engine) != command.avoid.end();
    // Uses an engine to be avoided if there is no other candidate.
    const bool last = i + 1 == kSides && placed.candidates.empty();
    if (!m_network.IsOpen(m_number, side) || known_to_leave) continue;
    if (avoided && !last) continue;
    placed.candidates.push_back({engine, HostId(process.id.value())});
    if (placed.candidates.size() == wanted) break;
  }
  DispatchLater(open, placed);
}

void EntryModel::SendToSide(
    const OpenCall& open, const HostId& host,
    std::function<void(SideModel&, ConnectionId)> action) {
  const size_t side = ParseSideNumber(host);
  if (!m_network.IsOpen(m_number, side)) {
    return DispatchLater(open, attempts::ConnectionLost{host});
  }
  m_network.ToSide(
      m_number, side,
      [this, side, action = std::move(action)](ConnectionId connection) {
        action(*m_side_models[side], connection);
      });
}

void EntryModel::Handle(OpenCall& open, const attempts::Reserve& command) {
  open.active_attempts.insert(command.attempt);
  SendToSide(open, command.candidate.host,
             [command, plan = open.plan, owner = m_process.IncarnationId()](
                 SideModel& side, ConnectionId connection) {
               side.OnReserve(connection, owner, command.attempt, plan,
                              command.remaining);
             });
}

void EntryModel::Handle(OpenCall& open, const attempts::Start& command) {
  open.start_epochs[command.attempt] = command.epoch;
  SendToSide(
      open, command.candidate.host,
      [command, plan = open.plan](SideModel& side, ConnectionId connection) {
        side.OnStart(connection, command.attempt, command.epoch, plan);
      });
}

void EntryModel::Handle(OpenCall& open, const attempts::Resume& command) {
  SendToSide(open, command.host,
             [command, owner = m_process.IncarnationId(),
              epoch = open.start_epochs[command.attempt]](
                 SideModel& side, ConnectionId connection) {
               side.OnResume(connection, owner, command.attempt,
                             command.from_offset, epoch);
             });
}

void EntryModel::Handle(OpenCall& open, const attempts::Cancel& command) {
  open.active_attempts.erase(command.attempt);
  SendToSide(open, command.host,
             [command](SideModel& side, ConnectionId connection) {
               side.OnCancel(connection, command.attempt, command.code);
             });
}

void EntryModel::Handle(OpenCall& open, const attempts::DeliverChunk& command) {
  if (m_context.IsEnabled(Mechanism::kChunkChecks)) Deliver(open, command.data);
}

void EntryModel::Deliver(OpenCall& open, const std::string& text) {
  if (open.ended) return;
  Record(history::ChunkReceived{open.plan.call(), open.delivered++, text});
}

void EntryModel::Handle(OpenCall& open, const attempts::Answer& command) {
  // A caller that has disconnected receives nothing.
  if (open.caller_disconnected) return;
  const history::CallId call = open.plan.call();
  if (command.result) return End(open, history::Answer{call});
  End(open, history::Refusal{call, command.result.error().code,
                             command.result.error().not_run});
}

}  // namespace peridotshelf::explore
