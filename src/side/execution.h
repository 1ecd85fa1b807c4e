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
#include "side/attempt_streams.h"

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
  /// Whether what the engine ran before this process is known.
  std::atomic<bool> recovered{false};
};
using EnginePtr = std::shared_ptr<Engine>;

/// One attempt that holds something at an engine, under its own lock.
struct Execution {
  std::mutex mutex;
  AttemptId attempt;
  EnginePtr engine;
  backend::EngineRun run;
  int64_t epoch = 0;
  /// The next chunk's offset.
  int64_t next_offset = 0;
  /// Times in a row that the engine's stream broke without a chunk between.
  int32_t broken = 0;
};
using ExecutionPtr = std::shared_ptr<Execution>;

/// Takes an attempt through reservation, start, chunks and end. Thread-safe.
class Executions : public std::enable_shared_from_this<Executions> {
 public:
  Executions(io::IoThreads& threads, std::shared_ptr<AttemptStreams> streams)
      : m_threads(threads), m_streams(std::move(streams)) {}

  /// Asks the engine what it runs; until it answers, nothing is reserved.
  void Recover(const EnginePtr& engine);
  /// Reserves at `engine` and answers on `channel`.
  void Reserve(const EnginePtr& engine, const wire::ChannelPtr& channel,
               const wire::Reserve& reserve);
  void Start(const wire::ChannelPtr& channel, const wire::Start& start);
  void AddPayload(const wire::ChannelPtr& channel,
                  const wire::PayloadPart& part);
  /// The table has ended the attempt: frees what it holds, at the engine too
  /// if it may run there.
  void Release(const AttemptId& attempt, bool cancel_at_engine);
  /// Sends what the engine's admission decided since the last call and ends
  /// what has lapsed. While `leaving`, all that waits is refused.
  void TickEngine(const EnginePtr& engine, bool leaving);
  /// An entry resumed the attempt: its hold is that entry's.
  void Claim(const AttemptId& attempt, const ProcessId& owner);
  /// Asks the engine again for an attempt that it ran before this process.
  void AskEngine(const AttemptId& attempt, int64_t from_offset);
  /// Attempts that hold memory.
  size_t RunningCount() const { return m_executions.Size(); }

 private:
  void AdoptStreams(const EnginePtr& engine,
                    const std::vector<backend::EngineStream>& streams);
  void Deliver(const EnginePtr& engine, const AdmissionTick& tick);
  void Run(const wire::ChannelPtr& channel, const ExecutionPtr& execution);
  backend::EngineCallbacks CallbacksOf(const ExecutionPtr& execution);
  void OnDone(const ExecutionPtr& execution,
              const Result<backend::EngineUsage>& usage);
  bool ResumeBroken(const ExecutionPtr& execution, const Error& error);
  void EngineCancellation(const ExecutionPtr& execution);
  void Free(const ExecutionPtr& execution);

  io::IoThreads& m_threads;
  std::shared_ptr<AttemptStreams> m_streams;
  ShardedMap<AttemptId, ExecutionPtr> m_executions;
};

}  // namespace peridotshelf::side
