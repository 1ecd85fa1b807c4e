/// The interface between a side and an engine. engine_client.cc implements the
/// engine's wire format.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::backend {

/// One attempt for an engine to run.
struct EngineRun {
  AttemptId attempt;
  /// The side's incarnation; an engine refuses an epoch older than the newest
  /// it has received.
  int64_t epoch = 0;
  std::string model;
  /// The JSON value of the prompt: a string or an array of token IDs.
  std::string prompt_json;
  int64_t max_tokens = 0;
  int32_t priority = 0;
};

/// One chunk of generated text; the offsets of a stream count up from 0 without
/// gaps.
struct EngineChunk {
  int64_t offset = 0;
  std::string text;
};

/// The counts that an engine reports at the end of a stream.
struct EngineUsage {
  int64_t chunks = 0;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
};

/// Callbacks for the progress of one attempt, called in order and never
/// concurrently.
struct EngineCallbacks {
  std::function<void(EngineChunk)> on_chunk;
  /// Called last, with the usage of a complete answer or with an error, whose
  /// `not_run` is set only if the engine cannot have started the attempt.
  std::function<void(Result<EngineUsage>)> on_done;
};

/// An attempt for which the engine still holds KV-cache memory.
struct EngineStream {
  AttemptId attempt;
  int64_t epoch = 0;
  int64_t memory_tokens = 0;
  int64_t chunks = 0;
  bool finished = false;
};

/// The load that the engine reports, which lags behind its actual load.
struct EngineReport {
  int64_t memory_tokens = 0;
  int64_t used_tokens = 0;
  int32_t slots = 0;
  int32_t used_slots = 0;
};

/// A side's client of one engine.
template <class B>
concept BackendClient = requires(
    B& engine, EngineRun run, AttemptId attempt, int64_t from_offset,
    EngineCallbacks callbacks, std::function<void(Result<void>)> on_cancelled,
    std::function<void(Result<std::vector<EngineStream>>)> on_streams,
    std::function<void(Result<EngineReport>)> on_report) {
  engine.Run(run, callbacks);
  // Streams the chunks of a running or finished attempt from an offset onwards.
  engine.Resume(attempt, from_offset, callbacks);
  // Cancels the attempt and frees its memory; succeeds for unknown attempts.
  engine.Cancel(attempt, on_cancelled);
  engine.ListStreams(on_streams);
  engine.Report(on_report);
};

}  // namespace peridotshelf::backend
