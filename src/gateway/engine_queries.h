/// Asks engines which process answers at their address.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "live_request.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::gateway {

/// The process of an engine to which an attempt is sent.
struct EngineProcess {
  std::string engine_key;
  std::string engine_id;
  std::string address;
  /// Start that its registration states, as Unix time in ms; 0 if none.
  int64_t started_unix_ms = 0;
};

inline EngineProcess ProcessOf(const Attempt& attempt) {
  return {attempt.engine_key, attempt.engine_id, attempt.address,
          attempt.engine_started_unix_ms};
}

/// What the answers of one engine have shown.
struct QueriedEngine {
  /// Local port of the connection on which it answered; 0 if none is kept.
  uint16_t connection = 0;
  /// When it first answered on that connection, and when last.
  TimePoint connection_since{};
  TimePoint answered_at{};
  /// Start that it states, and since when it does; none if it states none.
  std::optional<int64_t> started_unix_ms;
  TimePoint start_since{};
};

/// The answer to a query.
struct QueryAnswer {
  EngineIdentity identity;
  /// Local port of the query's connection.
  uint16_t connection = 0;
  /// An earlier query was answered on the same connection.
  bool is_reused = false;
};

/// What is known of the process that began an answer, after the answer's end.
enum class AnswerEnd {
  kSameStart,       ///< It runs: it states the same start.
  kSameConnection,  ///< It runs: it answers on a connection from before.
  kOtherProcess,    ///< Another one answers at the address.
  kUnproved,        ///< The engine's id fits, which a restart does not change.
  kNoAnswer,        ///< Nothing answers at the address in time.
};

/// Returns the name of the finding in logs and metrics.
std::string_view ToString(AnswerEnd end);

/// Returns what `answer`, to a query sent after an answer of `process` had
/// ended, shows of the process that received its request at `sent_at`. `known`
/// is what was known of the engine before.
AnswerEnd JudgeAnswerEnd(const EngineProcess& process, TimePoint sent_at,
                         const std::optional<QueryAnswer>& answer,
                         const QueriedEngine& known);

/// Sends queries, one at a time to each engine, on a connection that is kept.
/// An answer on a kept connection comes from the process that answered on it
/// before. Used on the thread of `threads`.
class EngineQueries {
 public:
  /// Receives the answer, if one came in time, and what was known before.
  using OnAnswer = std::function<void(const std::optional<QueryAnswer>& answer,
                                      const QueriedEngine& known)>;

  EngineQueries(io::IoThreads& threads, http::Client& client,
                const MessageCodec& codec)
      : m_state(std::make_shared<State>(State{threads, client, codec, {}})) {}

  /// Asks the engine. The query is sent after this call.
  void Ask(const EngineProcess& process, OnAnswer on_answer);
  /// Returns what the answers of the engine have shown so far.
  QueriedEngine Find(const std::string& engine_key) const;
  /// Forgets the engines of which `is_gone` returns true and that are not being
  /// asked.
  void Forget(const std::function<bool(const std::string& key)>& is_gone);

 private:
  struct Engine {
    QueriedEngine known;
    bool is_asked = false;
    /// Those that wait for the query under way, and for the next one.
    std::vector<OnAnswer> current;
    std::vector<OnAnswer> next;
  };
  struct State {
    io::IoThreads& threads;
    http::Client& client;
    const MessageCodec& codec;
    /// By engine key.
    std::unordered_map<std::string, Engine> engines;
  };
  using StatePtr = std::shared_ptr<State>;

  static void Send(const StatePtr& state, const EngineProcess& process);
  static void OnDone(const StatePtr& state, const EngineProcess& process,
                     const std::optional<QueryAnswer>& answer);
  static void Note(Engine& engine, const std::optional<QueryAnswer>& answer);

  StatePtr m_state;
};

}  // namespace peridotshelf::gateway
