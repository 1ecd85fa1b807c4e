/// What a side asks of its backend servers. The engine's wire format stands in
/// engine_client.cc.
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

/// What an engine is to run.
struct EngineRun {
  AttemptId attempt;
  /// The side's incarnation; an engine refuses one older than it has seen.
  int64_t epoch = 0;
  std::string model;
  /// The JSON value of the prompt: a string or an array of token numbers.
  std::string prompt_json;
  int64_t max_tokens = 0;
  int32_t priority = 0;
};

/// One generated piece of text; offsets count from 0 without gaps.
struct EngineChunk {
  int64_t offset = 0;
  std::string text;
};

/// What the engine counted, known at the end.
struct EngineUsage {
  int64_t chunks = 0;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
};

/// Progress of one attempt, called in order and never at once.
struct EngineCallbacks {
  std::function<void(EngineChunk)> on_chunk;
  /// The whole answer was sent, or why not. `not_run` only if the engine
  /// cannot have begun.
  std::function<void(Result<EngineUsage>)> on_done;
};

/// An attempt that the engine still holds memory for.
struct EngineStream {
  AttemptId attempt;
  int64_t epoch = 0;
  int64_t memory_tokens = 0;
  int64_t chunks = 0;
  bool finished = false;
};

/// The engine's own, lagging account.
struct EngineReport {
  int64_t memory_tokens = 0;
  int64_t used_tokens = 0;
  int32_t slots = 0;
  int32_t used_slots = 0;
};

/// One engine as its side sees it.
template <class B>
concept BackendClient = requires(
    B& engine, EngineRun run, AttemptId attempt, int64_t from_offset,
    EngineCallbacks callbacks, std::function<void(Result<void>)> on_cancelled,
    std::function<void(Result<std::vector<EngineStream>>)> on_streams,
    std::function<void(Result<EngineReport>)> on_report) {
  engine.Run(run, callbacks);
  // Chunks of a running or finished attempt from an offset on.
  engine.Resume(attempt, from_offset, callbacks);
  // Ends the attempt and frees its memory; unknown attempts succeed.
  engine.Cancel(attempt, on_cancelled);
  engine.ListStreams(on_streams);
  engine.Report(on_report);
};

}  // namespace peridotshelf::backend
