/// The text format of recorded events: one JSON object per line.
#pragma once

#include <string>
#include <string_view>

#include "peridotshelf/history/event.h"

namespace peridotshelf::history {

/// Returns `event` as one line, without a line end. Times are in nanoseconds.
std::string FormatEvent(const HistoryEvent& event);

/// Parses a line written by `FormatEvent`. Returns kInvalidField with a
/// description if the line is malformed.
Result<HistoryEvent> ParseEvent(std::string_view line);

}  // namespace peridotshelf::history
