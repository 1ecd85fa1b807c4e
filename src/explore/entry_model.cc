#include "explore/entry_model.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::explore {
namespace {

using std::chrono::milliseconds;

/// How far the list of leaving hosts lags behind.
constexpr Duration kListLag = milliseconds(1'000);
/// How long callers wait beyond their time for a frozen entry.
constexpr Duration kCallerPatience = milliseconds(200);
constexpr int64_t kRepeatPercent = 3;
constexpr int64_t kCrossPercent = 3;

/// Whether no other engine can change the refusal.
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
                             plan.budget,
                             plan.unrepeatable,
                             {},
                             WholeText(plan)});
  Record(history::Admission{plan.call(), plan.request()});
  const attempts::RequestParameters request{
      plan.request(),
      "service",
      RequestDeadline::FromRemaining(now, plan.budget),
      !plan.unrepeatable || !m_context.Has(Mechanism::kProofBeforeRetry),
      /*needs_reservation=*/true,
      /*tied=*/false,
      static_cast<uint32_t>(m_context.Draw(1, 1 << 30))};
  Open& open = m_open[plan.number];
  open.plan = plan;
  open.deadline = now + plan.budget;
  open.life = std::make_unique<attempts::RequestStateMachine>(
      request, attempts::RequestOptions{}, m_retry_budget, now);
  m_context.timeline().At(
      open.deadline + kCallerPatience,
      [this, call = plan.number] { AbandonIfFrozen(call); });
  Obey(open, open.life->Begin(now));
}

void EntryModel::AbandonIfFrozen(size_t call) {
  if (m_process.FrozenAt(m_context.Now())) HangUp(call);
}

void EntryModel::HangUp(size_t call) {
  const auto found = m_open.find(call);
  if (found == m_open.end() || found->second.ended) return;
  found->second.hung_up = true;
  End(found->second, history::HangUp{found->second.plan.call()});
  RunIn(m_context, m_process,
        [this, call] { Tell(call, attempts::CallerDisconnected{}); });
}

void EntryModel::End(Open& open, history::EventBody outcome) {
  open.ended = true;
  Record(std::move(outcome));
}

bool EntryModel::idle() const {
  return std::all_of(m_open.begin(), m_open.end(),
                     [](const auto& entry) { return entry.second.ended; });
}

void EntryModel::Die() {
  for (auto& [call, open] : m_open) {
    if (open.ended) continue;
    End(open, history::CallerConnectionLost{open.plan.call()});
  }
  m_open.clear();
}

void EntryModel::OnChunk(const attempts::ChunkArrived& chunk) {
  const size_t call = CallNumber(chunk.attempt.request);
  const int copies = m_context.Percent(kRepeatPercent) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto found = m_open.find(call);
    if (found == m_open.end()) return;
    if (!m_context.Has(Mechanism::kChunkChecks)) {
      Deliver(found->second, chunk.data);
    }
    Tell(call, chunk);
  }
  if (!m_context.Percent(kCrossPercent)) return;
  const auto other = m_open.upper_bound(call);
  if (other == m_open.end()) return;
  if (!m_context.Has(Mechanism::kChunkChecks)) {
    Deliver(other->second, chunk.data);
  }
  Tell(other->first, chunk);
}

void EntryModel::OnRefused(const attempts::Refused& refused) {
  const auto found = m_open.find(CallNumber(refused.attempt.request));
  if (found == m_open.end()) return;
  Open& open = found->second;
  open.live.erase(refused.attempt);
  if (IsFinal(refused.error.code) && open.live.empty() && !open.ended) {
    Record(history::GivenUp{open.plan.request()});
    if (!m_context.Has(Mechanism::kPromptRefusal)) return;
  }
  Obey(open, open.life->On(refused, m_context.Now()));
}

void EntryModel::OnConnectionLost(size_t side) {
  for (auto& [call, open] : m_open) {
    Tell(call, attempts::ConnectionLost{HostId(m_sides[side].id.value())});
  }
}

void EntryModel::OnConnectionRestored(size_t side) {
  if (!m_context.Has(Mechanism::kResume)) return;
  for (auto& [call, open] : m_open) {
    Tell(call, attempts::ConnectionRestored{HostId(m_sides[side].id.value())});
  }
}

