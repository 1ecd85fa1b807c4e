#include "peridotshelf/settings/values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace peridotshelf::settings {
namespace {

constexpr size_t kMaxNameLength = 64;

/// Parses all of `text` as a number; nullopt if that fails.
template <class T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto [parsed_end, code] = std::from_chars(text.data(), end, value);
  if (text.empty() || code != std::errc() || parsed_end != end)
    return std::nullopt;
  return value;
}

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool IsNameCharacter(char c) {
  return IsLetterOrDigit(c) || c == '-' || c == '_' || c == '.';
}

}  // namespace

std::optional<int64_t> ParseInteger(std::string_view text) {
  return ParseNumber<int64_t>(text);
}

std::optional<double> ParseReal(std::string_view text) {
  const auto value = ParseNumber<double>(text);
  if (!value || !std::isfinite(*value)) return std::nullopt;
  return value;
}

std::optional<bool> ParseBool(std::string_view text) {
  if (text == "true" || text == "1") return true;
  if (text == "false" || text == "0") return false;
  return std::nullopt;
}

bool IsAddress(std::string_view text) {
  in_addr address{};
  return inet_pton(AF_INET, std::string(text).c_str(), &address) == 1;
}

bool IsHttpUrl(std::string_view text) {
  constexpr std::string_view kScheme = "http://";
  if (!text.starts_with(kScheme)) return false;
  text.remove_prefix(kScheme.size());
  if (text.find_first_of("?# \t\r\n\"") != std::string_view::npos) return false;
  const std::string_view authority = text.substr(0, text.find('/'));
  const size_t colon = authority.find(':');
  if (!IsName(authority.substr(0, colon))) return false;
  if (colon == std::string_view::npos) return true;
  const auto port = ParseInteger(authority.substr(colon + 1));
  return port && Range<int64_t>{1, 65535}.Contains(*port);
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), &IsNameCharacter);
}

std::string FormatReal(double value) {
  char buffer[32];
  const auto result =
      std::to_chars(std::begin(buffer), std::end(buffer), value);
  return {buffer, result.ptr};
}

std::string DescribeRange(Range<int64_t> range) {
  return "an integer from " + std::to_string(range.min) + " to " +
         std::to_string(range.max);
}

std::string DescribeRange(Range<double> range) {
  return "a number from " + FormatReal(range.min) + " to " +
         FormatReal(range.max);
}

std::string DescribeChoices(std::span<const std::string_view> choices) {
  std::string text = "one of ";
  for (size_t i = 0; i < choices.size(); ++i) {
    if (i > 0) text += ", ";
    text += choices[i];
  }
  return text;
}

}  // namespace peridotshelf::settings
