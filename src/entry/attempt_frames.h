/// Conversions between an attempt's commands and events and wire frames.
#pragma once

#include <string>
#include <string_view>

#include "entry/requests.h"
#include "peridotshelf/attempts/key_owner.h"
#include "peridotshelf/attempts/messages.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::entry {

/// Returns the frame that requests KV-cache memory and a batch slot for a
/// completion.
wire::Frame MakeReserveFrame(const attempts::Reserve& command,
                             const CompletionRequest& request,
                             bool unrepeatable,
                             const control::ControlState& state,
                             const attempts::ReportedVersions& reported);

/// Sends the start of a completion, with the prompt in parts.
void SendStart(wire::Channel& channel, const attempts::Start& command,
               const CompletionRequest& request);

/// Returns the frame that starts a call to a plain service.
wire::Frame MakeServiceCallFrame(const attempts::Start& command,
                                 const ServiceRequest& request,
                                 bool unrepeatable,
                                 const control::ControlState& state,
                                 const attempts::ReportedVersions& reported);

/// Returns the frame that requests the chunks from an offset onwards.
/// `process_id` names the side process that the attempt's start was sent to.
wire::Frame MakeResumeFrame(const attempts::Resume& command,
                            const std::string& process_id);

/// Returns the frame that cancels an attempt. `process_id` is as for
/// `MakeResumeFrame`, and empty if no start was sent.
wire::Frame MakeCancelFrame(const AttemptId& attempt, ErrorCode code,
                            const std::string& process_id);

/// Returns the error that a side reported.
Error ToError(const wire::Failed& failed);
/// Returns a refusal's error; a refused attempt did not run.
Error ToError(const wire::Refused& refused);
/// Returns the summary that a side sends at the end of an answer.
attempts::Completion ToCompletion(const wire::Finished& finished);

}  // namespace peridotshelf::entry
