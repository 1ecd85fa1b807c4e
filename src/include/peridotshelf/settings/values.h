/// Converts setting values from text and back.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::settings {

/// The smallest and the largest allowed value.
template <class T>
struct Range {
  T min;
  T max;
  bool Contains(T value) const { return value >= min && value <= max; }
};

/// Parses a decimal integer; nullopt if `text` is not exactly that.
std::optional<int64_t> ParseInteger(std::string_view text);
/// Parses a finite decimal number; nullopt if `text` is not exactly that.
std::optional<double> ParseReal(std::string_view text);
/// Parses "true", "false", "1" or "0"; nullopt for any other text.
std::optional<bool> ParseBool(std::string_view text);

/// Returns whether `text` is an IPv4 address in dotted form.
bool IsAddress(std::string_view text);
/// Returns whether `text` is "http://HOST[:PORT][/PATH]" without query.
bool IsHttpUrl(std::string_view text);
/// Returns whether `text` is 1 to 64 letters, digits, '-', '_' or '.'.
bool IsName(std::string_view text);

/// Returns the shortest text that parses back to `value`.
std::string FormatReal(double value);
/// Returns "an integer from MIN to MAX".
std::string DescribeRange(Range<int64_t> range);
/// Returns "a number from MIN to MAX".
std::string DescribeRange(Range<double> range);
/// Returns "one of A, B, C".
std::string DescribeChoices(std::span<const std::string_view> choices);

}  // namespace peridotshelf::settings
