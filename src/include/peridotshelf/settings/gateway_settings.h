/// The settings of `peridotshelf gateway` that do not come from the platform.
#pragma once

#include <string>

#include "peridotshelf/events/catalogue.h"
#include "peridotshelf/settings/schema.h"

namespace peridotshelf::settings {

/// Settings of `peridotshelf gateway`.
struct GatewaySettings {
  /// Path of the settings file that the platform writes.
  std::string config;
  events::Level log_level = events::Level::kInfo;
  /// Share of a service's requests that may be hedged; 0: none.
  double hedge_requests = 0;
  /// Share of a service's engine time that hedges may use; 0: the same as
  /// `hedge_requests`.
  double hedge_engine_time = 0;
};

/// Returns the declared settings of `gateway`.
const Schema<GatewaySettings>& GatewaySchema();

}  // namespace peridotshelf::settings
