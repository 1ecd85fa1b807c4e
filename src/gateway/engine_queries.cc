#include "engine_queries.h"

#include <utility>

#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(1);
/// A few round trips between failure domains.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
constexpr size_t kMaxAnswerBytes = size_t{64} * 1024;

}  // namespace

std::string_view ToString(AnswerEnd end) {
  switch (end) {
    case AnswerEnd::kSameStart:
      return "same_start";
    case AnswerEnd::kSameConnection:
      return "same_connection";
    case AnswerEnd::kOtherProcess:
      return "other_process";
    case AnswerEnd::kUnproved:
      return "unproved";
    case AnswerEnd::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

AnswerEnd JudgeAnswerEnd(const EngineProcess& process, TimePoint sent_at,
                         const std::optional<QueryAnswer>& answer,
                         const QueriedEngine& known) {
  if (!answer) return AnswerEnd::kNoAnswer;
  const EngineIdentity& identity = answer->identity;
  if (identity.is_other_engine) return AnswerEnd::kOtherProcess;
  if (answer->is_reused && answer->connection == known.connection &&
      known.connection_since < sent_at) {
    return AnswerEnd::kSameConnection;
  }
  if (!identity.started_unix_ms) return AnswerEnd::kUnproved;
  // The registration may be older than the process that got the request.
  const bool was_known = known.started_unix_ms && known.start_since < sent_at;
  const int64_t expected =
      was_known ? *known.started_unix_ms : process.started_unix_ms;
  if (expected == 0) return AnswerEnd::kUnproved;
  return *identity.started_unix_ms == expected ? AnswerEnd::kSameStart
                                               : AnswerEnd::kOtherProcess;
}

void EngineQueries::Ask(const EngineProcess& process, OnAnswer on_answer) {
  Engine& engine = m_state->engines[process.engine_key];
  engine.next.push_back(std::move(on_answer));
  if (!engine.is_asked) Send(m_state, process);
}

QueriedEngine EngineQueries::Find(const std::string& engine_key) const {
  const auto found = m_state->engines.find(engine_key);
  return found == m_state->engines.end() ? QueriedEngine{}
                                         : found->second.known;
}

void EngineQueries::Forget(
    const std::function<bool(const std::string& key)>& is_gone) {
  std::erase_if(m_state->engines, [&is_gone](const auto& item) {
    return !item.second.is_asked && is_gone(item.first);
  });
}

void EngineQueries::Send(const StatePtr& state, const EngineProcess& process) {
  Engine& engine = state->engines.at(process.engine_key);
  engine.is_asked = true;
  engine.current = std::exchange(engine.next, {});
  http::ClientRequest request =
      state->codec.write_identity_query(process.address, process.engine_id);
  request.timeout = kTimeout;
  request.connect_timeout = kConnectTimeout;
  request.max_body_bytes = kMaxAnswerBytes;
  state->client.Fetch(
      std::move(request),
      [state, process](const Result<http::ClientResponse>& response) {
        std::optional<QueryAnswer> answer;
        // An error is stated by whatever is in between.
        if (response && response->status < http::kServerError) {
          answer = QueryAnswer{
              state->codec.read_identity(process.engine_id, *response),
              response->connection.local_port, response->connection.is_reused};
        }
        state->threads.Post(
            [state, process, answer] { OnDone(state, process, answer); });
      });
}

void EngineQueries::OnDone(const StatePtr& state, const EngineProcess& process,
                           const std::optional<QueryAnswer>& answer) {
  Engine& engine = state->engines.at(process.engine_key);
  const QueriedEngine known = engine.known;
  Note(engine, answer);
  const auto waiting = std::exchange(engine.current, {});
  for (const OnAnswer& on_answer : waiting) on_answer(answer, known);
  Engine& asked = state->engines.at(process.engine_key);
  asked.is_asked = false;
  if (!asked.next.empty()) Send(state, process);
}

void EngineQueries::Note(Engine& engine,
                         const std::optional<QueryAnswer>& answer) {
  QueriedEngine& known = engine.known;
  if (!answer || answer->identity.is_other_engine) {
    known = {};
    return;
  }
  const TimePoint now = SteadyClock().Now();
  if (!answer->is_reused || answer->connection != known.connection) {
    known.connection = answer->connection;
    known.connection_since = now;
  }
  known.answered_at = now;
  if (answer->identity.started_unix_ms != known.started_unix_ms) {
    known.started_unix_ms = answer->identity.started_unix_ms;
    known.start_since = now;
  }
}

}  // namespace peridotshelf::gateway
