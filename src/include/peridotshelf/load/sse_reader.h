/// Parses server-sent events from a stream of bytes.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace peridotshelf::load {

/// One event. The views are valid only during the callback.
struct SseEvent {
  /// "message" unless the stream named another type.
  std::string_view type;
  std::string_view data;
};

/// Parses events from bytes that may be split anywhere. Supports one data line
/// per event, as completion streams have.
class SseReader {
 public:
  explicit SseReader(std::function<void(const SseEvent&)> on_event)
      : m_on_event(std::move(on_event)) {}

  /// Appends received bytes and calls `on_event` for each complete event.
  void Append(std::string_view bytes);

 private:
  void ReadLine(std::string_view line);

  std::function<void(const SseEvent&)> m_on_event;
  std::string m_pending;
  std::string m_type;
  std::string m_data;
};

}  // namespace peridotshelf::load
