/// Reads server-sent events from a stream of bytes.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace peridotshelf::load {

/// One event; views are valid during the callback only.
struct SseEvent {
  /// "message" unless the stream named another type.
  std::string_view type;
  std::string_view data;
};

/// Cuts bytes into events, however the network has split them. Each event's
/// data stands on one line, as completions have it.
class SseReader {
 public:
  explicit SseReader(std::function<void(const SseEvent&)> on_event)
      : m_on_event(std::move(on_event)) {}

  /// Takes the next bytes; calls `on_event` for each event that is complete.
  void Append(std::string_view bytes);

 private:
  void ReadLine(std::string_view line);

  std::function<void(const SseEvent&)> m_on_event;
  std::string m_pending;
  std::string m_type;
  std::string m_data;
};

}  // namespace peridotshelf::load
