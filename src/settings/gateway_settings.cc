#include "peridotshelf/settings/gateway_settings.h"

#include "levels.h"

namespace peridotshelf::settings {
namespace {

Schema<GatewaySettings> MakeGatewaySchema() {
  using S = GatewaySettings;
  SettingsBuilder<S> builder(
      "gateway",
      "Serves callers on the users' platform, with its settings file.");
  builder
      .Text(&S::config,
            {"--config", "Settings file that the platform writes.", true})
      .Choice(&S::log_level, {"--log-level", "Lowest level that is logged."},
              kLevels)
      .Example("peridotshelf gateway --config /etc/peridotshelf/settings.toml");
  return builder.Build();
}

}  // namespace

const Schema<GatewaySettings>& GatewaySchema() {
  static const Schema<GatewaySettings> schema = MakeGatewaySchema();
  return schema;
}

}  // namespace peridotshelf::settings
