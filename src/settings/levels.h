/// Names of the log levels in settings.
#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "peridotshelf/events/catalogue.h"

namespace peridotshelf::settings {

inline constexpr std::array<std::pair<std::string_view, events::Level>, 4>
    kLevels = {{
        {"debug", events::Level::kDebug},
        {"info", events::Level::kInfo},
        {"warning", events::Level::kWarning},
        {"error", events::Level::kError},
    }};

}  // namespace peridotshelf::settings
