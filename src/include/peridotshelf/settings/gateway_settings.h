/// The settings of `peridotshelf gateway` that do not come from the platform.
#pragma once

#include <string>

#include "peridotshelf/events/catalogue.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::settings {

/// What `peridotshelf gateway` is told.
struct GatewaySettings {
  /// Path of the settings file that the platform writes.
  std::string config;
  events::Level log_level = events::Level::kInfo;
};

/// How `gateway` is configured.
const Schema<GatewaySettings>& GatewaySchema();

}  // namespace peridotshelf::settings
