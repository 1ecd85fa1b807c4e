#include "peridotshelf/testing/drawn_inputs.h"

#include <algorithm>
#include <utility>

namespace peridotshelf::testing {
namespace {

constexpr size_t kLongRunBytes = 20'000;
constexpr int kDeepNesting = 2'000;

rc::Gen<std::string> DrawPiece() {
  return rc::gen::element<std::string>(
      "\xE9", "\xFF", "\xC3\xA9", "\xE2\x82", "\xED\xA0\x80", std::string(1, 0),
      "\r", "\n", "\r\n", "\t", " ", ",", ":", ";", "/", "\\", "\"", "%", "%00",
      "{", "}", "[", "\x7F", "\x1B", "a", "0", "-", "\xF0\x9F\x98\x80");
}

std::string Join(const std::vector<std::string>& parts) {
  std::string joined;
  for (const std::string& part : parts) joined += part;
  return joined;
}

std::string Repeat(const std::string& part, size_t count) {
  std::string repeated;
  for (size_t i = 0; i < count; ++i) repeated += part;
  return repeated;
}

/// One change at a place that is drawn.
std::string Change(std::string bytes, int kind, size_t at, size_t length,
                   const std::string& other) {
  if (bytes.empty()) return other;
  at %= bytes.size();
  length = std::min(length, bytes.size() - at);
  switch (kind) {
    case 0:
      return bytes.substr(0, at);
    case 1:
      return bytes.erase(at, length);
    case 2:
      return bytes.insert(at, other);
    case 3:
      return bytes.replace(at, length, other);
    default:
      return bytes.insert(at, bytes.substr(at, length));
  }
}

rc::Gen<std::string> DrawOneChange(const std::string& bytes) {
  return rc::gen::apply(&Change, rc::gen::just(bytes), rc::gen::inRange(0, 5),
                        rc::gen::inRange<size_t>(0, 100'000),
                        rc::gen::inRange<size_t>(1, 40), DrawBytes());
}

rc::Gen<std::string> DrawJsonValue(const std::vector<std::string>& values) {
  return rc::gen::weightedOneOf<std::string>(
      {{100, rc::gen::elementOf(values)},
       {2, DrawNumber()},
       {1, rc::gen::map(
               DrawBytes(),
               [](const std::string& text) { return "\"" + text + "\""; })},
       {1, rc::gen::element<std::string>(
               "null", "true", "[]", "{}", "\"\"", "\"\\u0000\"", "\"\\ud800\"",
               "\"a\\r\\nX-Other: 1\"", "1e308", "-1e308",
               Repeat("[", kDeepNesting) + Repeat("]", kDeepNesting))}});
}

}  // namespace

rc::Gen<std::string> DrawBytes() {
  return rc::gen::weightedOneOf<std::string>(
      {{6,
        rc::gen::map(rc::gen::container<std::vector<std::string>>(DrawPiece()),
                     &Join)},
       {4, rc::gen::arbitrary<std::string>()},
       {1, rc::gen::map(DrawPiece(), [](const std::string& piece) {
          return Repeat(piece, kLongRunBytes / piece.size());
        })}});
}

rc::Gen<std::string> DrawChanged(const std::string& bytes) {
  return rc::gen::weightedOneOf<std::string>(
      {{5, rc::gen::just(bytes)},
       {3, DrawOneChange(bytes)},
       {2, rc::gen::mapcat(DrawOneChange(bytes), &DrawOneChange)}});
}

rc::Gen<std::string> DrawNumber() {
  return rc::gen::weightedOneOf<std::string>(
      {{4, rc::gen::map(rc::gen::arbitrary<int>(),
                        [](int number) { return std::to_string(number); })},
       {4,
        rc::gen::element<std::string>(
            "0", "-1", "1.5", "2147483648", "-2147483649",
            "9223372036854775807", "-9223372036854775808",
            "18446744073709551615", "99999999999999999999999", "1e400", "nan",
            "inf", "0x10", " 1", "1 ", "+1", "1,1", Repeat("9", 400))},
       {1, DrawBytes()}});
}

rc::Gen<std::string> DrawJsonObject(std::vector<JsonField> fields) {
  return rc::gen::exec([fields = std::move(fields)] {
    std::string text = "{";
    for (const JsonField& field : fields) {
      constexpr int kFates = 80;
      const int fate = *rc::gen::inRange(0, kFates);
      if (fate == 0) continue;
      const std::string key = fate == 1 ? *DrawBytes() : field.key;
      if (text.size() > 1) text += ',';
      text += "\"" + key + "\":" + *DrawJsonValue(field.values);
    }
    return text + "}";
  });
}

rc::Gen<std::string> DrawHeader(const std::string& name,
                                std::vector<std::string> values) {
  const auto line = [name](const std::string& value) {
    return name + ": " + value + "\r\n";
  };
  const auto sound = rc::gen::map(rc::gen::elementOf(values), line);
  return rc::gen::weightedOneOf<std::string>(
      {{60, sound},
       {1, rc::gen::map(DrawBytes(), line)},
       {1, rc::gen::map(DrawNumber(), line)},
       {1, rc::gen::just(std::string())},
       {1, rc::gen::map(
               sound, [](const std::string& drawn) { return drawn + drawn; })},
       {1, rc::gen::map(DrawBytes(), [name](const std::string& bytes) {
          return name + bytes + ": 1\r\n";
        })}});
}

}  // namespace peridotshelf::testing
