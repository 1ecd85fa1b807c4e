// Injects the faults of a schedule.
#include <algorithm>

#include "explore/world.h"

namespace peridotshelf::explore {
namespace {

using std::chrono::milliseconds;

/// The connections of a process that is frozen for longer are lost.
constexpr Duration kHeartbeatTimeout = milliseconds(1'600);
/// A hang-up fault selects one of the first calls.
constexpr size_t kHangUpCalls = 8;
/// How often a stopping process checks whether it is idle.
constexpr Duration kIdlePollInterval = milliseconds(100);
/// How long an idle side keeps running, so that entries whose connection broke
/// can fetch the end of an answer.
constexpr Duration kStopIdlePeriod = milliseconds(3'000);
/// The maximum delay until the platform notifies a host that it must leave.
constexpr int64_t kMaxLeaveNoticeMs = 800;

}  // namespace

void World::InjectFault(const Fault& fault) {
  const size_t entry = fault.target % kEntries;
  const size_t side = fault.target / kEntries % kSides;
  const Duration length = milliseconds(fault.length_ms);
  switch (fault.kind) {
    case FaultKind::kCutLink:
      return m_network.Cut(entry, side);
    case FaultKind::kSilenceLink:
      return m_network.Stall(entry, side);
    case FaultKind::kKillEntry:
      return KillEntry(entry);
    case FaultKind::kKillSide:
      return KillSide(side);
    case FaultKind::kKillEngine:
      return KillEngine(side);
    case FaultKind::kFreezeEntry:
      return FreezeEntry(entry, length);
    case FaultKind::kFreezeSide:
      return FreezeSide(side, length);
    case FaultKind::kHangUp:
      return m_entries[entry]->DisconnectCaller(fault.target / kEntries %
                                                kHangUpCalls);
    case FaultKind::kReplaceEntry:
      return ReplaceEntry(entry);
    case FaultKind::kReplaceSide:
      return ReplaceSide(side);
  }
}

std::vector<history::BackendId> World::FindBackends(size_t side) const {
  return {m_sides[side]->engine().id()};
}

void World::KillEntry(size_t entry) {
  Process& process = m_entry_processes[entry];
  if (!process.alive) return;
  m_context.Record(ProcessId("world"), history::ProcessKilled{process.id, {}});
  process.alive = false;
  m_entries[entry]->Terminate();
  m_network.CutLinksOfEntry(entry);
  m_context.timeline().RunAfter(milliseconds(m_context.Draw(200, 2'000)),
                                [this, entry] { StartEntry(entry); });
}

void World::StartEntry(size_t entry) {
  Process& process = m_entry_processes[entry];
  ++process.incarnation;
  process.alive = true;
  process.leaving = false;
  process.frozen_until = {};
  m_context.Record(process.id, history::ProcessStarted{process.id});
}

void World::KillSide(size_t side) {
  Process& process = m_side_processes[side];
  if (!process.alive) return;
  m_context.Record(ProcessId("world"),
                   history::ProcessKilled{process.id, FindBackends(side)});
  process.alive = false;
  m_sides[side]->Terminate();
  m_network.CutLinksOfSide(side);
  m_context.timeline().RunAfter(milliseconds(m_context.Draw(200, 1'500)),
                                [this, side] { StartSide(side, false); });
}

void World::StartSide(size_t side, bool new_host) {
  Process& process = m_side_processes[side];
  ++process.incarnation;
  process.alive = true;
  process.frozen_until = {};
  // A leaving host is still leaving after a restart of its process.
  if (new_host) process.leaving = false;
  m_context.Record(process.id, history::ProcessStarted{process.id});
  if (new_host) {
    m_sides[side]->Replace();
  } else {
    m_sides[side]->Start();
  }
  if (!process.leaving) return;
  m_sides[side]->StartLeaving();
  StopSideWhenIdle(side, process.incarnation);
}

void World::KillEngine(size_t side) {
  const ProcessId engine(m_sides[side]->engine().id().value());
  m_context.Record(ProcessId("world"),
                   history::ProcessKilled{engine, FindBackends(side)});
  m_sides[side]->engine().Kill();
  m_context.Record(engine, history::ProcessStarted{engine});
}

void World::FreezeEntry(size_t entry, Duration length) {
  Freeze(m_entry_processes[entry], length, {});
  if (length <= kHeartbeatTimeout) return;
  m_context.timeline().RunAfter(
      kHeartbeatTimeout, [this, entry] { m_network.CutLinksOfEntry(entry); });
}

void World::FreezeSide(size_t side, Duration length) {
  Freeze(m_side_processes[side], length, FindBackends(side));
  if (length <= kHeartbeatTimeout) return;
  m_context.timeline().RunAfter(
      kHeartbeatTimeout, [this, side] { m_network.CutLinksOfSide(side); });
}

void World::Freeze(Process& process, Duration length,
                   std::vector<history::BackendId> backends) {
  if (!process.IsServing(m_context.Now())) return;
  process.frozen_until = m_context.Now() + length;
  const int64_t incarnation = process.incarnation;
  m_context.Record(ProcessId("world"),
                   history::ProcessFrozen{process.id, std::move(backends)});
  m_context.timeline().RunAfter(length, [this, &process, incarnation] {
    if (process.incarnation != incarnation) return;
    m_context.Record(ProcessId("world"), history::ProcessThawed{process.id});
  });
}

void World::ReplaceEntry(size_t entry) {
  Process& process = m_entry_processes[entry];
  if (!process.IsServing(m_context.Now()) || process.leaving) return;
  process.leaving = true;
  m_context.Record(ProcessId("world"), history::PlannedStop{process.id, {}});
  StopEntryWhenIdle(entry, process.incarnation);
}

void World::StopEntryWhenIdle(size_t entry, int64_t incarnation) {
  Process& process = m_entry_processes[entry];
  if (process.incarnation != incarnation || !process.alive) return;
  const bool waits_for_idle = m_context.IsEnabled(Mechanism::kGracefulStop);
  if (waits_for_idle && !m_entries[entry]->idle()) {
    m_context.timeline().RunAfter(
        kIdlePollInterval,
        [this, entry, incarnation] { StopEntryWhenIdle(entry, incarnation); });
    return;
  }
  process.alive = false;
  m_entries[entry]->Terminate();
  m_context.Record(process.id, history::ProcessEnded{process.id});
  m_network.CutLinksOfEntry(entry);
  m_context.timeline().RunAfter(milliseconds(500),
                                [this, entry] { StartEntry(entry); });
}

void World::ReplaceSide(size_t side) {
  Process& process = m_side_processes[side];
  if (!process.IsServing(m_context.Now()) || process.leaving) return;
  process.leaving = true;
  process.leaving_since = m_context.Now();
  m_context.Record(ProcessId("world"),
                   history::LeaveMark{m_sides[side]->engine().id()});
  m_context.Record(ProcessId("world"),
                   history::PlannedStop{process.id, FindBackends(side)});
  m_context.timeline().RunAfter(
      milliseconds(m_context.Draw(0, kMaxLeaveNoticeMs)), [this, side] {
        RunInProcess(m_context, m_side_processes[side], [this, side] {
          m_sides[side]->StartLeaving();
          m_side_processes[side].idle_since = m_context.Now();
          StopSideWhenIdle(side, m_side_processes[side].incarnation);
        });
      });
}

void World::StopSideWhenIdle(size_t side, int64_t incarnation) {
  Process& process = m_side_processes[side];
  if (process.incarnation != incarnation || !process.alive) return;
  const bool idle = m_sides[side]->idle() && m_sides[side]->engine().idle();
  const bool frozen = process.IsFrozen(m_context.Now());
  const bool waits_for_idle = m_context.IsEnabled(Mechanism::kGracefulStop);
  const Duration idle_period = m_context.IsEnabled(Mechanism::kStopLinger)
                                   ? kStopIdlePeriod
                                   : Duration::zero();
  if (!idle) process.idle_since = m_context.Now();
  const bool is_within_idle_period =
      process.idle_since + idle_period > m_context.Now();
  if (frozen || (waits_for_idle && (!idle || is_within_idle_period))) {
    m_context.timeline().RunAfter(kIdlePollInterval, [this, side, incarnation] {
      StopSideWhenIdle(side, incarnation);
    });
    return;
  }
  process.alive = false;
  m_sides[side]->Terminate();
  m_sides[side]->engine().Kill();
  m_context.Record(process.id, history::ProcessEnded{process.id});
  m_network.CutLinksOfSide(side);
  m_context.timeline().RunAfter(milliseconds(500),
                                [this, side] { StartSide(side, true); });
}

}  // namespace peridotshelf::explore
