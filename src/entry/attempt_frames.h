/// The frames that carry an attempt's commands and events.
#pragma once

#include <string>
#include <string_view>

#include "entry/requests.h"
#include "peridotshelf/attempts/key_owner.h"
#include "peridotshelf/attempts/messages.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::entry {

/// Asks for memory and a slot for a completion.
wire::Frame ReserveFrame(const attempts::Reserve& command,
                         const CompletionRequest& request, bool unrepeatable,
                         const control::ControlState& state,
                         const attempts::ReportedVersions& heard);

/// Sends Start and the prompt, in parts.
void SendStart(wire::Channel& channel, const attempts::Start& command,
               const CompletionRequest& request);

/// Starts a call to a plain service.
wire::Frame ServiceCallFrame(const attempts::Start& command,
                             const ServiceRequest& request, bool unrepeatable,
                             const control::ControlState& state,
                             const attempts::ReportedVersions& heard);

/// Asks for the chunks from an offset on; `process_id` is the side process
/// that the attempt's start was sent to.
wire::Frame ResumeFrame(const attempts::Resume& command,
                        const std::string& process_id);

/// Ends an attempt; `process_id` as for ResumeFrame, empty if no start was
/// sent.
wire::Frame CancelFrame(const AttemptId& attempt, ErrorCode code,
                        const std::string& process_id);

/// The error that a side sent.
Error ErrorOf(const wire::Failed& failed);
/// A refused attempt never ran.
Error ErrorOf(const wire::Refused& refused);
/// What a side knows at an answer's end.
attempts::Completion CompletionOf(const wire::Finished& finished);

}  // namespace peridotshelf::entry
