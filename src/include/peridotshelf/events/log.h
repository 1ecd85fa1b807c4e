/// Structured logging: each line is a JSON object for one numbered event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "peridotshelf/events/catalogue.h"

namespace peridotshelf::events {

/// A named value of an event.
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

/// Maximum lines per second of one event; doubled for warnings and errors.
inline constexpr int kMaxLinesPerSecond = 100;

/// Starts logging of events of at least `threshold` to standard output. Each
/// line contains `process`, the name of this process. Must be called once,
/// before the first `Log`.
///
/// Logging never blocks: events beyond `kMaxLinesPerSecond`, and lines that
/// standard output cannot accept at once, are dropped and counted in an
/// `events_suppressed` event.
void StartLogging(Level threshold, std::string_view process);

/// Logs one event with its fields; does nothing before `StartLogging`. A line
/// that cannot be made, for want of memory, is counted like one that standard
/// output cannot accept.
void Log(EventId id, std::initializer_list<Field> fields = {}) noexcept;

/// Returns the line that `Log` writes for the event, without the newline. Texts
/// may hold any bytes: docs/events.md says how the line shows those that are
/// not UTF-8, and that texts which make the line too long are cut.
std::string FormatLine(EventId id, std::string_view process,
                       std::string_view time,
                       std::initializer_list<Field> fields);

}  // namespace peridotshelf::events
