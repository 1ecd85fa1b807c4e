#include "side/service_calls.h"

#include <utility>

#include "peridotshelf/events/log.h"
#include "peridotshelf/http/framing.h"
#include "peridotshelf/http/status.h"
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
  // On a kept connection a late copy of an answer would be taken for the answer
  // to the next call, and the HTTP library sends a request again if the
  // connection turns out to be closed.
  request.fresh_connection = true;
  if (!call.content_type.empty()) {
    request.headers.push_back({"Content-Type", call.content_type});
  }
  if (!call.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", call.idempotency_key});
  }
  return request;
}

attempts::StoredAnswer ToStoredAnswer(const http::ClientResponse& response) {
  attempts::StoredAnswer answer;
  std::string_view remaining = response.body;
  while (!remaining.empty()) {
    const std::string_view part = remaining.substr(0, wire::kPayloadPartBytes);
    remaining.remove_prefix(part.size());
    answer.chunks.emplace_back(part);
  }
  answer.completion.chunks = static_cast<int64_t>(answer.chunks.size());
  answer.completion.http_status = response.status;
  answer.completion.content_type = response.content_type;
  return answer;
}

/// Returns the response unless the end of its connection is all that ends its
/// body: a service that crashes ends the connection as well.
Result<http::ClientResponse> CheckWhole(
    const Result<http::ClientResponse>& response) {
  if (!response || response->status == http::kNoContent ||
      response->status == http::kNotModified) {
    return response;
  }
  const http::BodyEnd end = http::FindBodyEnd(response->headers);
  if (end == http::BodyEnd::kLength || end == http::BodyEnd::kChunked) {
    return response;
  }
  return Fail(ErrorCode::kConnectionLost,
              "the service's answer has neither a length nor chunks, so it is "
              "not known to be whole");
}

}  // namespace

void ServiceCalls::Start(const control::ControlState& state,
                         const std::string& base_url,
                         const wire::ChannelPtr& channel,
                         wire::ServiceCall call) {
  const AttemptId attempt = wire::FromWire(call.attempt);
  const auto decision = m_streams->AdmitAndStart(
      channel, attempt, std::chrono::milliseconds(call.remaining_ms));
  if (!decision) {
    SendFailed(*channel, attempt, decision.error());
    return;
  }
  if (*decision == attempts::StartDecision::kDuplicate) return;
  std::string scoped_key;
  if (call.unrepeatable && !call.idempotency_key.empty()) {
    const attempts::ClaimResult claim =
        m_idempotency->Claim(state, call, scoped_key);
    if (!claim) {
      m_streams->Finish(attempt, tl::unexpected<Error>(claim.error()));
      return;
    }
    if (*claim) {
      Replay(attempt, **claim);
      return;
    }
  }
  events::Log(events::EventId::kAttemptStarted,
              {{"attempt", attempt.ToString()}, {"backend", call.backend}});
  const bool unrepeatable = call.unrepeatable;
  // Inserted before the call starts, since the answer may arrive at once.
  m_running.Insert(attempt, RunningCall{0, true});
  const http::Client::CallId id = m_client.Fetch(
      ToRequest(base_url, call),
      [self = shared_from_this(), attempt,
       scoped_key](const Result<http::ClientResponse>& response) {
        self->OnAnswer(attempt, scoped_key, CheckWhole(response));
      });
  if (!unrepeatable && m_running.Take(attempt)) {
    m_running.Insert(attempt, RunningCall{id, false});
  }
}

void ServiceCalls::OnAnswer(const AttemptId& attempt,
                            const std::string& scoped_key,
                            const Result<http::ClientResponse>& response) {
  m_running.Take(attempt);
  events::Log(
      events::EventId::kAttemptFinished,
      {{"attempt", attempt.ToString()}, {"whole", response.has_value()}});
  if (response) {
    attempts::StoredAnswer answer = ToStoredAnswer(*response);
    Replay(attempt, answer);
    if (!scoped_key.empty())
      m_idempotency->Finish(scoped_key, std::move(answer));
    return;
  }
  Error error = response.error();
  if (!scoped_key.empty() && error.not_run)
    m_idempotency->Release(scoped_key, attempt);
  if (!scoped_key.empty() && !error.not_run)
    m_idempotency->MarkUnknown(scoped_key);
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
