#include "peridotshelf/base/text.h"

#include <algorithm>
#include <cstdint>

namespace peridotshelf {
namespace {

constexpr size_t kMaxCharacterBytes = 4;

bool IsContinuation(char byte) {
  return (static_cast<uint8_t>(byte) & 0xC0) == 0x80;
}

/// The length of a character that begins with `lead`, and the range of its
/// second byte, which excludes overlong forms, surrogates and code points over
/// U+10FFFF.
struct Shape {
  size_t length = 0;
  uint8_t second_min = 0x80;
  uint8_t second_max = 0xBF;
};

Shape FindShape(uint8_t lead) {
  if (lead < 0x80) return {1};
  if (lead < 0xC2 || lead > 0xF4) return {};
  if (lead < 0xE0) return {2};
  if (lead == 0xE0) return {3, 0xA0, 0xBF};
  if (lead == 0xED) return {3, 0x80, 0x9F};
  if (lead < 0xF0) return {3};
  if (lead == 0xF0) return {4, 0x90, 0xBF};
  if (lead == 0xF4) return {4, 0x80, 0x8F};
  return {4};
}

/// Returns the length of the character at the front; 0 if there is none.
size_t MeasureCharacter(std::string_view bytes) {
  const Shape shape = FindShape(static_cast<uint8_t>(bytes.front()));
  if (shape.length <= 1) return shape.length;
  if (bytes.size() < shape.length) return 0;
  const auto second = static_cast<uint8_t>(bytes[1]);
  if (second < shape.second_min || second > shape.second_max) return 0;
  const std::string_view rest = bytes.substr(2, shape.length - 2);
  const bool is_complete =
      std::all_of(rest.begin(), rest.end(), &IsContinuation);
  return is_complete ? shape.length : 0;
}

void AppendHex(char byte, std::string& out) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  const auto value = static_cast<uint8_t>(byte);
  out += "\\x";
  out += kDigits[value >> 4];
  out += kDigits[value & 0x0F];
}

}  // namespace

bool IsUtf8(std::string_view bytes) {
  while (!bytes.empty()) {
    const size_t length = MeasureCharacter(bytes);
    if (length == 0) return false;
    bytes.remove_prefix(length);
  }
  return true;
}

std::string EscapeBytes(std::string_view bytes) {
  std::string out;
  out.reserve(bytes.size());
  while (!bytes.empty()) {
    const size_t length = MeasureCharacter(bytes);
    if (length == 0) {
      AppendHex(bytes.front(), out);
    } else if (bytes.front() == '\\') {
      out += "\\\\";
    } else {
      out += bytes.substr(0, length);
    }
    bytes.remove_prefix(std::max<size_t>(length, 1));
  }
  return out;
}

size_t FindCut(std::string_view bytes, size_t max) {
  if (bytes.size() <= max) return bytes.size();
  size_t cut = max;
  while (cut > 0 && max - cut < kMaxCharacterBytes &&
         IsContinuation(bytes[cut])) {
    --cut;
  }
  return cut;
}

}  // namespace peridotshelf
