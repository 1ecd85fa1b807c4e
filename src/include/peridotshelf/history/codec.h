/// The text form of recorded events: one JSON object a line.
#pragma once

#include <string>
#include <string_view>

#include "peridotshelf/history/event.h"

namespace peridotshelf::history {

/// `event` as one line, without a line end. Times are nanoseconds.
std::string FormatEvent(const HistoryEvent& event);

/// Reads what `FormatEvent` wrote; kBadField says what is wrong.
Result<HistoryEvent> ParseEvent(std::string_view line);

}  // namespace peridotshelf::history
