/// How the end of a message's body is told.
#pragma once

#include <span>

#include "peridotshelf/http/client.h"

namespace peridotshelf::http {

/// What tells where the body of an answer ends (RFC 9112, section 6.3).
enum class BodyEnd {
  kLength,      ///< Its length.
  kChunked,     ///< Its last chunk.
  kConnection,  ///< The end of its connection, which a failure causes as well.
  kInvalid,     ///< Headers that contradict each other or cannot be read.
};

/// Returns what tells where the body ends of an answer with these headers, if
/// it has a body.
BodyEnd FindBodyEnd(std::span<const Header> headers);

}  // namespace peridotshelf::http
