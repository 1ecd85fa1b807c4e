/// Which texts HTTP/1.1 allows in a message head (RFC 9110, RFC 9112).
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/http/client.h"

namespace peridotshelf::http {

/// Returns whether `name` is a token, as the names of headers are.
bool IsHeaderName(std::string_view name);

/// Returns whether `value` has no control characters but tabs. Bytes over 127
/// (obs-text) are allowed and opaque.
bool IsHeaderValue(std::string_view value);

/// Returns whether `target` is visible ASCII, as URIs are.
bool IsRequestTarget(std::string_view target);

/// Removes the white space after values, which is not part of them. http_parser
/// leaves it there.
void TrimValues(std::vector<Header>& headers);

/// Returns why the request cannot be sent, since one of its texts would be read
/// as something else; nullopt if it can.
std::optional<Error> FindUnsendable(const ClientRequest& request);

}  // namespace peridotshelf::http
