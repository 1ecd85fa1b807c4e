/// A simulated model engine. It runs several streams at once, reserves memory
/// for each, and generates text derived from the prompt, so that tests detect
/// an answer that belongs to another request.
#pragma once

#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/history/recorder.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::standin {

/// Address, capacity and speed of the simulated engine.
struct EngineStandinOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string model = "model";
  int64_t memory_tokens = 400000;
  int32_t slots = 64;
  /// Prefill time per prompt token.
  Duration prefill_per_token = std::chrono::nanoseconds(0);
  /// Coefficient of the quadratic part of the prefill time, in nanoseconds per
  /// squared prompt token.
  double prefill_quadratic_ns = 0;
  /// Time between generated tokens.
  Duration token_interval = std::chrono::nanoseconds(0);
  /// Whether run requests with an epoch older than the newest one are refused.
  bool checks_fencing = true;
  /// The engine's name in the history.
  std::string name = "engine";
  /// Records the executions and the memory in use; may be null.
  std::shared_ptr<history::Recorder> recorder;
};

/// Returns the text that an engine generates as chunk `index` for the prompt
/// whose `HashPrompt` is `prompt_hash`.
std::string MakeAnswerChunk(uint64_t prompt_hash, int64_t index);

/// Returns the hash of a prompt, given as the JSON value that the caller sent.
/// Hashes the bytes of a string, or the decimal token IDs of an array, joined
/// by commas.
Result<uint64_t> HashPrompt(std::string_view prompt_json);

/// Serves the engine's protocol on one port until destroyed.
///
///   POST   /v1/engine/runs              start a run; replies with JSON lines
///   GET    /v1/engine/runs              list running and retained attempts
///   GET    /v1/engine/runs/ATTEMPT      resume its stream (?from=OFFSET)
///   DELETE /v1/engine/runs/ATTEMPT      cancel
///   GET    /v1/engine/report            report slots and memory
///   GET    /executions                  list all attempts started, for tests
class EngineStandin {
 public:
  static Result<std::unique_ptr<EngineStandin>> Create(
      io::IoThreads& threads, const EngineStandinOptions& options);
  ~EngineStandin();
  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;

 private:
  struct Impl;
  explicit EngineStandin(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::standin
