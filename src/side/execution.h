/// The attempts that run at one side's engines.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "peridotshelf/backend/engine_client.h"
#include "peridotshelf/base/sharded_map.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/wire/channel.h"
#include "side/admission.h"

namespace peridotshelf::side {

/// One engine with its admission and client.
struct Engine {
  Engine(const control::EngineConfig& engine_config, http::Client& http_client,
         int64_t epoch, Duration lease)
      : config(engine_config),
        admission(engine_config, epoch, lease),
        client(http_client, engine_config.url) {}
  control::EngineConfig config;
  Admission admission;
  backend::EngineClient client;
};
using EnginePtr = std::shared_ptr<Engine>;

/// One attempt from its reservation to its end, under its own lock.
struct Execution {
  std::mutex mutex;
  AttemptId attempt;
  EnginePtr engine;
  /// The connection that gets the chunks; null while the entry is away.
  wire::ChannelPtr channel;
  backend::EngineRun run;
  bool started = false;
  bool ended = false;
  /// Chunks kept for an entry that connects again.
  std::vector<std::string> chunks;
};
using ExecutionPtr = std::shared_ptr<Execution>;

/// Takes an attempt through reservation, start, chunks and end. Thread-safe.
class Executions : public std::enable_shared_from_this<Executions> {
 public:
  Executions(io::IoThreads& threads, Duration lease, int64_t epoch)
      : m_threads(threads), m_lease(lease), m_epoch(epoch) {}

  /// Reserves at `engine` and answers on `channel`.
  void Reserve(const EnginePtr& engine, const wire::ChannelPtr& channel,
               const wire::Reserve& reserve);
  void Start(const wire::ChannelPtr& channel, const wire::Start& start);
  void AddPayload(const wire::ChannelPtr& channel,
                  const wire::PayloadPart& part);
  void Cancel(const wire::ChannelPtr& channel, const wire::Cancel& cancel);
  void Resume(const wire::ChannelPtr& channel, const wire::Resume& resume);
  /// Sends what the engine's admission decided since the last call and ends
  /// what has lapsed. While `leaving`, all that waits is refused.
  void TickEngine(const EnginePtr& engine, bool leaving);
  int64_t epoch() const { return m_epoch; }
  Duration lease() const { return m_lease; }
  /// The connection ended: its attempts have a lease time to be resumed.
  void Detach(const wire::ChannelPtr& channel);
  /// Attempts that hold memory.
  size_t RunningCount() const { return m_executions.Size(); }

 private:
  void RunAtEngine(const ExecutionPtr& execution);
  void OnChunk(const ExecutionPtr& execution, backend::EngineChunk chunk);
  void OnDone(const ExecutionPtr& execution,
              const Result<backend::EngineUsage>& usage);
  void End(const ExecutionPtr& execution);
  void CancelUnclaimed(const ExecutionPtr& execution);
  void Deliver(const EnginePtr& engine, const AdmissionTick& tick);

  io::IoThreads& m_threads;
  Duration m_lease;
  int64_t m_epoch;
  ShardedMap<AttemptId, ExecutionPtr> m_executions;
};

/// Sends `Failed` for an attempt.
void SendFailed(wire::Channel& channel, const wire::Attempt& attempt,
                const Error& error);

}  // namespace peridotshelf::side
