#include "side/service_calls.h"

#include <utility>

#include "peridotshelf/events/log.h"
#include "peridotshelf/wire/codec.h"

namespace peridotshelf::side {
namespace {

http::ClientRequest ToRequest(const std::string& base_url,
                              wire::ServiceCall& call) {
  http::ClientRequest request;
  request.method = call.method;
  request.url = base_url + call.target;
  request.timeout = std::chrono::milliseconds(call.remaining_ms);
  request.body = std::move(call.payload);
  // On a kept connection that was closed meanwhile the library would send the
  // call a second time.
  request.fresh_connection = call.unrepeatable;
  if (!call.content_type.empty()) {
    request.headers.push_back({"Content-Type", call.content_type});
  }
  if (!call.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", call.idempotency_key});
  }
  return request;
}

attempts::StoredAnswer ToAnswer(const http::ClientResponse& response) {
  attempts::StoredAnswer answer;
  std::string_view rest = response.body;
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, wire::kPayloadPartBytes);
    rest.remove_prefix(part.size());
    answer.chunks.emplace_back(part);
  }
  answer.completion.chunks = static_cast<int64_t>(answer.chunks.size());
  answer.completion.http_status = response.status;
  answer.completion.content_type = response.content_type;
  return answer;
}

}  // namespace

void ServiceCalls::Start(const control::ControlState& state,
                         const std::string& base_url,
                         const wire::ChannelPtr& channel,
                         wire::ServiceCall call) {
  const AttemptId attempt = wire::FromWire(call.attempt);
  const auto verdict = m_streams->AdmitAndStart(
      channel, attempt, std::chrono::milliseconds(call.remaining_ms));
  if (!verdict) {
    SendFailed(*channel, attempt, verdict.error());
    return;
  }
  if (*verdict == attempts::StartDecision::kDuplicate) return;
  std::string once_key;
  if (call.unrepeatable && !call.idempotency_key.empty()) {
    const attempts::ClaimResult once = m_keeper->Claim(state, call, once_key);
    if (!once) {
      m_streams->Finish(attempt, tl::unexpected<Error>(once.error()));
      return;
    }
    if (*once) {
      Replay(attempt, **once);
      return;
    }
  }
  events::Log(events::EventId::kAttemptStarted,
              {{"attempt", attempt.ToString()}, {"backend", call.backend}});
  const bool unrepeatable = call.unrepeatable;
  // Entered before the call starts, since the answer may come at once.
  m_running.Insert(attempt, Running{0, true});
  const http::Client::CallId id =
      m_client.Fetch(ToRequest(base_url, call),
                     [self = shared_from_this(), attempt,
                      once_key](const Result<http::ClientResponse>& response) {
                       self->OnAnswer(attempt, once_key, response);
                     });
  if (!unrepeatable && m_running.Take(attempt)) {
    m_running.Insert(attempt, Running{id, false});
  }
}

void ServiceCalls::OnAnswer(const AttemptId& attempt,
                            const std::string& once_key,
                            const Result<http::ClientResponse>& response) {
  m_running.Take(attempt);
  events::Log(
      events::EventId::kAttemptFinished,
      {{"attempt", attempt.ToString()}, {"whole", response.has_value()}});
  if (response) {
    attempts::StoredAnswer answer = ToAnswer(*response);
    Replay(attempt, answer);
    if (!once_key.empty()) m_keeper->Finish(once_key, std::move(answer));
    return;
  }
  Error error = response.error();
  if (!once_key.empty() && error.not_run) m_keeper->Release(once_key, attempt);
  if (!once_key.empty() && !error.not_run) m_keeper->MarkUnknown(once_key);
  error.code = ErrorCode::kBackendFailed;
  m_streams->Finish(attempt, tl::unexpected<Error>(error));
}

void ServiceCalls::Replay(const AttemptId& attempt,
                          const attempts::StoredAnswer& answer) {
  int64_t offset = 0;
  for (const std::string& chunk : answer.chunks) {
    m_streams->Append(attempt, offset++, chunk);
  }
  m_streams->Finish(attempt, answer.completion);
}

void ServiceCalls::Abandon(const AttemptId& attempt) {
  const auto running = m_running.Find(attempt);
  if (!running || running->unrepeatable) return;
  m_client.Cancel(running->call);
  m_running.Take(attempt);
}

}  // namespace peridotshelf::side
