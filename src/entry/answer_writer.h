/// Writes answers to callers; completions have the format of OpenAI's API.
#pragma once

#include <string>
#include <string_view>

#include "entry/requests.h"
#include "peridotshelf/http/server.h"

namespace peridotshelf::entry {

/// Returns callbacks that write one completion to its caller, as server-sent
/// events or as one JSON object.
AnswerCallbacks MakeCompletionWriter(const CompletionRequest& request,
                                     http::ResponderPtr responder);

/// Returns callbacks that write a plain service's answer to its caller.
AnswerCallbacks MakeServiceWriter(const RequestId& id,
                                  const http::ResponderPtr& responder);

/// Returns the headers that every answer to request `id` carries.
std::vector<http::Header> MakeIdHeaders(const RequestId& id);

}  // namespace peridotshelf::entry
