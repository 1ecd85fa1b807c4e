/// The attempts at one side joined to the connections that receive them.
#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotshelf/attempts/execution_table.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::side {

/// An `ExecutionTable` in shards, each under its own lock, that sends what
/// becomes of attempts to their entries. Frames of one attempt are sent under
/// its shard's lock, so repeated and new chunks do not overtake each other.
/// Thread-safe.
class AttemptStreams {
 public:
  AttemptStreams(int64_t epoch, const attempts::ExecutionOptions& options);

  /// A connection opened.
  void Opened(const wire::ChannelPtr& channel);
  /// A connection ended: its attempts' leases begin to run.
  void Closed(const wire::ChannelPtr& channel);

  Result<void> Admit(const wire::ChannelPtr& channel, const AttemptId& attempt,
                     Duration remaining);
  Result<attempts::StartDecision> Start(const AttemptId& attempt,
                                        int64_t epoch);
  Result<attempts::StartDecision> AdmitAndStart(const wire::ChannelPtr& channel,
                                                const AttemptId& attempt,
                                                Duration remaining);
  /// Keeps a chunk and sends it, if it is the next one.
  void Append(const AttemptId& attempt, int64_t offset,
              const std::string& data);
  /// Ends the attempt and tells its entry.
  void Finish(const AttemptId& attempt,
              const Result<attempts::Completion>& end);
  /// Sends what the entry lacks. The caller sees to the rest of the reply.
  attempts::ResumeReply Resume(const wire::ChannelPtr& channel,
                               const wire::Resume& resume,
                               bool same_incarnation);
  /// Ends the attempt; `channel`, if not null, is told.
  attempts::CancelReply Cancel(const wire::ChannelPtr& channel,
                               const AttemptId& attempt, ErrorCode code,
                               bool same_incarnation = true);
  /// Sends a frame to the entry that receives the attempt, if it is connected.
  void Send(const AttemptId& attempt, const wire::Frame& frame);
  /// Attempts that the engine ran when this process started.
  void Recover(std::span<const AttemptId> running);
  /// Ends attempts whose entry is gone for longer than the lease.
  std::vector<attempts::ExpiredAttempt> Tick();

  int64_t epoch() const { return m_epoch; }
  size_t LiveCount() const;

 private:
  static constexpr size_t kShards = 16;
  struct Shard {
    mutable std::mutex mutex;
    std::unique_ptr<attempts::ExecutionTable> table;
  };

  Shard& ShardOf(const AttemptId& attempt);
  attempts::ConnectionId IdOf(const wire::ChannelPtr& channel) const;
  wire::ChannelPtr ChannelOf(
      std::optional<attempts::ConnectionId> connection) const;

  const int64_t m_epoch;
  std::array<Shard, kShards> m_shards;
  mutable std::mutex m_channels_mutex;
  attempts::ConnectionId m_next_connection = 1;
  std::unordered_map<attempts::ConnectionId, wire::ChannelPtr> m_channels;
  std::unordered_map<const wire::Channel*, attempts::ConnectionId> m_ids;
};

/// Sends `Failed` for an attempt.
void SendFailed(wire::Channel& channel, const AttemptId& attempt,
                const Error& error);

}  // namespace peridotshelf::side
