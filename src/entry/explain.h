/// GET /admin/explain/REQUEST_ID: what was decided about a request.
#pragma once

#include <string_view>

#include "entry/dispatcher.h"
#include "peridotshelf/http/server.h"

namespace peridotshelf::entry {

/// The path below which request ids are looked up.
inline constexpr std::string_view kExplainPath = "/admin/explain/";

/// Answers with the request's trace as JSON, or as text for ?format=text; 404
/// if it is not kept here.
void ReplyExplain(const http::ServerRequest& request,
                  http::Responder& responder, const Dispatcher& dispatcher);

}  // namespace peridotshelf::entry
