#include "side/attempt_streams.h"

#include <utility>

#include "peridotshelf/wire/codec.h"

namespace peridotshelf::side {
namespace {

TimePoint Now() { return SteadyClock().Now(); }

void SendChunk(wire::Channel& channel, const AttemptId& attempt, int64_t offset,
               const std::string& data) {
  wire::Frame frame;
  frame.chunk.attempt = wire::ToWire(attempt);
  frame.chunk.offset = offset;
  frame.chunk.data = data;
  frame.__isset.chunk = true;
  channel.Send(frame);
}

void SendOutcome(wire::Channel& channel, const AttemptId& attempt,
                 const Result<attempts::Completion>& outcome) {
  if (!outcome) {
    SendFailed(channel, attempt, outcome.error());
    return;
  }
  wire::Frame frame;
  frame.finished.attempt = wire::ToWire(attempt);
  frame.finished.chunks = outcome->chunks;
  frame.finished.http_status = outcome->http_status;
  frame.finished.content_type = outcome->content_type;
  frame.finished.prompt_tokens = outcome->prompt_tokens;
  frame.finished.cached_tokens = outcome->cached_tokens;
  frame.__isset.finished = true;
  channel.Send(frame);
}

}  // namespace

void SendFailed(wire::Channel& channel, const AttemptId& attempt,
                const Error& error) {
  wire::Frame frame;
  frame.failed.attempt = wire::ToWire(attempt);
  frame.failed.code = ToString(error.code);
  frame.failed.detail = error.detail;
  frame.failed.not_run = error.not_run;
  frame.failed.retry_after_ms =
      ToMilliseconds(error.retry_after.value_or(Duration::zero()));
  frame.__isset.failed = true;
  channel.Send(frame);
}

AttemptStreams::AttemptStreams(int64_t epoch,
                               const attempts::ExecutionOptions& options)
    : m_epoch(epoch) {
  for (Shard& shard : m_shards) {
    shard.table = std::make_unique<attempts::ExecutionTable>(epoch, options);
  }
}

AttemptStreams::Shard& AttemptStreams::FindShard(const AttemptId& attempt) {
  return m_shards[std::hash<AttemptId>()(attempt) % kShards];
}

void AttemptStreams::AddConnection(const wire::ChannelPtr& channel) {
  std::scoped_lock lock(m_channels_mutex);
  const attempts::ConnectionId id = m_next_connection++;
  m_channels[id] = channel;
  m_connection_ids[channel.get()] = id;
}

void AttemptStreams::RemoveConnection(const wire::ChannelPtr& channel) {
  const attempts::ConnectionId id = FindConnectionId(channel);
  {
    std::scoped_lock lock(m_channels_mutex);
    m_channels.erase(id);
    m_connection_ids.erase(channel.get());
  }
  for (Shard& shard : m_shards) {
    std::scoped_lock lock(shard.mutex);
    shard.table->Detach(id, Now());
  }
}

attempts::ConnectionId AttemptStreams::FindConnectionId(
    const wire::ChannelPtr& channel) const {
  std::scoped_lock lock(m_channels_mutex);
  auto it = m_connection_ids.find(channel.get());
  return it == m_connection_ids.end() ? 0 : it->second;
}

wire::ChannelPtr AttemptStreams::FindChannel(
    std::optional<attempts::ConnectionId> connection) const {
  if (!connection) return nullptr;
  std::scoped_lock lock(m_channels_mutex);
  auto it = m_channels.find(*connection);
  return it == m_channels.end() ? nullptr : it->second;
}

Result<void> AttemptStreams::Admit(const wire::ChannelPtr& channel,
                                   const AttemptId& attempt,
                                   Duration remaining) {
  Shard& shard = FindShard(attempt);
  std::scoped_lock lock(shard.mutex);
  return shard.table->Admit(attempt, FindConnectionId(channel), remaining,
                            Now());
}

Result<attempts::StartDecision> AttemptStreams::Start(const AttemptId& attempt,
                                                      int64_t epoch) {
  Shard& shard = FindShard(attempt);
  std::scoped_lock lock(shard.mutex);
  return shard.table->Start(attempt, epoch);
}

Result<attempts::StartDecision> AttemptStreams::AdmitAndStart(
    const wire::ChannelPtr& channel, const AttemptId& attempt,
    Duration remaining) {
  Shard& shard = FindShard(attempt);
  std::scoped_lock lock(shard.mutex);
  return shard.table->AdmitAndStart(attempt, FindConnectionId(channel),
                                    remaining, Now());
}

void AttemptStreams::Append(const AttemptId& attempt, int64_t offset,
                            const std::string& data) {
  Shard& shard = FindShard(attempt);
  std::scoped_lock lock(shard.mutex);
  const auto connection = shard.table->Append(attempt, offset, data);
  if (const auto channel = FindChannel(connection)) {
    SendChunk(*channel, attempt, offset, data);
  }
}

void AttemptStreams::Finish(const AttemptId& attempt,
                            const Result<attempts::Completion>& outcome) {
  Shard& shard = FindShard(attempt);
  std::scoped_lock lock(shard.mutex);
  const auto connection = shard.table->Finish(attempt, outcome, Now());
  if (const auto channel = FindChannel(connection)) {
    SendOutcome(*channel, attempt, outcome);
  }
}

attempts::ResumeReply AttemptStreams::Resume(const wire::ChannelPtr& channel,
                                             const wire::Resume& resume,
                                             bool same_incarnation) {
  const AttemptId attempt = wire::FromWire(resume.attempt);
  const attempts::ConnectionId connection = FindConnectionId(channel);
  // The connection has closed; the entry resumes again on its next connection.
  if (connection == 0) return {};
  Shard& shard = FindShard(attempt);
  std::scoped_lock lock(shard.mutex);
  attempts::ResumeReply reply = shard.table->Resume(
      attempt, resume.from_offset, connection, same_incarnation, Now());
  int64_t offset = reply.from_offset;
  for (const std::string& data : reply.chunks) {
    SendChunk(*channel, attempt, offset++, data);
  }
  if (reply.outcome) SendOutcome(*channel, attempt, *reply.outcome);
  return reply;
}

attempts::CancelReply AttemptStreams::Cancel(const wire::ChannelPtr& channel,
                                             const AttemptId& attempt,
                                             ErrorCode code,
                                             bool same_incarnation) {
  Shard& shard = FindShard(attempt);
  std::scoped_lock lock(shard.mutex);
  attempts::CancelReply reply =
      shard.table->Cancel(attempt, code, Now(), same_incarnation);
  if (channel) SendFailed(*channel, attempt, reply.error);
  return reply;
}

void AttemptStreams::Send(const AttemptId& attempt, const wire::Frame& frame) {
  Shard& shard = FindShard(attempt);
  std::scoped_lock lock(shard.mutex);
  const auto channel = FindChannel(shard.table->FindConnection(attempt));
  if (channel) channel->Send(frame);
}

void AttemptStreams::Recover(std::span<const AttemptId> running) {
  for (const AttemptId& attempt : running) {
    Shard& shard = FindShard(attempt);
    std::scoped_lock lock(shard.mutex);
    shard.table->Recover(std::span(&attempt, 1), Now());
  }
}

std::vector<attempts::ExpiredAttempt> AttemptStreams::Tick() {
  std::vector<attempts::ExpiredAttempt> expired;
  for (Shard& shard : m_shards) {
    std::scoped_lock lock(shard.mutex);
    for (auto& attempt : shard.table->Tick(Now())) {
      expired.push_back(std::move(attempt));
    }
  }
  return expired;
}

size_t AttemptStreams::LiveCount() const {
  size_t count = 0;
  for (const Shard& shard : m_shards) {
    std::scoped_lock lock(shard.mutex);
    count += shard.table->live();
  }
  return count;
}

}  // namespace peridotshelf::side
