#include "entry/attempt_frames.h"

#include "entry/placement.h"
#include "peridotshelf/wire/codec.h"

namespace peridotshelf::entry {
namespace {

constexpr int64_t kNoIssueTime = -1;

Error MakeError(const std::string& code, const std::string& detail,
                bool not_run, int64_t retry_after_ms) {
  Error error;
  error.code = ParseErrorCode(code).value_or(ErrorCode::kProtocol);
  error.detail = detail;
  error.not_run = not_run;
  if (retry_after_ms > 0) {
    error.retry_after = std::chrono::milliseconds(retry_after_ms);
  }
  return error;
}

}  // namespace

wire::Frame MakeReserveFrame(const attempts::Reserve& command,
                             const CompletionRequest& request,
                             bool unrepeatable,
                             const control::ControlState& state,
                             const attempts::ReportedVersions& reported) {
  wire::Frame frame;
  wire::Reserve& reserve = frame.reserve;
  reserve.attempt = wire::ToWire(command.attempt);
  reserve.engine = command.candidate.engine.value();
  reserve.team = request.options.team.value();
  reserve.priority =
      FindTeamPriority(state, request.model, request.options.team);
  reserve.prompt_tokens = request.prompt_tokens;
  reserve.max_tokens = request.max_tokens;
  reserve.remaining_ms = ToMilliseconds(command.remaining);
  reserve.control_version = state.version;
  reserve.unrepeatable = unrepeatable;
  reserve.idempotency_key = request.options.idempotency_key;
  reserve.issued_at_ms = request.options.issued_at_ms.value_or(kNoIssueTime);
  reserve.oldest_heard_version = reported.oldest;
  reserve.newest_heard_version = reported.newest;
  frame.__isset.reserve = true;
  return frame;
}

void SendStart(wire::Channel& channel, const attempts::Start& command,
               const CompletionRequest& request) {
  std::string_view unsent = request.prompt_json;
  const std::string_view first_part = unsent.substr(0, wire::kPayloadPartBytes);
  unsent.remove_prefix(first_part.size());
  wire::Frame frame;
  frame.start.attempt = wire::ToWire(command.attempt);
  frame.start.epoch = command.epoch;
  frame.start.model = request.model;
  frame.start.max_tokens = request.max_tokens;
  frame.start.remaining_ms = ToMilliseconds(command.remaining);
  frame.start.payload = first_part;
  frame.start.payload_ends = unsent.empty();
  frame.__isset.start = true;
  channel.Send(frame);
  while (!unsent.empty()) {
    const std::string_view part = unsent.substr(0, wire::kPayloadPartBytes);
    unsent.remove_prefix(part.size());
    wire::Frame part_frame;
    part_frame.payload_part.attempt = wire::ToWire(command.attempt);
    part_frame.payload_part.payload = part;
    part_frame.payload_part.payload_ends = unsent.empty();
    part_frame.__isset.payload_part = true;
    channel.Send(part_frame);
  }
}

wire::Frame MakeServiceCallFrame(const attempts::Start& command,
                                 const ServiceRequest& request,
                                 bool unrepeatable,
                                 const control::ControlState& state,
                                 const attempts::ReportedVersions& reported) {
  wire::Frame frame;
  wire::ServiceCall& call = frame.service_call;
  call.attempt = wire::ToWire(command.attempt);
  call.backend = command.candidate.engine.value();
  call.method = request.method;
  call.target = request.target;
  call.content_type = request.content_type;
  call.payload = request.body;
  call.remaining_ms = ToMilliseconds(command.remaining);
  call.unrepeatable = unrepeatable;
  call.idempotency_key = request.options.idempotency_key;
  call.issued_at_ms = request.options.issued_at_ms.value_or(kNoIssueTime);
  call.control_version = state.version;
  call.oldest_heard_version = reported.oldest;
  call.newest_heard_version = reported.newest;
  call.team = request.options.team.value();
  frame.__isset.service_call = true;
  return frame;
}

wire::Frame MakeResumeFrame(const attempts::Resume& command,
                            const std::string& process_id) {
  wire::Frame frame;
  frame.resume.attempt = wire::ToWire(command.attempt);
  frame.resume.from_offset = command.from_offset;
  frame.resume.process_id = process_id;
  frame.__isset.resume = true;
  return frame;
}

wire::Frame MakeCancelFrame(const AttemptId& attempt, ErrorCode code,
                            const std::string& process_id) {
  wire::Frame frame;
  frame.cancel.attempt = wire::ToWire(attempt);
  frame.cancel.code = ToString(code);
  frame.cancel.process_id = process_id;
  frame.__isset.cancel = true;
  return frame;
}

Error ToError(const wire::Failed& failed) {
  return MakeError(failed.code, failed.detail, failed.not_run,
                   failed.retry_after_ms);
}

Error ToError(const wire::Refused& refused) {
  return MakeError(refused.code, refused.detail, true, refused.retry_after_ms);
}

attempts::Completion ToCompletion(const wire::Finished& finished) {
  return {finished.chunks, finished.http_status, finished.content_type,
          finished.prompt_tokens, finished.cached_tokens};
}

}  // namespace peridotshelf::entry
