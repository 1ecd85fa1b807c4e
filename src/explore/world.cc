#include "explore/world.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::explore {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kMinCalls = 8;
constexpr int64_t kMaxCalls = 64;
constexpr int64_t kLastCallMs = 12'000;
constexpr Duration kTickInterval = milliseconds(40);
constexpr Duration kHeartbeatInterval = milliseconds(500);
/// All calls have ended and all leases have expired by then.
constexpr Duration kScheduleDuration = seconds(75);

template <size_t kCount>
std::array<Process, kCount> MakeProcesses(const std::string& prefix) {
  std::array<Process, kCount> processes;
  for (size_t i = 0; i < kCount; ++i) {
    processes[i].id = ProcessId(prefix + std::to_string(i));
  }
  return processes;
}

}  // namespace

World::World(const Schedule& schedule, const Mechanisms& without)
    : m_context(schedule.seed, without),
      m_entry_processes(MakeProcesses<kEntries>("e")),
      m_side_processes(MakeProcesses<kSides>("s")),
      m_network(m_context, m_entry_processes, m_side_processes, *this) {
  SideReplies& replies = *this;
  for (size_t i = 0; i < kSides; ++i) {
    m_sides[i] = std::make_unique<SideModel>(m_context, m_side_processes[i],
                                             m_network, replies, i);
  }
  for (size_t i = 0; i < kEntries; ++i) {
    m_entries[i] =
        std::make_unique<EntryModel>(m_context, m_entry_processes[i], m_network,
                                     m_side_processes, m_sides, i);
  }
  ScheduleCalls();
  for (const Fault& fault : schedule.faults) {
    m_context.timeline().RunAfter(milliseconds(fault.at_ms),
                                  [this, fault] { InjectFault(fault); });
  }
  TickAll();
  SendHeartbeats();
}

void World::Run() {
  m_context.timeline().RunUntil(m_context.Now() + kScheduleDuration);
  m_context.Record(ProcessId("world"), history::LogAvailability{true});
}

std::string World::DescribeLeaks() const {
  std::string leaks;
  for (const auto& side : m_sides) leaks += side->DescribeLeaks();
  return leaks;
}

void World::ScheduleCalls() {
  const auto calls = static_cast<size_t>(m_context.Draw(kMinCalls, kMaxCalls));
  for (size_t number = 0; number < calls; ++number) {
    const CallPlan plan = DrawCallPlan(number);
    m_context.timeline().RunAfter(milliseconds(m_context.Draw(0, kLastCallMs)),
                                  [this, plan] { Admit(plan); });
  }
}

CallPlan World::DrawCallPlan(size_t number) {
  CallPlan plan;
  plan.number = number;
  plan.unrepeatable = m_context.DrawBool(40);
  plan.chunks = m_context.Draw(1, 60);
  if (m_context.DrawBool(65)) {
    plan.prompt_tokens = m_context.Draw(100, 7'000);
    plan.timeout = milliseconds(m_context.Draw(2'000, 15'000));
  } else {
    plan.size = history::RequestSize::kLong;
    plan.prompt_tokens = m_context.Draw(100'000, 300'000);
    plan.timeout = milliseconds(m_context.Draw(6'000, 40'000));
  }
  return plan;
}

void World::Admit(const CallPlan& plan) {
  const auto first = static_cast<size_t>(m_context.Draw(0, kEntries - 1));
  for (size_t i = 0; i < kEntries; ++i) {
    const size_t entry = (first + i) % kEntries;
    const Process& process = m_entry_processes[entry];
    if (!process.IsServing(m_context.Now()) || process.leaving) continue;
    m_entries[entry]->Admit(plan);
    return;
  }
  // No entry accepts connections. The caller retries.
  m_context.timeline().RunAfter(milliseconds(100),
                                [this, plan] { Admit(plan); });
}

void World::TickAll() {
  const TimePoint now = m_context.Now();
  for (size_t i = 0; i < kSides; ++i) {
    if (m_side_processes[i].IsServing(now)) m_sides[i]->Tick();
  }
  for (size_t i = 0; i < kEntries; ++i) {
    if (m_entry_processes[i].IsServing(now)) m_entries[i]->Tick();
  }
  m_context.timeline().RunAfter(kTickInterval, [this] { TickAll(); });
}

void World::SendHeartbeats() {
  for (size_t entry = 0; entry < kEntries; ++entry) {
    const Process& process = m_entry_processes[entry];
    if (!process.IsServing(m_context.Now())) continue;
    for (size_t side = 0; side < kSides; ++side) {
      m_network.ToSide(
          entry, side,
          [this, side, owner = process.IncarnationId()](ConnectionId) {
            m_sides[side]->OnHeartbeat(owner);
          });
    }
  }
  m_context.timeline().RunAfter(kHeartbeatInterval,
                                [this] { SendHeartbeats(); });
}

void World::OnLostAtEntry(size_t entry, size_t side) {
  m_entries[entry]->OnConnectionLost(side);
}
void World::OnRestoredAtEntry(size_t entry, size_t side) {
  m_entries[entry]->OnConnectionRestored(side);
}
void World::OnLostAtSide(size_t side, ConnectionId connection) {
  m_sides[side]->OnConnectionLost(connection);
}
void World::OnGranted(size_t entry, const attempts::Granted& message) {
  m_entries[entry]->OnMessage(message);
}
void World::OnQueued(size_t entry, const attempts::Queued& message) {
  m_entries[entry]->OnMessage(message);
}
void World::OnRefused(size_t entry, const attempts::Refused& message) {
  m_entries[entry]->OnRefused(message);
}
void World::OnChunk(size_t entry, const attempts::ChunkArrived& message) {
  m_entries[entry]->OnChunk(message);
}
void World::OnFinished(size_t entry, const attempts::Finished& message) {
  m_entries[entry]->OnMessage(message);
}
void World::OnFailed(size_t entry, const attempts::Failed& message) {
  m_entries[entry]->OnMessage(message);
}

}  // namespace peridotshelf::explore
