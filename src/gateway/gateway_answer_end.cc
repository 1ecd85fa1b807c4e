// Answers that end with their connection. The system ends the connections of a
// process that crashes like those of a process that has finished, so such an
// answer is whole only if the process that began it runs on after its end.
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;

constexpr Duration kQueryTimeout = std::chrono::seconds(1);
/// A few round trips between failure domains.
constexpr Duration kQueryConnectTimeout = std::chrono::milliseconds(350);
constexpr size_t kMaxQueryAnswerBytes = size_t{64} * 1024;
/// How long a service counts as one that sends answers without length.
constexpr Duration kWithoutLengthMemory = std::chrono::minutes(10);

/// An identity query that is under way.
struct IdentityQuery {
  std::string engine_id;
  /// Whether the body, which states the start, is needed.
  bool needs_body = false;
  std::function<void(std::optional<EngineIdentity>)> on_answer;
  std::optional<http::Client::CallId> call;
  http::ClientResponseHead head;
  std::string body;
};

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

void Gateway::Impl::NoteWithoutLength(const LiveRequest& live) {
  without_length[live.service].seen_at = SteadyClock().Now();
}

void Gateway::Impl::OpenIdleConnection(const LiveRequest& live,
                                       Attempt& attempt) {
  const auto found = without_length.find(live.service);
  if (found == without_length.end()) return;
  if (SteadyClock().Now() - found->second.seen_at > kWithoutLengthMemory) {
    without_length.erase(found);
    return;
  }
  // The start of the process will show as much.
  if (found->second.states_start && attempt.engine_started_unix_ms != 0) return;
  attempt.idle_connection = idle_connections.Open(attempt.address);
}

void Gateway::Impl::QueryEngine(
    const EngineProcess& process,
    std::function<void(std::optional<EngineIdentity>)> on_answer) {
  http::ClientRequest request =
      codec.write_identity_query(process.address, process.engine_id);
  request.timeout = kQueryTimeout;
  request.connect_timeout = kQueryConnectTimeout;
  request.max_body_bytes = kMaxQueryAnswerBytes;
  request.fresh_connection = true;
  auto query = std::make_shared<IdentityQuery>();
  query->engine_id = process.engine_id;
  query->needs_body = process.started_unix_ms != 0;
  query->on_answer = std::move(on_answer);
  const auto answer = [self = shared_from_this(), query](bool has_head) {
    if (!query->on_answer) return;
    std::optional<EngineIdentity> identity;
    if (has_head) {
      identity =
          self->codec.read_identity(query->engine_id, query->head, query->body);
    }
    if (query->call) self->client.Cancel(*query->call);
    std::exchange(query->on_answer, nullptr)(identity);
  };
  // The callbacks run on the client's thread.
  http::ClientCallbacks callbacks;
  callbacks.on_head = [self = shared_from_this(), query,
                       answer](const http::ClientResponseHead& head) {
    self->threads.Post([query, answer, head] {
      query->head = head;
      if (!query->needs_body) answer(true);
    });
  };
  callbacks.on_data = [self = shared_from_this(),
                       query](std::string_view data) {
    self->threads.Post(
        [query, bytes = std::string(data)] { query->body += bytes; });
  };
  callbacks.on_done = [self = shared_from_this(), query,
                       answer](const Result<int>& /*outcome*/) {
    // A head without its body says which engine answers.
    self->threads.Post([query, answer] { answer(query->head.status != 0); });
  };
  query->call = client.Start(std::move(request), std::move(callbacks));
}

void Gateway::Impl::CheckAnswerEnd(const LiveRequestPtr& live) {
  Attempt& attempt = *live->attempt;
  attempt.is_confirming = true;
  AnswerEndCheck& check = answer_end_checks[attempt.engine_key];
  check.next.push_back({live, attempt.number});
  // The query has to be sent after the end of each answer that it decides on.
  if (check.current.empty()) StartAnswerEndCheck(*live);
}

void Gateway::Impl::StartAnswerEndCheck(const LiveRequest& live) {
  const Attempt& attempt = *live.attempt;
  AnswerEndCheck& check = answer_end_checks.at(attempt.engine_key);
  check.current = std::exchange(check.next, {});
  QueryEngine(ProcessOf(attempt),
              [self = shared_from_this(), engine = attempt.engine_key](
                  const std::optional<EngineIdentity>& identity) {
                self->OnAnswerEndQueried(engine, identity);
              });
}

void Gateway::Impl::OnAnswerEndQueried(
    const std::string& engine, const std::optional<EngineIdentity>& identity) {
  const auto decided = std::exchange(answer_end_checks.at(engine).current, {});
  for (const EndedAttempt& ended : decided) {
    const LiveRequestPtr live = ended.request.lock();
    if (!live || !live->Select(ended.attempt)) continue;
    DecideAnswerEnd(live, identity);
  }
  // Answers that ended while the query was under way.
  for (const EndedAttempt& ended : answer_end_checks.at(engine).next) {
    const LiveRequestPtr live = ended.request.lock();
    if (!live || !live->Select(ended.attempt)) continue;
    StartAnswerEndCheck(*live);
    return;
  }
  answer_end_checks.erase(engine);
}

AnswerEnd Gateway::Impl::ProveAnswerEnd(
    const LiveRequest& live,
    const std::optional<EngineIdentity>& identity) const {
  if (!identity) return AnswerEnd::kNoAnswer;
  const EngineProcess process = ProcessOf(*live.attempt);
  if (process.IsReplacedBy(*identity)) return AnswerEnd::kOtherProcess;
  if (process.HasStartOf(*identity)) return AnswerEnd::kSameStart;
  // An id alone proves nothing, as an engine may start again under its id.
  return idle_connections.IsOpen(live.attempt->idle_connection)
             ? AnswerEnd::kSameConnection
             : AnswerEnd::kUnproved;
}

void Gateway::Impl::DecideAnswerEnd(
    const LiveRequestPtr& live, const std::optional<EngineIdentity>& identity) {
  const AnswerEnd end = ProveAnswerEnd(*live, identity);
  NoteAnswerEnd(*live, end);
  if (identity && identity->started_unix_ms) {
    without_length[live->service].states_start = true;
  }
  live->attempt->is_confirming = false;
  if (end == AnswerEnd::kSameStart || end == AnswerEnd::kSameConnection) {
    FinishAnswer(live);
    return;
  }
  ProbeAfterBreak(*live, end == AnswerEnd::kOtherProcess
                             ? std::optional(ProbeVerdict::kReplaced)
                             : std::nullopt);
  Fail(live, FailureCause::kBroken,
       "the process that began an answer without length is not known to have "
       "ended it");
}

void Gateway::Impl::NoteAnswerEnd(const LiveRequest& live, AnswerEnd end) {
  const Attempt& attempt = *live.attempt;
  ended_answers.With(ToString(end)).Add();
  events::Log(
      EventId::kAnswerEndChecked,
      {{"request", live.request.id.value()},
       {"engine", attempt.engine_key},
       {"verdict", std::string(ToString(end))},
       {"status", attempt.head->status},
       {"body_bytes", static_cast<int64_t>(attempt.body.size())},
       {"last_event", live.last_event_number.value_or(-1)},
       {"try_ms", ToMilliseconds(SteadyClock().Now() - attempt.sent_at)}});
}

}  // namespace peridotshelf::gateway
