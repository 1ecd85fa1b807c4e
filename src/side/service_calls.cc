#include "side/service_calls.h"

#include "peridotshelf/wire/codec.h"
#include "side/execution.h"

namespace peridotshelf::side {
namespace {

/// Sends a whole answer as chunks and an end.
void SendAnswer(wire::Channel& channel, const wire::Attempt& attempt,
                const http::ClientResponse& response) {
  std::string_view rest = response.body;
  int64_t offset = 0;
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, wire::kPayloadPartBytes);
    rest.remove_prefix(part.size());
    wire::Frame frame;
    frame.chunk.attempt = attempt;
    frame.chunk.offset = offset++;
    frame.chunk.data = part;
    frame.__isset.chunk = true;
    channel.Send(frame);
  }
  wire::Finished finished;
  finished.attempt = attempt;
  finished.chunks = offset;
  finished.http_status = response.status;
  finished.content_type = response.content_type;
  wire::Frame frame;
  frame.__set_finished(finished);
  channel.Send(frame);
}

}  // namespace

void ServiceCalls::Start(const std::string& base_url,
                         const wire::ChannelPtr& channel,
                         wire::ServiceCall call) {
  http::ClientRequest request;
  request.method = call.method;
  request.url = base_url + call.target;
  request.timeout = std::chrono::milliseconds(call.remaining_ms);
  request.body = std::move(call.payload);
  if (!call.content_type.empty()) {
    request.headers.push_back({"Content-Type", call.content_type});
  }
  if (!call.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", call.idempotency_key});
  }
  ++m_running;
  m_client.Fetch(std::move(request),
                 [self = shared_from_this(), channel, attempt = call.attempt](
                     const Result<http::ClientResponse>& response) {
                   --self->m_running;
                   if (response) {
                     SendAnswer(*channel, attempt, *response);
                   } else {
                     SendFailed(*channel, attempt, response.error());
                   }
                 });
}

}  // namespace peridotshelf::side
