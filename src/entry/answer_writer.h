/// Writes answers in the form of OpenAI's completions.
#pragma once

#include <string>
#include <string_view>

#include "entry/requests.h"
#include "peridotshelf/http/server.h"

namespace peridotshelf::entry {

/// Callbacks that write one completion to its caller, as server-sent events
/// or as one JSON object.
AnswerCallbacks MakeCompletionWriter(const CompletionRequest& request,
                                     http::ResponderPtr responder);

/// Callbacks that write a plain service's answer to its caller.
AnswerCallbacks MakeServiceWriter(const RequestId& id,
                                  const http::ResponderPtr& responder);

/// The headers that every answer to `id` has.
std::vector<http::Header> IdHeaders(const RequestId& id);

}  // namespace peridotshelf::entry
