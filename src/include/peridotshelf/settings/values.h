/// Text to typed values of settings, and back.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::settings {

/// The smallest and the largest value allowed.
template <class T>
struct Range {
  T min;
  T max;
  /// Whether `value` is inside.
  bool Contains(T value) const { return value >= min && value <= max; }
};

/// A whole decimal number, or none.
std::optional<int64_t> ParseInteger(std::string_view text);
/// A finite decimal number, or none.
std::optional<double> ParseReal(std::string_view text);
/// "true", "false", "1" or "0", or none.
std::optional<bool> ParseBool(std::string_view text);

/// Whether `text` is an IPv4 address in dotted form.
bool IsAddress(std::string_view text);
/// Whether `text` is "http://HOST[:PORT][/PATH]" without query.
bool IsHttpUrl(std::string_view text);
/// Whether `text` is 1 to 64 letters, digits, '-', '_' or '.'.
bool IsName(std::string_view text);

/// The shortest text that parses back to `value`.
std::string FormatReal(double value);
/// "an integer from MIN to MAX".
std::string DescribeRange(Range<int64_t> range);
/// "a number from MIN to MAX".
std::string DescribeRange(Range<double> range);
/// "one of A, B, C".
std::string DescribeChoices(std::span<const std::string_view> choices);

}  // namespace peridotshelf::settings