void EntryModel::Tick() {
  const TimePoint now = m_context.Now();
  for (auto& [call, open] : m_open) {
    if (open.ended) continue;
    const bool late = now >= open.deadline;
    if (late && !m_context.Has(Mechanism::kRequestTimer)) continue;
    Tell(call, attempts::Tick{});
  }
}

void EntryModel::Obey(Open& open, const attempts::Commands& commands) {
  for (const attempts::Command& command : commands) {
    std::visit([&](const auto& each) { Handle(open, each); }, command);
  }
}

void EntryModel::Handle(Open& open, const attempts::Place& command) {
  attempts::PlacementReply placed;
  const auto first = static_cast<size_t>(m_context.Draw(0, kSides - 1));
  const size_t wanted = m_context.Percent(30) ? 2 : 1;
  for (size_t i = 0; i < kSides; ++i) {
    const size_t side = (first + i) % kSides;
    const Process& process = m_sides[side];
    const EngineId engine(process.id.value());
    const bool known_to_leave =
        process.leaving && process.leaving_since + kListLag <= m_context.Now();
    const bool avoided = std::find(command.avoid.begin(), command.avoid.end(),
                                   engine) != command.avoid.end();
    // The last choice is better than none.
    const bool last = i + 1 == kSides && placed.candidates.empty();
    if (!m_network.IsOpen(m_number, side) || known_to_leave) continue;
    if (avoided && !last) continue;
    placed.candidates.push_back({engine, HostId(process.id.value())});
    if (placed.candidates.size() == wanted) break;
  }
  Later(open, placed);
}

void EntryModel::SendToSide(
    const Open& open, const HostId& host,
    std::function<void(SideModel&, ConnectionId)> action) {
  const size_t side = SideNumber(host);
  if (!m_network.IsOpen(m_number, side)) {
    return Later(open, attempts::ConnectionLost{host});
  }
  m_network.ToSide(
      m_number, side,
      [this, side, action = std::move(action)](ConnectionId connection) {
        action(*m_side_models[side], connection);
      });
}

void EntryModel::Handle(Open& open, const attempts::Reserve& command) {
  open.live.insert(command.attempt);
  SendToSide(open, command.candidate.host,
             [command, plan = open.plan, owner = m_process.Incarnation()](
                 SideModel& side, ConnectionId connection) {
               side.OnReserve(connection, owner, command.attempt, plan,
                              command.remaining);
             });
}

void EntryModel::Handle(Open& open, const attempts::Start& command) {
  open.epochs[command.attempt] = command.epoch;
  SendToSide(
      open, command.candidate.host,
      [command, plan = open.plan](SideModel& side, ConnectionId connection) {
        side.OnStart(connection, command.attempt, command.epoch, plan);
      });
}

void EntryModel::Handle(Open& open, const attempts::Resume& command) {
  SendToSide(open, command.host,
             [command, owner = m_process.Incarnation(),
              epoch = open.epochs[command.attempt]](SideModel& side,
                                                    ConnectionId connection) {
               side.OnResume(connection, owner, command.attempt,
                             command.from_offset, epoch);
             });
}

void EntryModel::Handle(Open& open, const attempts::Cancel& command) {
  open.live.erase(command.attempt);
  SendToSide(open, command.host,
             [command](SideModel& side, ConnectionId connection) {
               side.OnCancel(connection, command.attempt, command.code);
             });
}

void EntryModel::Handle(Open& open, const attempts::DeliverChunk& command) {
  if (m_context.Has(Mechanism::kChunkChecks)) Deliver(open, command.data);
}

void EntryModel::Deliver(Open& open, const std::string& text) {
  if (open.ended) return;
  Record(history::ChunkReceived{open.plan.call(), open.delivered++, text});
}

void EntryModel::Handle(Open& open, const attempts::Answer& command) {
  // Nothing reaches a caller that went away.
  if (open.hung_up) return;
  const history::CallId call = open.plan.call();
  if (command.result) return End(open, history::Answer{call});
  End(open, history::Refusal{call, command.result.error().code,
                             command.result.error().not_run});
}

}  // namespace peridotshelf::explore
