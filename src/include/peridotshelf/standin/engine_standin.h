/// A stand-in for a model engine: batches streams, holds memory for each, and
/// answers with text derived from the prompt, so that a crossed answer shows.
#pragma once

#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/history/recorder.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::standin {

/// How large and how fast the engine is.
struct EngineStandinOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string model = "model";
  int64_t memory_tokens = 400000;
  int32_t slots = 64;
  /// Prefill time per prompt token.
  Duration prefill_per_token = std::chrono::nanoseconds(0);
  /// Extra prefill time per token squared, in nanoseconds.
  double prefill_quadratic_ns = 0;
  /// Time between generated tokens.
  Duration token_interval = std::chrono::nanoseconds(0);
  /// Whether orders and runs with an older epoch are refused.
  bool checks_fencing = true;
  /// The engine's name in the history.
  std::string name = "engine";
  /// Takes what the engine runs and holds; null for none.
  std::shared_ptr<history::Recorder> recorder;
};

/// The text that an engine generates as chunk `index` for a prompt (the JSON
/// value as the caller sent it, a string or an array of token numbers).
std::string AnswerText(uint64_t prompt_hash, int64_t index);

/// The hash of a prompt's content: of a string's bytes, or of an array's
/// numbers in decimal joined by commas.
Result<uint64_t> HashPrompt(std::string_view prompt_json);

/// Serves the engine's protocol on one port until destroyed.
///
///   POST   /v1/engine/runs              start; answers with JSON lines
///   GET    /v1/engine/runs              attempts held
///   GET    /v1/engine/runs/ATTEMPT      resume (?from=OFFSET)
///   DELETE /v1/engine/runs/ATTEMPT      cancel
///   GET    /v1/engine/report            load
///   GET    /executions                  every attempt ever started, for tests
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
