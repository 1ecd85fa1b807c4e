#include "peridotshelf/logs/request_timeline.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace peridotshelf::logs {
namespace {

using nlohmann::ordered_json;

constexpr std::string_view kLineBegin = "{\"time\":";
/// Fields that each line has.
constexpr std::array<std::string_view, 6> kCommonFields = {
    "time", "level", "event", "name", "process", "request"};

std::string Details(const ordered_json& line) {
  std::string details;
  for (const auto& [name, value] : line.items()) {
    if (std::find(kCommonFields.begin(), kCommonFields.end(), name) !=
        kCommonFields.end()) {
      continue;
    }
    if (!details.empty()) details += ' ';
    details += name + "=" +
               (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return details;
}

std::optional<TimelineEntry> ReadLine(const std::string& text,
                                      std::string_view request_id) {
  const auto line = ordered_json::parse(text);
  if (line.value("request", "") != request_id) return std::nullopt;
  TimelineEntry read;
  read.time = line.value("time", "");
  read.process = line.value("process", "");
  read.event = line.value("name", "");
  read.details = Details(line);
  read.json = text;
  return read;
}

/// The value of `name` in the last line of `event`.
std::string LastValue(const RequestTimeline& story, std::string_view event,
                      std::string_view name) {
  for (auto line = story.lines.rbegin(); line != story.lines.rend(); ++line) {
    if (line->event != event) continue;
    const auto json = ordered_json::parse(line->json);
    const auto found = json.find(name);
    if (found == json.end()) return "";
    return found->is_string() ? found->get<std::string>() : found->dump();
  }
  return "";
}

std::string DescribeRefusal(const RequestTimeline& story) {
  const std::string reason = LastValue(story, "request_refused", "reason");
  const std::string after =
      LastValue(story, "request_refused", "retry_after_s");
  std::string text = "It was refused without having run: " + reason;
  if (!after.empty())
    text += "; the caller was told to come back in " + after + " s";
  return text + ".";
}

std::string DescribeEnd(const RequestTimeline& story,
                        const std::string& outcome) {
  const std::string engine = LastValue(story, "request_finished", "engine");
  const std::string cause = LastValue(story, "attempt_failed", "cause");
  if (outcome == "caller_left")
    return "The caller left before its answer's end.";
  if (outcome == "timed_out") {
    return "Its time was over while " + engine + " still worked on it.";
  }
  if (outcome == "engine_failure") {
    return "Engine " + engine + " itself answered with a failure.";
  }
  if (outcome == "stream_cut") {
    return "Its stream was cut: " + (cause.empty() ? "time over" : cause) +
           " at " + engine + ", and it could not go on elsewhere.";
  }
  if (outcome == "lost_at_engine") {
    return "The answer was lost (" + cause + ") at " + engine +
           ", which may have run it, so that it was not sent again.";
  }
  return "It ended as " + outcome + ".";
}

std::string DescribeService(const RequestTimeline& story) {
  const std::string engine = LastValue(story, "request_finished", "engine");
  std::string text = "It was served by " + engine;
  const std::string cause = LastValue(story, "attempt_failed", "cause");
  if (!cause.empty()) text += " after a try that failed (" + cause + ")";
  if (!LastValue(story, "stream_paused", "pause_ms").empty()) {
    text += "; a pause of its stream was too long, " +
            LastValue(story, "stream_paused", "pause_ms") + " ms, with " +
            LastValue(story, "stream_paused", "known_reading_ms") +
            " ms of reading known at the engine";
  }
  return text + ".";
}

}  // namespace

void AddLog(RequestTimeline& story, std::istream& log) {
  for (std::string text; std::getline(log, text);) {
    const size_t begin = text.find(kLineBegin);
    if (begin == std::string::npos) continue;
    // Most lines are of other requests and need no parsing.
    if (text.find(story.request_id, begin) == std::string::npos) continue;
    try {
      if (auto line = ReadLine(text.substr(begin), story.request_id)) {
        story.lines.push_back(std::move(*line));
      }
    } catch (const nlohmann::json::exception&) {
      ++story.unreadable;
    }
  }
}

void Order(RequestTimeline& story) {
  std::stable_sort(story.lines.begin(), story.lines.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) {
                     return a.time < b.time;
                   });
}

std::string FindCause(const RequestTimeline& story) {
  if (story.lines.empty()) return "No log has a line of this request.";
  const std::string outcome = LastValue(story, "request_finished", "outcome");
  if (outcome == "served") return DescribeService(story);
  const bool is_refused = outcome == "refused" || outcome.empty();
  if (is_refused && !LastValue(story, "request_refused", "reason").empty()) {
    return DescribeRefusal(story);
  }
  if (outcome.empty()) {
    return "Its end is not logged: the process ended first, or logged less "
           "than "
           "it decided.";
  }
  return DescribeEnd(story, outcome);
}

}  // namespace peridotshelf::logs
