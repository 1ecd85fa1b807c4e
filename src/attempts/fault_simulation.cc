#include "fault_simulation.h"

#include <algorithm>

namespace peridotshelf::attempts {

using std::chrono::milliseconds;

FaultSimulation::FaultSimulation(const Schedule& schedule)
    : m_schedule(schedule), m_random(schedule.seed) {
  m_end = m_now + kRequestTimeout * 4;
  for (Side& side : m_sides) {
    side.table = std::make_unique<ExecutionTable>(1);
    side.connection = m_next_connection++;
  }
  for (size_t i = 0; i < kRequests; ++i) {
    m_state_machines.push_back(nullptr);
    RunAfter(milliseconds(Draw(0, 500)), [this, i] { Admit(i); });
  }
  for (const Fault& fault : schedule.faults) {
    RunAfter(milliseconds(fault.at_ms), [this, fault] { Apply(fault); });
  }
  RunAfter(kTick, [this] { TickAll(); });
}

void FaultSimulation::Run() {
  while (!m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
}

std::string FaultSimulation::DescribeUnreleased() const {
  std::string unreleased;
  for (const Side& side : m_sides) {
    for (const auto& [attempt, offset] : side.engine) {
      unreleased += "engine " + attempt.ToString() + ";";
    }
    for (const AttemptId& attempt : side.reserved) {
      unreleased += "reserved " + attempt.ToString() + ";";
    }
    if (side.table->live() > 0 || side.table->buffered_bytes() > 0) {
      unreleased += "table " + std::to_string(side.table->live()) + ";";
    }
  }
  return unreleased;
}

int64_t FaultSimulation::Draw(int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(m_random);
}

void FaultSimulation::ScheduleAt(TimePoint at, std::function<void()> action) {
  m_events.push({at, m_order++, std::move(action)});
}

void FaultSimulation::RunAfter(Duration delay, std::function<void()> action) {
  ScheduleAt(m_now + delay, std::move(action));
}

HostId FaultSimulation::MakeHostId(size_t side) const {
  return HostId("side" + std::to_string(side));
}

size_t FaultSimulation::FindSideIndex(const HostId& host) const {
  return static_cast<size_t>(host.value().back() - '0');
}

void FaultSimulation::Admit(size_t request) {
  RequestParameters parameters{
      RequestId("r" + std::to_string(request)),
      "service",
      RequestDeadline::FromRemaining(m_now, kRequestTimeout),
      !DrawChance(m_schedule.unrepeatable),
      DrawChance(m_schedule.reserve_first),
      DrawChance(50),
      static_cast<uint32_t>(Draw(1, 1 << 30))};
  m_records[request].retryable = parameters.retryable;
  m_records[request].deadline = parameters.deadline.time_point();
  m_state_machines[request] = std::make_unique<RequestStateMachine>(
      parameters, RequestOptions{}, m_retry_budget, m_now);
  Execute(request, m_state_machines[request]->Begin(m_now));
}

template <class E>
void FaultSimulation::Deliver(size_t request, E event) {
  if (m_now < m_entry_paused_until) {
    ScheduleAt(m_entry_paused_until,
               [this, request, event] { Deliver(request, event); });
    return;
  }
  if (m_state_machines[request] == nullptr) return;
  Execute(request, m_state_machines[request]->On(event, m_now));
  m_records[request].dropped = m_state_machines[request]->dropped().Total();
}

void FaultSimulation::Send(size_t side, Duration delay,
                           std::function<void()> action) {
  const ConnectionId connection = m_sides[side].connection;
  if (!m_sides[side].connected) return;
  RunAfter(delay + milliseconds(Draw(0, 20)),
           [this, connection, action = std::move(action)] {
             if (!m_dropped_connections.contains(connection)) action();
           });
}

void FaultSimulation::SendToSide(size_t side, std::function<void()> action) {
  const ConnectionId connection = m_sides[side].connection;
  Send(side, milliseconds(1), [this, connection, action = std::move(action)] {
    if (!m_closed_connections.contains(connection)) action();
  });
}

void FaultSimulation::Execute(size_t request, const Commands& commands) {
  for (const Command& command : commands) {
    std::visit([&](const auto& c) { Handle(request, c); }, command);
  }
}

void FaultSimulation::Handle(size_t request, const Place&) {
  PlacementReply placement;
  for (int64_t count = Draw(1, 2); count > 0; --count) {
    const auto side = static_cast<size_t>(Draw(0, kSides - 1));
    const Candidate candidate{EngineId(MakeHostId(side).value()),
                              MakeHostId(side)};
    placement.candidates.push_back(candidate);
  }
  RunAfter(milliseconds(0),
           [this, request, placement] { Deliver(request, placement); });
}

void FaultSimulation::Handle(size_t request, const Reserve& command) {
  const size_t side = FindSideIndex(command.candidate.host);
  SendToSide(side, [this, side, request, command] {
    const Result<void> admitted = m_sides[side].table->Admit(
        command.attempt, m_sides[side].connection, command.remaining, m_now);
    if (!admitted || DrawChance(m_schedule.refuse)) {
      m_sides[side].table->Cancel(command.attempt, ErrorCode::kOverloaded,
                                  m_now);
      const Error error{ErrorCode::kOverloaded, {}, false, {}};
      Send(side, milliseconds(1), [this, request, command, error] {
        Deliver(request, Refused{command.attempt, error});
      });
      return;
    }
    m_sides[side].reserved.insert(command.attempt);
    const int64_t epoch = m_sides[side].incarnation;
    Send(side, milliseconds(1), [this, request, command, epoch] {
      Deliver(request, Granted{command.attempt, epoch});
    });
  });
}

void FaultSimulation::Handle(size_t request, const Start& command) {
  const size_t side = FindSideIndex(command.candidate.host);
  m_start_incarnations[command.attempt] = m_sides[side].incarnation;
  SendToSide(side, [this, side, request, command] {
    HandleStartAtSide(side, request, command);
  });
}

void FaultSimulation::HandleStartAtSide(size_t side, size_t request,
                                        const Start& command) {
  ExecutionTable& table = *m_sides[side].table;
  const Result<StartDecision> decision =
      command.epoch != 0
          ? table.Start(command.attempt, command.epoch)
          : table.AdmitAndStart(command.attempt, m_sides[side].connection,
                                command.remaining, m_now);
  if (!decision) {
    SendOutcome(side, request, command.attempt,
                tl::unexpected<Error>(decision.error()));
    return;
  }
  if (*decision == StartDecision::kDuplicate) return;
  m_records[request].executions.push_back(command.attempt);
  m_sides[side].reserved.insert(command.attempt);
  m_sides[side].engine[command.attempt] = 0;
  Generate(side, request, command.attempt);
}

void FaultSimulation::Generate(size_t side, size_t request,
                               const AttemptId& attempt) {
  RunAfter(milliseconds(Draw(10, 200)), [this, side, request, attempt] {
    Side& s = m_sides[side];
    auto it = s.engine.find(attempt);
    if (it == s.engine.end()) return;
    const int64_t offset = it->second++;
    if (offset == kChunks) {
      s.engine.erase(it);
      s.reserved.erase(attempt);
      const Result<Completion> done = Completion{kChunks, 200, {}, 0, 0};
      if (s.table->Finish(attempt, done, m_now)) {
        SendOutcome(side, request, attempt, done);
      }
      return;
    }
    const std::string data = attempt.ToString() + ":" + std::to_string(offset);
    if (s.table->Append(attempt, offset, data)) {
      SendChunk(side, request, attempt, offset, data);
    }
    Generate(side, request, attempt);
  });
}

void FaultSimulation::SendOutcome(size_t side, size_t request,
                                  const AttemptId& attempt,
                                  const Result<Completion>& outcome) {
  Send(side, milliseconds(1), [this, request, attempt, outcome] {
    if (outcome) {
      Deliver(request, Finished{attempt, *outcome});
    } else {
      Deliver(request, Failed{attempt, outcome.error()});
    }
  });
}

void FaultSimulation::SendChunk(size_t side, size_t request,
                                const AttemptId& attempt, int64_t offset,
                                const std::string& data) {
  const ChunkArrived chunk{attempt, offset, data};
  const int copies = DrawChance(m_schedule.duplicate_chunk) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Send(side, milliseconds(1),
         [this, request, chunk] { Deliver(request, chunk); });
  }
  if (!DrawChance(m_schedule.duplicate_chunk)) return;
  // The same chunk is misrouted to another caller's request.
  const size_t other = (request + 1) % kRequests;
  Send(side, milliseconds(1), [this, other, chunk] { Deliver(other, chunk); });
}

void FaultSimulation::Handle(size_t request, const Resume& command) {
  const size_t side = FindSideIndex(command.host);
  const int64_t incarnation = m_start_incarnations[command.attempt];
  SendToSide(side, [this, side, request, command, incarnation] {
    HandleResumeAtSide(side, request, command, incarnation);
  });
}

void FaultSimulation::HandleResumeAtSide(size_t side, size_t request,
                                         const Resume& command,
                                         int64_t started_at_incarnation) {
  Side& s = m_sides[side];
  const AttemptId attempt = command.attempt;
  const ResumeReply reply =
      s.table->Resume(attempt, command.from_offset, s.connection,
                      started_at_incarnation == s.incarnation, m_now);
  if (reply.release_allocation) s.reserved.erase(attempt);
  if (reply.ask_engine) {
    // The engine sends its chunks again from the offset on.
    auto it = s.engine.find(attempt);
    if (it != s.engine.end()) it->second = command.from_offset;
    return;
  }
  int64_t offset = reply.from_offset;
  for (const std::string& data : reply.chunks) {
    SendChunk(side, request, attempt, offset++, data);
  }
  if (reply.outcome) SendOutcome(side, request, attempt, *reply.outcome);
}

void FaultSimulation::Handle(size_t, const Cancel& command) {
  const size_t side = FindSideIndex(command.host);
  SendToSide(side, [this, side, command] {
    const CancelReply reply =
        m_sides[side].table->Cancel(command.attempt, command.code, m_now);
    if (reply.cancel_at_backend) m_sides[side].engine.erase(command.attempt);
    if (reply.release_allocation) m_sides[side].reserved.erase(command.attempt);
  });
}

void FaultSimulation::Handle(size_t request, const DeliverChunk& command) {
  m_records[request].delivered.push_back(command.data);
}

void FaultSimulation::Handle(size_t request, const Answer& command) {
  RequestRecord& record = m_records[request];
  record.answers.push_back(command.result);
  record.answered_late =
      m_now > std::max(record.deadline, m_entry_paused_until) + kTick;
}

void FaultSimulation::Apply(const Fault& fault) {
  const size_t side = fault.target % kSides;
  switch (fault.kind) {
    case FaultKind::kLoseConnection:
      return LoseConnection(side, false);
    case FaultKind::kLoseConnectionKeepFrames:
      return LoseConnection(side, true);
    case FaultKind::kRestartSide:
      return RestartSide(side);
    case FaultKind::kCrashEngine:
      return CrashEngine(side);
    case FaultKind::kPauseEntry:
      m_entry_paused_until = m_now + milliseconds(fault.length_ms);
      for (size_t i = 0; i < kSides; ++i) LoseConnection(i, true);
      return;
    case FaultKind::kDisconnectCaller:
      Deliver(fault.target % kRequests, CallerDisconnected{});
      return;
  }
}

void FaultSimulation::LoseConnection(size_t side, bool deliver_in_transit) {
  Side& s = m_sides[side];
  if (!s.connected) return;
  s.connected = false;
  const ConnectionId old_connection = s.connection;
  if (!deliver_in_transit) m_dropped_connections.insert(old_connection);
  const HostId host = MakeHostId(side);
  RunAfter(kDetectionTime, [this, side, old_connection] {
    m_sides[side].table->Detach(old_connection, m_now);
  });
  RunAfter(milliseconds(Draw(0, 800)), [this, host] {
    for (size_t i = 0; i < kRequests; ++i) Deliver(i, ConnectionLost{host});
  });
  const TimePoint restored_at =
      std::max(m_entry_paused_until, m_now + kDetectionTime) +
      milliseconds(Draw(1, 900));
  ScheduleAt(restored_at, [this, side, host] {
    m_sides[side].connected = true;
    m_sides[side].connection = m_next_connection++;
    for (size_t i = 0; i < kRequests; ++i) Deliver(i, ConnectionRestored{host});
  });
}

void FaultSimulation::RestartSide(size_t side) {
  Side& s = m_sides[side];
  m_dropped_connections.insert(s.connection);
  LoseConnection(side, false);
  ++s.incarnation;
  s.table = std::make_unique<ExecutionTable>(s.incarnation);
  std::vector<AttemptId> running;
  for (const auto& [attempt, offset] : s.engine) running.push_back(attempt);
  s.table->Recover(running, m_now);
  s.reserved = std::unordered_set<AttemptId>(running.begin(), running.end());
}

void FaultSimulation::CrashEngine(size_t side) {
  Side& s = m_sides[side];
  const auto lost = std::move(s.engine);
  s.engine.clear();
  for (const auto& [attempt, offset] : lost) {
    s.reserved.erase(attempt);
    const Result<Completion> failed = Fail(ErrorCode::kBackendFailed);
    if (!s.table->Finish(attempt, failed, m_now)) continue;
    const auto request =
        static_cast<size_t>(attempt.request.value().back() - '0');
    SendOutcome(side, request, attempt, failed);
  }
}

void FaultSimulation::TickAll() {
  for (size_t i = 0; i < kRequests; ++i) Deliver(i, Tick{});
  for (Side& side : m_sides) {
    for (const ExpiredAttempt& expired : side.table->Tick(m_now)) {
      if (expired.cancel_at_backend) side.engine.erase(expired.attempt);
      side.reserved.erase(expired.attempt);
    }
  }
  if (m_now < m_end) RunAfter(kTick, [this] { TickAll(); });
}

Schedule MakeSchedule(uint32_t seed, const std::vector<Fault>& faults) {
  std::minstd_rand random(seed + 1);
  const auto percent = [&random](int32_t limit) {
    return static_cast<int32_t>(random() % static_cast<uint32_t>(limit));
  };
  return Schedule{seed,         percent(30),  percent(60),
                  percent(100), percent(100), faults};
}

}  // namespace peridotshelf::attempts
