#include "explore/side_model.h"

#include <utility>

namespace peridotshelf::explore {
namespace {

constexpr ledger::Capacity kEngineCapacity{400'000, 6};

history::BackendId MakeEngineId(size_t number, int64_t generation) {
  return history::BackendId("m" + std::to_string(number) + "." +
                            std::to_string(generation));
}

ledger::AdmissionOptions MakeOptions(int64_t epoch) {
  ledger::AdmissionOptions options;
  options.capacity = kEngineCapacity;
  options.epoch = epoch;
  return options;
}

}  // namespace

SideModel::SideModel(Context& context, Process& process, Network& network,
                     SideReplies& replies, size_t number)
    : m_context(context),
      m_process(process),
      m_network(network),
      m_replies(replies),
      m_number(number),
      m_engine(context, MakeEngineId(number, 1), *this) {
  Start();
}

void SideModel::Start() {
  const int64_t epoch = m_process.incarnation;
  m_admission = std::make_unique<ledger::Admission>(MakeOptions(epoch),
                                                    /*rebuilding=*/true);
  m_table = std::make_unique<attempts::ExecutionTable>(epoch);
  m_reservation_connections.clear();
  std::vector<backend::EngineStream> streams;
  if (m_context.IsEnabled(Mechanism::kRebuild)) streams = m_engine.Streams();
  std::vector<AttemptId> running;
  running.reserve(streams.size());
  for (const auto& stream : streams) running.push_back(stream.attempt);
  m_table->Recover(running, m_context.Now());
  m_admission->Rebuild(streams, m_context.Now());
}

void SideModel::Terminate() { m_engine.Detach(); }

void SideModel::Replace() {
  m_engine.Rename(MakeEngineId(m_number, ++m_generation));
  Start();
}

template <class Message>
void SideModel::Send(ConnectionId connection,
                     void (SideReplies::*deliver)(size_t, const Message&),
                     Message message) {
  m_network.ToEntry(
      connection, [this, deliver, message = std::move(message)](size_t entry) {
        (m_replies.*deliver)(entry, message);
      });
}

void SideModel::SendFailed(ConnectionId connection, const AttemptId& attempt,
                           Error error) {
  if (!m_context.IsEnabled(Mechanism::kNotRunProof)) error.not_run = true;
  Send(connection, &SideReplies::OnFailed,
       attempts::Failed{attempt, std::move(error)});
}

void SideModel::OnReserve(ConnectionId connection, const ProcessId& owner,
                          const AttemptId& attempt, const CallPlan& plan,
                          Duration remaining) {
  const TimePoint now = m_context.Now();
  const Result<void> admitted =
      m_table->Admit(attempt, connection, remaining, now);
  if (!admitted) {
    return Send(connection, &SideReplies::OnRefused,
                attempts::Refused{attempt, admitted.error()});
  }
  m_reservation_connections[attempt] = connection;
  ledger::ReserveRequest request;
  request.attempt = attempt;
  request.owner = owner;
  request.team = TeamId("team");
  request.prompt_tokens = plan.prompt_tokens;
  request.max_tokens = plan.chunks;
  if (m_context.IsEnabled(Mechanism::kSizeClasses)) {
    request.size_class = policy::ClassifySize(plan.prompt_tokens, plan.chunks,
                                              kEngineCapacity.tokens);
  } else {
    // Admits the largest requests first, with no capacity set aside for short
    // ones.
    request.priority = static_cast<int32_t>(plan.prompt_tokens);
  }
  request.deadline = RequestDeadline::FromRemaining(now, remaining);
  std::visit([this](const auto& decision) { Handle(decision); },
             m_admission->Reserve(request, now));
}

void SideModel::Handle(const ledger::Granted& granted) {
  Send(m_reservation_connections[granted.attempt], &SideReplies::OnGranted,
       attempts::Granted{granted.attempt, granted.epoch});
}

void SideModel::Handle(const ledger::Queued& queued) {
  Send(m_reservation_connections[queued.attempt], &SideReplies::OnQueued,
       attempts::Queued{queued.attempt, queued.estimated_wait});
}

void SideModel::Handle(const ledger::Refused& refused) {
  m_table->Cancel(refused.attempt, refused.error.code, m_context.Now());
  Send(m_reservation_connections[refused.attempt], &SideReplies::OnRefused,
       attempts::Refused{refused.attempt, refused.error});
}

void SideModel::Handle(const ledger::EngineCancellation& cancel) {
  CancelAttempt(cancel.attempt);
}

void SideModel::OnStart(ConnectionId connection, const AttemptId& attempt,
                        int64_t epoch, const CallPlan& plan) {
  const auto decision = m_table->Start(attempt, epoch);
  if (!decision) {
    return SendFailed(connection, attempt, decision.error());
  }
  if (*decision == attempts::StartDecision::kDuplicate) return;
  const Result<void> committed =
      m_admission->Commit(attempt, epoch, m_context.Now());
  if (!committed) {
    return FinishAttempt(attempt, tl::unexpected<Error>(committed.error()));
  }
  m_engine.Run(attempt, plan);
}

void SideModel::OnCancel(ConnectionId connection, const AttemptId& attempt,
                         ErrorCode code) {
  const attempts::CancelReply reply =
      m_table->Cancel(attempt, code, m_context.Now());
  if (reply.cancel_at_backend) m_engine.Cancel(attempt);
  m_admission->Cancel(attempt, m_context.Now());
  m_admission->Release(attempt, m_context.Now());
  SendFailed(connection, attempt, reply.error);
}

void SideModel::OnResume(ConnectionId connection, const ProcessId& owner,
                         const AttemptId& attempt, int64_t from_offset,
                         int64_t start_epoch) {
  const TimePoint now = m_context.Now();
  const bool is_same_incarnation = start_epoch == m_process.incarnation;
  const attempts::ResumeReply reply = m_table->Resume(
      attempt, from_offset, connection, is_same_incarnation, now);
  if (reply.release_allocation) {
    m_admission->Cancel(attempt, now);
    m_admission->Release(attempt, now);
  } else {
    m_admission->Claim(attempt, owner, now);
  }
  if (reply.ask_engine) {
    if (!m_engine.Resume(attempt, from_offset)) {
      // The attempt ended after the side listed the engine's streams.
      FinishAttempt(attempt, Fail(ErrorCode::kConnectionLost));
    }
    return;
  }
  int64_t offset = reply.from_offset;
  for (const std::string& text : reply.chunks) {
    Send(connection, &SideReplies::OnChunk,
         attempts::ChunkArrived{attempt, offset++, text});
  }
  if (!reply.outcome) return;
  if (*reply.outcome) {
    Send(connection, &SideReplies::OnFinished,
         attempts::Finished{attempt, **reply.outcome});
  } else {
    SendFailed(connection, attempt, reply.outcome->error());
  }
}

void SideModel::OnHeartbeat(const ProcessId& owner) {
  m_admission->Extend(owner, m_context.Now());
}

void SideModel::OnConnectionLost(ConnectionId connection) {
  m_table->Detach(connection, m_context.Now());
}

void SideModel::OnEngineChunk(const AttemptId& attempt, int64_t offset,
                              const std::string& text) {
  RunInProcess(m_context, m_process, [this, attempt, offset, text] {
    ForwardChunk(attempt, offset, text);
  });
}

void SideModel::ForwardChunk(const AttemptId& attempt, int64_t offset,
                             const std::string& text) {
  m_admission->EndPrefill(attempt, m_context.Now());
  const auto connection = m_table->Append(attempt, offset, text);
  if (!connection) return;
  Send(*connection, &SideReplies::OnChunk,
       attempts::ChunkArrived{attempt, offset, text});
}

void SideModel::OnEngineEnd(const AttemptId& attempt, bool is_complete,
                            int64_t chunks) {
  RunInProcess(m_context, m_process, [this, attempt, is_complete, chunks] {
    Result<attempts::Completion> outcome = Fail(ErrorCode::kBackendFailed);
    if (is_complete) outcome = attempts::Completion{chunks, 200, {}, 0, 0};
    FinishAttempt(attempt, outcome);
  });
}

void SideModel::FinishAttempt(const AttemptId& attempt,
                              const Result<attempts::Completion>& outcome) {
  m_admission->Release(attempt, m_context.Now());
  const auto connection = m_table->Finish(attempt, outcome, m_context.Now());
  if (!connection) return;
  if (outcome) {
    Send(*connection, &SideReplies::OnFinished,
         attempts::Finished{attempt, *outcome});
  } else {
    SendFailed(*connection, attempt, outcome.error());
  }
}

void SideModel::CancelAttempt(const AttemptId& attempt) {
  m_engine.Cancel(attempt);
  m_table->Cancel(attempt, ErrorCode::kCancelled, m_context.Now());
  m_admission->Cancel(attempt, m_context.Now());
  m_admission->Release(attempt, m_context.Now());
}

void SideModel::Tick() {
  const TimePoint now = m_context.Now();
  for (const ledger::Outcome& outcome : m_admission->Tick(now)) {
    const bool lease_ended =
        std::holds_alternative<ledger::EngineCancellation>(outcome);
    if (lease_ended && !m_context.IsEnabled(Mechanism::kOwnerLease)) continue;
    std::visit([this](const auto& decision) { Handle(decision); }, outcome);
  }
  if (!m_context.IsEnabled(Mechanism::kOwnerLease)) return;
  for (const attempts::ExpiredAttempt& expired : m_table->Tick(now)) {
    CancelAttempt(expired.attempt);
  }
}

void SideModel::StartLeaving() {
  if (!m_context.IsEnabled(Mechanism::kLeaveRefusal)) return;
  for (const ledger::Outcome& outcome :
       m_admission->SetLeaving(true, m_context.Now())) {
    std::visit([this](const auto& decision) { Handle(decision); }, outcome);
  }
}

bool SideModel::idle() const {
  return m_table->live() == 0 && m_admission->Allocated().slots == 0;
}

std::string SideModel::DescribeLeaks() const {
  std::string leaks;
  if (m_table->live() > 0) {
    leaks += std::to_string(m_table->live()) + " attempts in the table; ";
  }
  if (m_admission->Allocated() != ledger::Capacity{}) {
    leaks +=
        std::to_string(m_admission->Allocated().tokens) + " tokens allocated; ";
  }
  if (!m_admission->IsBalanced()) leaks += "the ledger is not balanced; ";
  return leaks;
}

}  // namespace peridotshelf::explore
