#include "peridotshelf/gateway/messages.h"

#include <charconv>

namespace peridotshelf::gateway {
namespace {

constexpr std::string_view kBlankLine = "\n\n";
constexpr std::string_view kBlankLineCrLf = "\r\n\r\n";

/// Returns the length of the first complete event in `bytes`; 0 if there is
/// none.
size_t FirstEventLength(std::string_view bytes) {
  const size_t plain = bytes.find(kBlankLine);
  const size_t crlf = bytes.find(kBlankLineCrLf);
  if (plain == std::string_view::npos && crlf == std::string_view::npos) {
    return 0;
  }
  if (plain < crlf) return plain + kBlankLine.size();
  return crlf + kBlankLineCrLf.size();
}

/// Returns the values of all lines of `event` that begin with `field`.
std::vector<std::string_view> FindValues(std::string_view event,
                                         std::string_view field) {
  std::vector<std::string_view> values;
  while (!event.empty()) {
    std::string_view line = event.substr(0, event.find('\n'));
    event.remove_prefix(std::min(event.size(), line.size() + 1));
    if (!line.starts_with(field)) continue;
    line.remove_prefix(field.size());
    while (line.starts_with(' ')) line.remove_prefix(1);
    while (line.ends_with('\r') || line.ends_with(' ')) line.remove_suffix(1);
    values.push_back(line);
  }
  return values;
}

}  // namespace

std::optional<int64_t> ParseEventNumber(std::string_view event) {
  const std::vector<std::string_view> ids = FindValues(event, "id:");
  if (ids.size() != 1) return std::nullopt;
  const std::string_view id = ids.front();
  if (id.starts_with('-')) return std::nullopt;
  int64_t number = 0;
  const auto [end, error] =
      std::from_chars(id.data(), id.data() + id.size(), number);
  if (error != std::errc() || end != id.data() + id.size()) {
    return std::nullopt;
  }
  return number;
}

bool IsErrorEvent(std::string_view event) {
  const std::vector<std::string_view> types = FindValues(event, "event:");
  return !types.empty() && types.back() == "error";
}

std::vector<std::string> EventSplitter::Feed(std::string_view bytes) {
  m_incomplete.append(bytes);
  std::vector<std::string> events;
  std::string_view remaining = m_incomplete;
  while (const size_t length = FirstEventLength(remaining)) {
    events.emplace_back(remaining.substr(0, length));
    remaining.remove_prefix(length);
  }
  m_incomplete.erase(0, m_incomplete.size() - remaining.size());
  return events;
}

}  // namespace peridotshelf::gateway
