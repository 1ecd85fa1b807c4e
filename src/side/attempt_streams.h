/// Forwards the answers of the attempts at one side to the connections of their
/// entries.
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

/// An `ExecutionTable` in shards with one lock each. Sends the chunks and the
/// outcome of each attempt to its entry. Frames of an attempt are sent under
/// its shard's lock, so that resent and new chunks stay in order. Thread-safe.
class AttemptStreams {
 public:
  AttemptStreams(int64_t epoch, const attempts::ExecutionOptions& options);

  void AddConnection(const wire::ChannelPtr& channel);
  /// Removes a closed connection and starts the leases of its attempts.
  void RemoveConnection(const wire::ChannelPtr& channel);

  Result<void> Admit(const wire::ChannelPtr& channel, const AttemptId& attempt,
                     Duration remaining);
  Result<attempts::StartDecision> Start(const AttemptId& attempt,
                                        int64_t epoch);
  Result<attempts::StartDecision> AdmitAndStart(const wire::ChannelPtr& channel,
                                                const AttemptId& attempt,
                                                Duration remaining);
  /// Stores a chunk and sends it to the entry, if it is the next one.
  void Append(const AttemptId& attempt, int64_t offset,
              const std::string& data);
  /// Ends the attempt and sends its outcome to the entry.
  void Finish(const AttemptId& attempt,
              const Result<attempts::Completion>& outcome);
  /// Sends the chunks from the requested offset on. The caller must act on
  /// `ask_engine` and `release_allocation` of the reply.
  attempts::ResumeReply Resume(const wire::ChannelPtr& channel,
                               const wire::Resume& resume,
                               bool same_incarnation);
  /// Ends the attempt and sends Failed on `channel`, unless that is null.
  attempts::CancelReply Cancel(const wire::ChannelPtr& channel,
                               const AttemptId& attempt, ErrorCode code,
                               bool same_incarnation = true);
  /// Sends a frame to the attempt's entry, if it is connected.
  void Send(const AttemptId& attempt, const wire::Frame& frame);
  /// Adds the attempts that the engine still runs after a restart of the side.
  void Recover(std::span<const AttemptId> running);
  /// Ends attempts whose entry has been disconnected for longer than the
  /// lease.
  std::vector<attempts::ExpiredAttempt> Tick();

  int64_t epoch() const { return m_epoch; }
  size_t LiveCount() const;

 private:
  static constexpr size_t kShards = 16;
  struct Shard {
    mutable std::mutex mutex;
    std::unique_ptr<attempts::ExecutionTable> table;
  };

  Shard& FindShard(const AttemptId& attempt);
  attempts::ConnectionId FindConnectionId(
      const wire::ChannelPtr& channel) const;
  wire::ChannelPtr FindChannel(
      std::optional<attempts::ConnectionId> connection) const;

  const int64_t m_epoch;
  std::array<Shard, kShards> m_shards;
  mutable std::mutex m_channels_mutex;
  attempts::ConnectionId m_next_connection = 1;
  std::unordered_map<attempts::ConnectionId, wire::ChannelPtr> m_channels;
  std::unordered_map<const wire::Channel*, attempts::ConnectionId>
      m_connection_ids;
};

/// Sends a Failed frame for the attempt.
void SendFailed(wire::Channel& channel, const AttemptId& attempt,
                const Error& error);

}  // namespace peridotshelf::side
