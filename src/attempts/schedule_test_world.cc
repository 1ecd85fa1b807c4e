#include "schedule_test_world.h"

#include <algorithm>

namespace peridotshelf::attempts {

using std::chrono::milliseconds;

World::World(const Schedule& schedule)
    : m_schedule(schedule), m_random(schedule.seed) {
  m_end = m_now + kWindow * 4;
  for (Side& side : m_sides) {
    side.table = std::make_unique<ExecutionTable>(1);
    side.connection = m_next_connection++;
  }
  for (size_t i = 0; i < kRequests; ++i) {
    m_lives.push_back(nullptr);
    RunAfter(milliseconds(Draw(0, 500)), [this, i] { Admit(i); });
  }
  for (const Fault& fault : schedule.faults) {
    RunAfter(milliseconds(fault.at_ms), [this, fault] { Apply(fault); });
  }
  RunAfter(kTick, [this] { TickAll(); });
}

void World::Run() {
  while (!m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
}

std::string World::Held() const {
  std::string held;
  for (const Side& side : m_sides) {
    for (const auto& [attempt, offset] : side.engine) {
      held += "engine " + attempt.ToString() + ";";
    }
    for (const AttemptId& attempt : side.holds) {
      held += "hold " + attempt.ToString() + ";";
    }
    if (side.table->live() > 0 || side.table->buffered_bytes() > 0) {
      held += "table " + std::to_string(side.table->live()) + ";";
    }
  }
  return held;
}

int64_t World::Draw(int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(m_random);
}

void World::At(TimePoint at, std::function<void()> action) {
  m_events.push({at, m_order++, std::move(action)});
}

void World::RunAfter(Duration delay, std::function<void()> action) {
  At(m_now + delay, std::move(action));
}

HostId World::HostOf(size_t side) const {
  return HostId("side" + std::to_string(side));
}

size_t World::SideOf(const HostId& host) const {
  return static_cast<size_t>(host.value().back() - '0');
}

void World::Admit(size_t request) {
  RequestParameters plan{RequestId("r" + std::to_string(request)),
                         "service",
                         RequestDeadline::FromRemaining(m_now, kWindow),
                         !Percent(m_schedule.unrepeatable),
                         Percent(m_schedule.reserve_first),
                         Percent(50),
                         static_cast<uint32_t>(Draw(1, 1 << 30))};
  m_records[request].retryable = plan.retryable;
  m_records[request].deadline = plan.budget.deadline();
  m_lives[request] = std::make_unique<RequestStateMachine>(
      plan, RequestOptions{}, m_retry_budget, m_now);
  Obey(request, m_lives[request]->Begin(m_now));
}

template <class E>
void World::ToLife(size_t request, E event) {
  if (m_now < m_frozen_until) {
    At(m_frozen_until, [this, request, event] { ToLife(request, event); });
    return;
  }
  if (m_lives[request] == nullptr) return;
  Obey(request, m_lives[request]->On(event, m_now));
  m_records[request].dropped = m_lives[request]->dropped().Total();
}

void World::Send(size_t side, Duration delay, std::function<void()> action) {
  const ConnectionId connection = m_sides[side].connection;
  if (!m_sides[side].connected) return;
  RunAfter(delay + milliseconds(Draw(0, 20)),
           [this, connection, action = std::move(action)] {
             if (!m_dead.contains(connection)) action();
           });
}

void World::SendToSide(size_t side, std::function<void()> action) {
  const ConnectionId connection = m_sides[side].connection;
  Send(side, milliseconds(1), [this, connection, action = std::move(action)] {
    if (!m_closed.contains(connection)) action();
  });
}

void World::Obey(size_t request, const Commands& commands) {
  for (const Command& command : commands) {
    std::visit([&](const auto& c) { Handle(request, c); }, command);
  }
}

void World::Handle(size_t request, const Place&) {
  PlacementReply placed;
  for (int64_t count = Draw(1, 2); count > 0; --count) {
    const auto side = static_cast<size_t>(Draw(0, kSides - 1));
    const Candidate candidate{EngineId(HostOf(side).value()), HostOf(side)};
    placed.candidates.push_back(candidate);
  }
  RunAfter(milliseconds(0),
           [this, request, placed] { ToLife(request, placed); });
}

void World::Handle(size_t request, const Reserve& command) {
  const size_t side = SideOf(command.candidate.host);
  SendToSide(side, [this, side, request, command] {
    const Result<void> admitted = m_sides[side].table->Admit(
        command.attempt, m_sides[side].connection, command.remaining, m_now);
    if (!admitted || Percent(m_schedule.refuse)) {
      m_sides[side].table->Cancel(command.attempt, ErrorCode::kOverloaded,
                                  m_now);
      const Error error{ErrorCode::kOverloaded, {}, false, {}};
      Send(side, milliseconds(1), [this, request, command, error] {
        ToLife(request, Refused{command.attempt, error});
      });
      return;
    }
    m_sides[side].holds.insert(command.attempt);
    const int64_t epoch = m_sides[side].incarnation;
    Send(side, milliseconds(1), [this, request, command, epoch] {
      ToLife(request, Granted{command.attempt, epoch});
    });
  });
}

void World::Handle(size_t request, const Start& command) {
  const size_t side = SideOf(command.candidate.host);
  m_start_incarnations[command.attempt] = m_sides[side].incarnation;
  SendToSide(side, [this, side, request, command] {
    SideStarts(side, request, command);
  });
}

void World::SideStarts(size_t side, size_t request, const Start& command) {
  ExecutionTable& table = *m_sides[side].table;
  const Result<StartDecision> verdict =
      command.epoch != 0
          ? table.Start(command.attempt, command.epoch)
          : table.AdmitAndStart(command.attempt, m_sides[side].connection,
                                command.remaining, m_now);
  if (!verdict) {
    SendOutcome(side, request, command.attempt,
                tl::unexpected<Error>(verdict.error()));
    return;
  }
  if (*verdict == StartDecision::kDuplicate) return;
  m_records[request].executions.push_back(command.attempt);
  m_sides[side].holds.insert(command.attempt);
  m_sides[side].engine[command.attempt] = 0;
  Generate(side, request, command.attempt);
}

void World::Generate(size_t side, size_t request, const AttemptId& attempt) {
  RunAfter(milliseconds(Draw(10, 200)), [this, side, request, attempt] {
    Side& s = m_sides[side];
    auto it = s.engine.find(attempt);
    if (it == s.engine.end()) return;
    const int64_t offset = it->second++;
    if (offset == kChunks) {
      s.engine.erase(it);
      s.holds.erase(attempt);
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

void World::SendOutcome(size_t side, size_t request, const AttemptId& attempt,
                        const Result<Completion>& outcome) {
  Send(side, milliseconds(1), [this, request, attempt, outcome] {
    if (outcome) {
      ToLife(request, Finished{attempt, *outcome});
    } else {
      ToLife(request, Failed{attempt, outcome.error()});
    }
  });
}

void World::SendChunk(size_t side, size_t request, const AttemptId& attempt,
                      int64_t offset, const std::string& data) {
  const ChunkArrived chunk{attempt, offset, data};
  const int copies = Percent(m_schedule.repeat_chunk) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Send(side, milliseconds(1),
         [this, request, chunk] { ToLife(request, chunk); });
  }
  if (!Percent(m_schedule.repeat_chunk)) return;
  // The same chunk crosses over to another caller's request.
  const size_t other = (request + 1) % kRequests;
  Send(side, milliseconds(1), [this, other, chunk] { ToLife(other, chunk); });
}

void World::Handle(size_t request, const Resume& command) {
  const size_t side = SideOf(command.host);
  const int64_t incarnation = m_start_incarnations[command.attempt];
  SendToSide(side, [this, side, request, command, incarnation] {
    SideResumes(side, request, command, incarnation);
  });
}

void World::SideResumes(size_t side, size_t request, const Resume& command,
                        int64_t started_at_incarnation) {
  Side& s = m_sides[side];
  const AttemptId attempt = command.attempt;
  const ResumeReply reply =
      s.table->Resume(attempt, command.from_offset, s.connection,
                      started_at_incarnation == s.incarnation, m_now);
  if (reply.release_allocation) s.holds.erase(attempt);
  if (reply.ask_engine) {
    // The engine repeats its chunks from the offset on.
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

void World::Handle(size_t, const Cancel& command) {
  const size_t side = SideOf(command.host);
  SendToSide(side, [this, side, command] {
    const CancelReply reply =
        m_sides[side].table->Cancel(command.attempt, command.code, m_now);
    if (reply.cancel_at_backend) m_sides[side].engine.erase(command.attempt);
    if (reply.release_allocation) m_sides[side].holds.erase(command.attempt);
  });
}

void World::Handle(size_t request, const DeliverChunk& command) {
  m_records[request].delivered.push_back(command.data);
}

void World::Handle(size_t request, const Answer& command) {
  RequestRecord& record = m_records[request];
  record.answers.push_back(command.result);
  record.answered_late =
      m_now > std::max(record.deadline, m_frozen_until) + kTick;
}

void World::Apply(const Fault& fault) {
  const size_t side = fault.target % kSides;
  switch (fault.kind) {
    case FaultKind::kCut:
      return Cut(side, false);
    case FaultKind::kCutSilently:
      return Cut(side, true);
    case FaultKind::kKillSide:
      return KillSide(side);
    case FaultKind::kKillEngine:
      return KillEngine(side);
    case FaultKind::kFreezeEntry:
      m_frozen_until = m_now + milliseconds(fault.length_ms);
      for (size_t i = 0; i < kSides; ++i) Cut(i, true);
      return;
    case FaultKind::kHangUp:
      ToLife(fault.target % kRequests, CallerDisconnected{});
      return;
  }
}

void World::Cut(size_t side, bool frames_arrive) {
  Side& s = m_sides[side];
  if (!s.connected) return;
  s.connected = false;
  const ConnectionId old = s.connection;
  if (!frames_arrive) m_dead.insert(old);
  const HostId host = HostOf(side);
  RunAfter(kDetection,
           [this, side, old] { m_sides[side].table->Detach(old, m_now); });
  RunAfter(milliseconds(Draw(0, 800)), [this, host] {
    for (size_t i = 0; i < kRequests; ++i) ToLife(i, ConnectionLost{host});
  });
  const TimePoint back =
      std::max(m_frozen_until, m_now + kDetection) + milliseconds(Draw(1, 900));
  At(back, [this, side, host] {
    m_sides[side].connected = true;
    m_sides[side].connection = m_next_connection++;
    for (size_t i = 0; i < kRequests; ++i) ToLife(i, ConnectionRestored{host});
  });
}

void World::KillSide(size_t side) {
  Side& s = m_sides[side];
  m_dead.insert(s.connection);
  Cut(side, false);
  ++s.incarnation;
  s.table = std::make_unique<ExecutionTable>(s.incarnation);
  std::vector<AttemptId> running;
  for (const auto& [attempt, offset] : s.engine) running.push_back(attempt);
  s.table->Recover(running, m_now);
  s.holds = std::unordered_set<AttemptId>(running.begin(), running.end());
}

void World::KillEngine(size_t side) {
  Side& s = m_sides[side];
  const auto lost = std::move(s.engine);
  s.engine.clear();
  for (const auto& [attempt, offset] : lost) {
    s.holds.erase(attempt);
    const Result<Completion> failed = Fail(ErrorCode::kBackendFailed);
    if (!s.table->Finish(attempt, failed, m_now)) continue;
    const auto request =
        static_cast<size_t>(attempt.request.value().back() - '0');
    SendOutcome(side, request, attempt, failed);
  }
}

void World::TickAll() {
  for (size_t i = 0; i < kRequests; ++i) ToLife(i, Tick{});
  for (Side& side : m_sides) {
    for (const ExpiredAttempt& lapsed : side.table->Tick(m_now)) {
      if (lapsed.cancel_at_backend) side.engine.erase(lapsed.attempt);
      side.holds.erase(lapsed.attempt);
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
