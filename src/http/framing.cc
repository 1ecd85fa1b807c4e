#include "peridotshelf/http/framing.h"

#include <strings.h>

#include <charconv>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace peridotshelf::http {
namespace {

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Calls `on_item` for each item of the comma-separated lists in the headers
/// `name`. Returns whether there is such a header.
bool ForEachItem(std::span<const Header> headers, std::string_view name,
                 const std::function<void(std::string_view)>& on_item) {
  bool has_header = false;
  for (const Header& header : headers) {
    if (!EqualsIgnoringCase(header.name, name)) continue;
    has_header = true;
    std::string_view remaining = header.value;
    while (true) {
      const size_t comma = remaining.find(',');
      on_item(Trim(remaining.substr(0, comma)));
      if (comma == std::string_view::npos) break;
      remaining.remove_prefix(comma + 1);
    }
  }
  return has_header;
}

std::optional<int64_t> ParseLength(std::string_view text) {
  int64_t length = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  if (error != std::errc() || end != text.data() + text.size() || length < 0) {
    return std::nullopt;
  }
  return length;
}

}  // namespace

BodyEnd FindBodyEnd(std::span<const Header> headers) {
  std::string_view last_coding;
  const bool has_coding =
      ForEachItem(headers, "Transfer-Encoding",
                  [&](std::string_view coding) { last_coding = coding; });
  std::optional<int64_t> length;
  bool is_valid = true;
  const bool has_length =
      ForEachItem(headers, "Content-Length", [&](std::string_view text) {
        const auto stated = ParseLength(text);
        if (!stated || (length && length != stated)) is_valid = false;
        length = stated;
      });
  if (has_coding && EqualsIgnoringCase(last_coding, "chunked")) {
    return BodyEnd::kChunked;
  }
  if (!is_valid || (has_coding && has_length)) return BodyEnd::kInvalid;
  return has_length ? BodyEnd::kLength : BodyEnd::kConnection;
}

}  // namespace peridotshelf::http
