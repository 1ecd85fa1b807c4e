#include "peridotshelf/attempts/execution_table.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::attempts {
namespace {

tl::unexpected<Error> Refuse(ErrorCode code, std::string detail, bool not_run) {
  return tl::unexpected<Error>(Error{code, std::move(detail), not_run, {}});
}

}  // namespace

Result<void> ExecutionTable::Admit(const AttemptId& attempt,
                                   ConnectionId connection, Duration remaining,
                                   TimePoint now) {
  Record record;
  record.connection = connection;
  record.request_end = now + remaining;
  const auto [it, added] = m_records.emplace(attempt, std::move(record));
  if (added) {
    ++m_live;
    return {};
  }
  const bool not_run = !it->second.started;
  return Refuse(ErrorCode::kCancelled, "attempt is already known", not_run);
}

Result<StartDecision> ExecutionTable::Start(const AttemptId& attempt,
                                            int64_t epoch) {
  // An earlier incarnation may have run the attempt, so not_run is not set.
  if (epoch != m_epoch) {
    return Refuse(ErrorCode::kCancelled, "granted before a restart", false);
  }
  auto it = m_records.find(attempt);
  if (it == m_records.end()) {
    return Refuse(ErrorCode::kCancelled, "unknown attempt", false);
  }
  Record& record = it->second;
  if (record.state == State::kAdmitted) {
    record.state = State::kRunning;
    record.started = true;
    return StartDecision::kRun;
  }
  if (record.started) return StartDecision::kDuplicate;
  return Refuse(ErrorCode::kCancelled, "cancelled before it started", true);
}

Result<StartDecision> ExecutionTable::AdmitAndStart(const AttemptId& attempt,
                                                    ConnectionId connection,
                                                    Duration remaining,
                                                    TimePoint now) {
  if (!m_records.contains(attempt)) {
    (void)Admit(attempt, connection, remaining, now);
  }
  return Start(attempt, m_epoch);
}

std::optional<ConnectionId> ExecutionTable::Append(const AttemptId& attempt,
                                                   int64_t offset,
                                                   std::string data) {
  auto it = m_records.find(attempt);
  if (it == m_records.end()) return std::nullopt;
  Record& record = it->second;
  const int64_t next =
      record.first_offset + static_cast<int64_t>(record.chunks.size());
  if (record.state != State::kRunning || offset != next) return std::nullopt;
  m_buffered_bytes += data.size();
  record.chunks.push_back(std::move(data));
  return record.connection;
}

std::optional<ConnectionId> ExecutionTable::Finish(const AttemptId& attempt,
                                                   Result<Completion> outcome,
                                                   TimePoint now) {
  auto it = m_records.find(attempt);
  if (it == m_records.end() || it->second.state == State::kEnded) {
    return std::nullopt;
  }
  End(attempt, it->second, std::move(outcome), now);
  return it->second.connection;
}

void ExecutionTable::End(const AttemptId& attempt, Record& record,
                         Result<Completion> outcome, TimePoint now) {
  record.state = State::kEnded;
  --m_live;
  m_detached.erase(attempt);
  if (!outcome) DropChunks(record);
  record.outcome = std::move(outcome);
  m_answer_expiries.push_back({now + m_options.answer_retention, attempt});
  const TimePoint forget_at =
      std::max(record.request_end, now + m_options.answer_retention);
  m_record_expiries.emplace(forget_at, attempt);
}

void ExecutionTable::DropChunks(Record& record) {
  for (const std::string& chunk : record.chunks) {
    m_buffered_bytes -= chunk.size();
  }
  record.first_offset += static_cast<int64_t>(record.chunks.size());
  record.chunks.clear();
  record.chunks.shrink_to_fit();
}

