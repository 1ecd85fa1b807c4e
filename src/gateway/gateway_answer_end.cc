// Answers that end with their connection. The system ends the connections of a
// process that crashes like those of a process that has finished, so such an
// answer is whole only if the process that began it runs on after its end.
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;

/// How long a service counts as one that sends answers without length.
constexpr Duration kWithoutLengthMemory = std::chrono::minutes(10);
/// The connection for queries is used again after this long, since engines
/// close idle connections.
constexpr Duration kQueryInterval = std::chrono::seconds(1);
/// How long a request waits for the answer to a query before it is sent.
constexpr Duration kMaxWaitForQuery = std::chrono::milliseconds(350);
/// Registrations that were read longer ago may be older than the process.
constexpr Duration kMaxRegistrationAge = std::chrono::seconds(3);

}  // namespace

void Gateway::Impl::NoteFraming(const LiveRequest& live,
                                const AnswerHead& head) {
  TimePoint& last = last_without_length.try_emplace(live.service).first->second;
  if (head.ends_with_connection) last = SteadyClock().Now();
}

bool Gateway::Impl::MayHaveNoLength(const LiveRequest& live,
                                    TimePoint now) const {
  const auto found = last_without_length.find(live.service);
  // Of the first calls of a process nothing is known yet. Streams come from
  // engines that state their start, mostly, and would cost more queries.
  if (found == last_without_length.end()) return !live.IsStream();
  return found->second != TimePoint{} &&
         now - found->second <= kWithoutLengthMemory;
}

bool Gateway::Impl::HasToAskFirst(const LiveRequest& live) const {
  const TimePoint now = SteadyClock().Now();
  if (!MayHaveNoLength(live, now)) return false;
  const QueriedEngine known = engine_queries.Find(live.attempt->engine_key);
  // The start of the process will show as much as a connection.
  if (known.started_unix_ms) return false;
  return known.connection == 0 || now - known.answered_at > kQueryInterval;
}

void Gateway::Impl::AskThenSend(const LiveRequestPtr& live) {
  const auto send = [self = shared_from_this(), weak = std::weak_ptr(live),
                     number = live->attempt->number] {
    const auto held = weak.lock();
    if (!held || !held->Select(number)) return;
    if (!std::exchange(held->attempt->is_asking, false)) return;
    if (self->AreEnginesReady(*held)) {
      self->SendNow(held);
      return;
    }
    self->Fail(held, FailureCause::kEngineLeft,
               "an engine started to leave, asked for a pause or was evacuated "
               "while it was asked which process answers");
  };
  live->attempt->is_asking = true;
  engine_queries.Ask(
      ProcessOf(*live->attempt),
      [send](const auto& /*answer*/, const auto& /*known*/) { send(); });
  threads.RunAfter(kMaxWaitForQuery, send);
}

void Gateway::Impl::KeepQueryConnections(TimePoint now) {
  for (const auto& [number, live] : live_requests) {
    if (!live->attempt || !live->attempt->call || !live->attempt->head ||
        !live->attempt->head->ends_with_connection) {
      continue;
    }
    const EngineProcess process = ProcessOf(*live->attempt);
    const QueriedEngine known = engine_queries.Find(process.engine_key);
    if (known.started_unix_ms || now - known.answered_at < kQueryInterval) {
      continue;
    }
    engine_queries.Ask(process, [](const auto&, const auto&) {});
  }
}

void Gateway::Impl::CheckAnswerEnd(const LiveRequestPtr& live) {
  live->attempt->is_confirming = true;
  engine_queries.Ask(
      ProcessOf(*live->attempt),
      [self = shared_from_this(), weak = std::weak_ptr(live),
       number = live->attempt->number](const std::optional<QueryAnswer>& answer,
                                       const QueriedEngine& known) {
        const auto held = weak.lock();
        if (!held || !held->Select(number)) return;
        self->DecideAnswerEnd(
            held, JudgeAnswerEnd(ProcessOf(*held->attempt),
                                 held->attempt->sent_at, answer, known));
      });
}

void Gateway::Impl::DecideAnswerEnd(const LiveRequestPtr& live, AnswerEnd end) {
  NoteAnswerEnd(*live, end);
  live->attempt->is_confirming = false;
  if (end == AnswerEnd::kSameStart || end == AnswerEnd::kSameConnection) {
    FinishAnswer(live);
    return;
  }
  ProbeAfterBreak(*live, HasCrashed(ProcessOf(*live->attempt), end)
                             ? std::optional(ProbeVerdict::kReplaced)
                             : std::nullopt);
  Fail(live, FailureCause::kBroken,
       "the process that began an answer without length is not known to have "
       "ended it");
}

bool Gateway::Impl::HasCrashed(const EngineProcess& process,
                               AnswerEnd end) const {
  // With old registrations the engine may have started again before the request
  // was sent, and the request has nothing to do with its end.
  return end == AnswerEnd::kOtherProcess &&
         engines.Contains(process.engine_key) &&
         engines.ComputeAge(SteadyClock().Now()) < kMaxRegistrationAge;
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
