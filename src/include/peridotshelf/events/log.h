/// Structured logging: one JSON object a line, each a numbered event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "peridotshelf/events/catalogue.h"

namespace peridotshelf::events {

/// One named value of an event.
struct Field {
  std::string_view key;
  std::variant<int64_t, double, bool, std::string> value;

  Field(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
  Field(std::string_view k, std::string_view v)
      : key(k), value(std::string(v)) {}
  Field(std::string_view k, const char* v) : key(k), value(std::string(v)) {}
  Field(std::string_view k, bool v) : key(k), value(v) {}
  Field(std::string_view k, double v) : key(k), value(v) {}
  Field(std::string_view k, int64_t v) : key(k), value(v) {}
  Field(std::string_view k, int v) : key(k), value(int64_t{v}) {}
  Field(std::string_view k, uint64_t v)
      : key(k), value(static_cast<int64_t>(v)) {}
};

/// Lines of one event that are written in a second; of failures, the double.
inline constexpr int kMaxLinesPerSecond = 100;

/// Sends events of at least `threshold` to standard output. `process` names
/// this process in every line. Call once, before the first `Log`.
///
/// Logging never waits: events beyond `kMaxLinesPerSecond`, and lines for which
/// standard output has no room, are left out and counted in an
/// `events_suppressed` event.
void StartLogging(Level threshold, std::string_view process);

/// Logs one event with its fields; does nothing before `StartLogging`.
void Log(EventId id, std::initializer_list<Field> fields = {});

/// The line that `Log` would write for the event, without a line end.
std::string FormatLine(EventId id, std::string_view process,
                       std::string_view time,
                       std::initializer_list<Field> fields);

}  // namespace peridotshelf::events