ResumeReply ExecutionTable::Resume(const AttemptId& attempt,
                                   int64_t from_offset, ConnectionId connection,
                                   bool same_incarnation, TimePoint now) {
  ResumeReply reply;
  reply.from_offset = from_offset;
  auto it = m_records.find(attempt);
  if (it == m_records.end()) {
    return ResumeUnknown(attempt, same_incarnation, now);
  }
  Record& record = it->second;
  if (record.state == State::kAdmitted) {
    // The Start was lost with the old connection; the attempt must no longer
    // run.
    const CancelReply ended = Cancel(attempt, ErrorCode::kConnectionLost, now);
    reply.release_allocation = ended.release_allocation;
    reply.outcome = tl::unexpected<Error>(ended.error);
    return reply;
  }
  record.connection = connection;
  m_detached.erase(attempt);
  reply.outcome = record.outcome;
  if (reply.outcome && !*reply.outcome) return reply;
  if (record.is_from_earlier_incarnation) {
    record.is_from_earlier_incarnation = false;
    record.first_offset = from_offset;
    reply.ask_engine = true;
    return reply;
  }
  const int64_t skipped = from_offset - record.first_offset;
  if (skipped < 0) {
    reply.outcome = Refuse(ErrorCode::kBackendFailed,
                           "the answer is no longer buffered", false);
    return reply;
  }
  const auto kept = static_cast<int64_t>(record.chunks.size());
  reply.chunks.assign(record.chunks.begin() + std::min(skipped, kept),
                      record.chunks.end());
  return reply;
}

ResumeReply ExecutionTable::ResumeUnknown(const AttemptId& attempt,
                                          bool same_incarnation,
                                          TimePoint now) {
  ResumeReply reply;
  if (same_incarnation) {
    // This process does not know the attempt, so only a Start still in transit
    // could run it. The record of the cancellation makes that Start fail.
    reply.outcome = tl::unexpected<Error>(
        Cancel(attempt, ErrorCode::kConnectionLost, now).error);
    return reply;
  }
  reply.outcome = Refuse(
      ErrorCode::kConnectionLost,
      "the side restarted and the engine is not running the attempt", false);
  return reply;
}

CancelReply ExecutionTable::Cancel(const AttemptId& attempt, ErrorCode code,
                                   TimePoint now, bool same_incarnation) {
  const auto [it, added] = m_records.try_emplace(attempt);
  Record& record = it->second;
  if (added) {
    ++m_live;
    // An earlier process may have started the attempt.
    record.started = !same_incarnation;
    record.request_end = now + m_options.max_request_timeout;
  }
  CancelReply reply;
  reply.error.code = code;
  reply.error.not_run = !record.started;
  if (record.state == State::kEnded) return reply;
  reply.cancel_at_backend = record.started && !added;
  reply.release_allocation = !added;
  End(attempt, record, tl::unexpected<Error>(reply.error), now);
  return reply;
}

std::optional<ConnectionId> ExecutionTable::FindConnection(
    const AttemptId& attempt) const {
  auto it = m_records.find(attempt);
  if (it == m_records.end()) return std::nullopt;
  return it->second.connection;
}

void ExecutionTable::Detach(ConnectionId connection, TimePoint now) {
  for (auto& [attempt, record] : m_records) {
    if (record.connection != connection) continue;
    record.connection.reset();
    if (record.state == State::kEnded) continue;
    record.lease_end = now + m_options.lease;
    m_detached.insert(attempt);
  }
}

void ExecutionTable::Recover(std::span<const AttemptId> running,
                             TimePoint now) {
  for (const AttemptId& attempt : running) {
    Record record;
    record.state = State::kRunning;
    record.started = true;
    record.is_from_earlier_incarnation = true;
    record.lease_end = now + m_options.lease;
    record.request_end = now + m_options.max_request_timeout;
    if (!m_records.emplace(attempt, std::move(record)).second) continue;
    ++m_live;
    m_detached.insert(attempt);
  }
}

std::vector<ExpiredAttempt> ExecutionTable::Tick(TimePoint now) {
  std::vector<AttemptId> expired;
  for (const AttemptId& attempt : m_detached) {
    if (now >= m_records.at(attempt).lease_end) expired.push_back(attempt);
  }
  std::vector<ExpiredAttempt> result;
  for (const AttemptId& attempt : expired) {
    const CancelReply reply = Cancel(attempt, ErrorCode::kCancelled, now);
    result.push_back({attempt, reply.cancel_at_backend});
  }
  RemoveExpired(now);
  return result;
}

void ExecutionTable::RemoveExpired(TimePoint now) {
  while (!m_answer_expiries.empty() && m_answer_expiries.front().at <= now) {
    auto it = m_records.find(m_answer_expiries.front().attempt);
    if (it != m_records.end()) DropChunks(it->second);
    m_answer_expiries.pop_front();
  }
  while (!m_record_expiries.empty() &&
         m_record_expiries.begin()->first <= now) {
    m_records.erase(m_record_expiries.begin()->second);
    m_record_expiries.erase(m_record_expiries.begin());
  }
}

}  // namespace peridotshelf::attempts
