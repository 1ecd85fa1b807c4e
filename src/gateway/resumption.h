/// Decides whether an answer continues a stream that broke off, and whether
/// events are missing at its end.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "live_request.h"
#include "peridotshelf/http/client.h"

namespace peridotshelf::gateway {

/// Keeps what `head` tells about the body of the current attempt.
void NoteStreamHead(LiveRequest& live, const http::ClientResponseHead& head);

/// Returns whether a successful answer of the current attempt is of the same
/// kind as the one whose events the caller has, if any. Error statuses are
/// handled when their bodies are complete.
bool CanContinueStream(const LiveRequest& live);

/// Returns why an event of the current attempt cannot follow the events that
/// the caller has; none if it can, or repeats one of them.
std::optional<std::string_view> FindEventFault(const LiveRequest& live,
                                               std::optional<int64_t> number,
                                               std::string_view event);

/// Keeps what the break of the current attempt tells about missing events.
void NoteStreamBreak(LiveRequest& live);

/// Returns whether the answer of the current attempt may have no event that the
/// caller does not have: a stream that broke after its last event has none
/// left.
bool MayHaveNoEvent(const LiveRequest& live);

}  // namespace peridotshelf::gateway
