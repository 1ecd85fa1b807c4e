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

}  // namespace

std::optional<int64_t> ParseEventNumber(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    std::string_view line = event.substr(0, event.find('\n'));
    event.remove_prefix(std::min(event.size(), line.size() + 1));
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    while (line.starts_with(' ')) line.remove_prefix(1);
    int64_t number = 0;
    const auto [end, error] =
        std::from_chars(line.data(), line.data() + line.size(), number);
    if (error == std::errc()) return number;
  }
  return std::nullopt;
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
