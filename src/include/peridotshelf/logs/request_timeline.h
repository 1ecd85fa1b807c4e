/// Puts together what the logs of several processes say of one request.
#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace peridotshelf::logs {

/// One log line of a request.
struct TimelineEntry {
  /// As logged: UTC, so that text order is the order of time.
  std::string time;
  std::string process;
  std::string event;
  /// The event's own fields, as "name=value" in the order of the line.
  std::string details;
  /// The line as it was logged.
  std::string json;
};

/// All lines of one request, in order of time.
struct RequestTimeline {
  std::string request_id;
  std::vector<TimelineEntry> lines;
  /// Lines that began like a log line and could not be read.
  size_t unreadable = 0;
};

/// Adds the lines of `log` that belong to the story's request. Whatever
/// precedes a line's JSON object is passed over, such as a prefix with the
/// host's name.
void AddLog(RequestTimeline& story, std::istream& log);

/// Sorts the story; call once all logs are added.
void Order(RequestTimeline& story);

/// The cause of the request's outcome in one sentence.
std::string FindCause(const RequestTimeline& story);

}  // namespace peridotshelf::logs
