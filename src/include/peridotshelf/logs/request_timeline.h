/// Collects the log lines of one request from the logs of several processes.
#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace peridotshelf::logs {

/// One log line of the request.
struct TimelineEntry {
  /// UTC timestamp as logged; sorts chronologically as text.
  std::string time;
  std::string process;
  std::string event;
  /// The fields specific to the event, as "name=value" in the line's order.
  std::string details;
  /// The JSON object as logged.
  std::string json;
};

/// All log lines of one request, in order of time.
struct RequestTimeline {
  std::string request_id;
  std::vector<TimelineEntry> entries;
  /// Number of lines that begin like a log line but are not valid JSON.
  size_t malformed_lines = 0;
};

/// Adds the lines of `log` that belong to the timeline's request. Skips any
/// text before a line's JSON object, such as a prefix with the host's name.
void AddLog(RequestTimeline& timeline, std::istream& log);

/// Sorts the entries by time; call after adding all logs.
void SortByTime(RequestTimeline& timeline);

/// Returns the cause of the request's outcome as one sentence.
std::string FindCause(const RequestTimeline& timeline);

}  // namespace peridotshelf::logs
