/// GET /admin/explain/REQUEST_ID: the decision trace of a request.
#pragma once

#include <string_view>

#include "entry/dispatcher.h"
#include "peridotshelf/http/server.h"

namespace peridotshelf::entry {

/// The path prefix; the rest of the path is the request ID.
inline constexpr std::string_view kExplainPath = "/admin/explain/";

/// Replies with the request's trace as JSON, or as text for ?format=text, or
/// with 404 if this entry does not have the trace.
void ReplyExplain(const http::ServerRequest& request,
                  http::Responder& responder, const Dispatcher& dispatcher);

}  // namespace peridotshelf::entry
