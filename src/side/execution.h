/// Execution of attempts at the engines of one side.
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
  /// Whether the engine has reported the attempts that it ran when this process
  /// started.
  std::atomic<bool> recovered{false};
};
using EnginePtr = std::shared_ptr<Engine>;

/// An attempt that is queued, reserved or running at an engine, with its own
/// lock.
struct Execution {
  std::mutex mutex;
  AttemptId attempt;
  EnginePtr engine;
  backend::EngineRun run;
  int64_t epoch = 0;
  /// Offset of the next chunk.
  int64_t next_offset = 0;
  /// Number of times that the engine's stream broke since the last chunk.
  int32_t consecutive_breaks = 0;
};
using ExecutionPtr = std::shared_ptr<Execution>;

/// Runs attempts at engines, from the reservation to the outcome. Thread-safe.
class Executions : public std::enable_shared_from_this<Executions> {
 public:
  Executions(io::IoThreads& threads, std::shared_ptr<AttemptStreams> streams)
      : m_threads(threads), m_streams(std::move(streams)) {}

  /// Adopts the attempts that the engine still runs. Until the engine has
  /// listed them, every Reserve is refused.
  void Recover(const EnginePtr& engine);
  /// Reserves memory and a slot at `engine` and replies on `channel`.
  void Reserve(const EnginePtr& engine, const wire::ChannelPtr& channel,
               const wire::Reserve& reserve);
  void Start(const wire::ChannelPtr& channel, const wire::Start& start);
  void AddPayload(const wire::ChannelPtr& channel,
                  const wire::PayloadPart& part);
  /// Releases the allocation of an attempt that has ended in the execution
  /// table; cancels it at the engine first if it may be running there.
  void Release(const AttemptId& attempt, bool cancel_at_engine);
  /// Sends the decisions of the engine's admission since the last call, and
  /// cancels expired attempts. While `leaving`, queued requests are refused.
  void TickEngine(const EnginePtr& engine, bool leaving);
  /// Assigns the attempt's allocation to `owner`, the entry that resumed it.
  void Claim(const AttemptId& attempt, const ProcessId& owner);
  /// Resumes the engine's stream of an attempt that was started by an earlier
  /// incarnation of the side.
  void ResumeAtEngine(const AttemptId& attempt, int64_t from_offset);
  /// Number of attempts that are queued, reserved or running.
  size_t CountRunning() const { return m_executions.Size(); }

 private:
  void AdoptStreams(const EnginePtr& engine,
                    const std::vector<backend::EngineStream>& streams);
  void ApplyTick(const EnginePtr& engine, const AdmissionTick& tick);
  void Run(const wire::ChannelPtr& channel, const ExecutionPtr& execution);
  backend::EngineCallbacks MakeCallbacks(const ExecutionPtr& execution);
  void OnDone(const ExecutionPtr& execution,
              const Result<backend::EngineUsage>& usage);
  bool ResumeBrokenStream(const ExecutionPtr& execution, const Error& error);
  void CancelAtEngine(const ExecutionPtr& execution);
  void ReleaseAllocation(const ExecutionPtr& execution);

  io::IoThreads& m_threads;
  std::shared_ptr<AttemptStreams> m_streams;
  ShardedMap<AttemptId, ExecutionPtr> m_executions;
};

}  // namespace peridotshelf::side
