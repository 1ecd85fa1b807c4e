#include "resumption.h"

#include <strings.h>

#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {
namespace {

/// Returns the media type of a Content-Type, without its parameters.
std::string_view FindMediaType(std::string_view content_type) {
  content_type = content_type.substr(0, content_type.find(';'));
  while (content_type.ends_with(' ')) content_type.remove_suffix(1);
  return content_type;
}

bool HaveSameMediaType(std::string_view a, std::string_view b) {
  a = FindMediaType(a);
  b = FindMediaType(b);
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

void NoteStreamHead(LiveRequest& live, const http::ClientResponseHead& head) {
  Attempt& attempt = *live.attempt;
  attempt.content_type = head.content_type;
  attempt.has_length = head.FindHeader("Content-Length").has_value();
}

bool CanContinueStream(const LiveRequest& live) {
  if (!live.is_head_sent) return true;
  const Attempt& attempt = *live.attempt;
  if (!http::IsSuccess(attempt.head->status)) return true;
  return attempt.head->status == live.stream_status &&
         HaveSameMediaType(attempt.content_type, live.stream_content_type);
}

std::optional<std::string_view> FindEventFault(const LiveRequest& live,
                                               std::optional<int64_t> number,
                                               std::string_view event) {
  if (!number) return "an event has no number";
  const auto last = live.last_event_number;
  if (!last) return std::nullopt;
  if (*number > *last && *number - 1 != *last) return "an event is missing";
  const Attempt& attempt = *live.attempt;
  if (attempt.has_event || !attempt.resumed_after) return std::nullopt;
  if (*number < *attempt.resumed_after) {
    return "the answer does not continue the stream";
  }
  if (IsErrorEvent(event)) return "an error event continues the stream";
  return std::nullopt;
}

void NoteStreamBreak(LiveRequest& live) {
  const Attempt& attempt = *live.attempt;
  if (!attempt.has_event) return;
  if (attempt.events.HasIncompleteEvent() || attempt.has_length) {
    live.is_event_missing = true;
  }
}

bool MayHaveNoEvent(const LiveRequest& live) {
  return live.last_event_number && !live.is_event_missing;
}

}  // namespace peridotshelf::gateway
