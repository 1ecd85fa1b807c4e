/// Bytes from outside that become text in logs, metrics and messages.
#pragma once

#include <string>
#include <string_view>

namespace peridotshelf {

/// Returns whether `bytes` is valid UTF-8.
bool IsUtf8(std::string_view bytes);

/// Returns valid UTF-8 from which `bytes` can be told: each byte that is not
/// part of a UTF-8 character becomes `\xHH`, and each backslash becomes two.
std::string EscapeBytes(std::string_view bytes);

/// Returns how many of the first `max` bytes end at the end of a character, so
/// that cutting there keeps valid UTF-8 valid.
size_t FindCut(std::string_view bytes, size_t max);

}  // namespace peridotshelf
