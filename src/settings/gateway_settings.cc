#include "peridotshelf/settings/gateway_settings.h"

#include "levels.h"

namespace peridotshelf::settings {
namespace {

constexpr Range<double> kHedgeShare{0, 0.5};

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
      .Real(&S::hedge_requests,
            {"--hedge-requests",
             "Share of a service's requests that may be sent to a second "
             "engine when they take unusually long; 0: none."},
            kHedgeShare, "SHARE")
      .Real(&S::hedge_engine_time,
            {"--hedge-engine-time",
             "Share of a service's engine time that second attempts may use; "
             "0: the same as --hedge-requests."},
            kHedgeShare, "SHARE")
      .Example("peridotshelf gateway --config /etc/peridotshelf/settings.toml");
  return builder.Build();
}

}  // namespace

const Schema<GatewaySettings>& GatewaySchema() {
  static const Schema<GatewaySettings> schema = MakeGatewaySchema();
  return schema;
}

}  // namespace peridotshelf::settings
