/// Helpers shared by the readers of records and snapshots.
#pragma once

#include <string>
#include <string_view>

#include "control/json_fields.h"
#include "peridotshelf/control/configuration.h"

namespace peridotshelf::control::detail {

/// The record envelope adds two levels around a document.
inline constexpr int kMaxRecordDepth = kMaxDocumentDepth + 2;
inline constexpr Range<int64_t> kOffsets{0, INT64_MAX};

/// Parses `text`. Returns a discarded value if it is malformed or nests too
/// deeply.
inline nlohmann::json ParseBounded(std::string_view text) {
  if (!NestsAtMost(text, kMaxRecordDepth)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, false);
}

/// Returns the preset named `name`, or null.
inline const Preset* FindPreset(const Configuration& configuration,
                                const std::string& name) {
  for (const Preset& preset : configuration.presets) {
    if (preset.name == name) return &preset;
  }
  return nullptr;
}

}  // namespace peridotshelf::control::detail
