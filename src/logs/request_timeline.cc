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
/// Fields that every log line has.
constexpr std::array<std::string_view, 6> kCommonFields = {
    "time", "level", "event", "name", "process", "request"};

std::string FormatDetails(const ordered_json& line) {
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

std::optional<TimelineEntry> ParseLine(const std::string& text,
                                       std::string_view request_id) {
  const auto line = ordered_json::parse(text);
  if (line.value("request", "") != request_id) return std::nullopt;
  TimelineEntry entry;
  entry.time = line.value("time", "");
  entry.process = line.value("process", "");
  entry.event = line.value("name", "");
  entry.details = FormatDetails(line);
  entry.json = text;
  return entry;
}

/// Returns the field `name` of the last `event`; empty if there is none.
std::string LastValue(const RequestTimeline& timeline, std::string_view event,
                      std::string_view name) {
  for (auto entry = timeline.entries.rbegin(); entry != timeline.entries.rend();
       ++entry) {
    if (entry->event != event) continue;
    const auto json = ordered_json::parse(entry->json);
    const auto found = json.find(name);
    if (found == json.end()) return "";
    return found->is_string() ? found->get<std::string>() : found->dump();
  }
  return "";
}

std::string DescribeRefusal(const RequestTimeline& timeline) {
  const std::string reason = LastValue(timeline, "request_refused", "reason");
  const std::string retry_after_s =
      LastValue(timeline, "request_refused", "retry_after_s");
  std::string text = "It was refused without having run: " + reason;
  if (!retry_after_s.empty())
    text += "; the caller was told to retry after " + retry_after_s + " s";
  return text + ".";
}

std::string DescribeFailure(const RequestTimeline& timeline,
                            const std::string& outcome) {
  const std::string engine = LastValue(timeline, "request_finished", "engine");
  const std::string cause = LastValue(timeline, "attempt_failed", "cause");
  if (outcome == "caller_left")
    return "The caller disconnected before the answer was complete.";
  if (outcome == "timed_out") {
    return "Its deadline passed while " + engine + " was still running it.";
  }
  if (outcome == "engine_failure") {
    return "Engine " + engine + " itself answered with an error.";
  }
  if (outcome == "stream_cut") {
    return "Its stream was interrupted: " +
           (cause.empty() ? "deadline exceeded" : cause) + " at " + engine +
           ", and it could not be resumed elsewhere.";
  }
  if (outcome == "lost_at_engine") {
    return "The answer was lost (" + cause + ") at " + engine +
           ", which may have run it, so it was not retried.";
  }
  return "It ended with outcome " + outcome + ".";
}

std::string DescribeServed(const RequestTimeline& timeline) {
  const std::string engine = LastValue(timeline, "request_finished", "engine");
  std::string text = "It was served by " + engine;
  const std::string cause = LastValue(timeline, "attempt_failed", "cause");
  if (!cause.empty()) text += " after a failed attempt (" + cause + ")";
  if (!LastValue(timeline, "stream_paused", "pause_ms").empty()) {
    text += "; a pause of its stream was too long, " +
            LastValue(timeline, "stream_paused", "pause_ms") + " ms, with " +
            LastValue(timeline, "stream_paused", "known_reading_ms") +
            " ms of prefill known at the engine";
  }
  return text + ".";
}

}  // namespace

void AddLog(RequestTimeline& timeline, std::istream& log) {
  for (std::string text; std::getline(log, text);) {
    const size_t begin = text.find(kLineBegin);
    if (begin == std::string::npos) continue;
    // Avoids parsing the lines of other requests, which are the majority.
    if (text.find(timeline.request_id, begin) == std::string::npos) continue;
    try {
      if (auto entry = ParseLine(text.substr(begin), timeline.request_id)) {
        timeline.entries.push_back(std::move(*entry));
      }
    } catch (const nlohmann::json::exception&) {
      ++timeline.malformed_lines;
    }
  }
}

void SortByTime(RequestTimeline& timeline) {
  std::stable_sort(timeline.entries.begin(), timeline.entries.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) {
                     return a.time < b.time;
                   });
}

std::string FindCause(const RequestTimeline& timeline) {
  if (timeline.entries.empty()) return "No log has a line for this request.";
  const std::string outcome =
      LastValue(timeline, "request_finished", "outcome");
  if (outcome == "served") return DescribeServed(timeline);
  const bool is_refused = outcome == "refused" || outcome.empty();
  if (is_refused && !LastValue(timeline, "request_refused", "reason").empty()) {
    return DescribeRefusal(timeline);
  }
  if (outcome.empty()) {
    return "Its end is not logged: the process stopped first, or did not log "
           "all its events.";
  }
  return DescribeFailure(timeline, outcome);
}

}  // namespace peridotshelf::logs
