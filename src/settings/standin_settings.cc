#include "peridotshelf/settings/standin_settings.h"

namespace peridotshelf::settings {
namespace {

constexpr Range<int64_t> kTokens{1, 1'000'000'000};
constexpr Range<int64_t> kSlots{1, 4096};
constexpr Range<int64_t> kRate{0, 1'000'000'000};
constexpr Range<int64_t> kDelayMs{0, 600'000};
constexpr Range<int64_t> kRecords{1, 100'000'000};

/// Adds the settings of the history that a simulated service records.
template <class S>
void AddHistorySettings(SettingsBuilder<S>& builder) {
  builder.Name(&S::name, {"--name", "Name in the history."})
      .Text(&S::history,
            {"--history", "File to append the history to, or none."});
}

/// Adds the settings of the listening socket.
template <class S>
void AddListenerSettings(SettingsBuilder<S>& builder) {
  builder.Address(&S::address, {"--address", "Address to listen on."})
      .Port(&S::port, {"--port", "Port to listen on; 0: any."});
}

Schema<EngineStandinSettings> MakeEngineSchema() {
  using S = EngineStandinSettings;
  SettingsBuilder<S> builder("standin engine",
                             "Simulates a model engine for tests.");
  AddListenerSettings(builder);
  builder.Name(&S::model, {"--model", "Model that is served."})
      .Integer(&S::memory_tokens,
               {"--memory-tokens", "Size of the KV-cache memory."}, kTokens,
               "TOKENS")
      .Integer(&S::slots,
               {"--slots", "Batch slots: streams that run at the same time."},
               kSlots, "COUNT")
      .Integer(
          &S::prefill_tokens_per_second,
          {"--prefill-tokens-per-second",
           "Prompt tokens prefilled per second; 0: prefill takes no time."},
          kRate, "TOKENS")
      .Milliseconds(
          &S::chunk_interval,
          {"--chunk-interval-ms", "Time between two chunks of an answer."},
          kDelayMs)
      .Switch(
          &S::checks_fencing,
          {"--checks-fencing", "Refuse requests with an older fencing number."})
      .Example("peridotshelf standin engine --port 9100");
  AddHistorySettings(builder);
  return builder.Build();
}

Schema<ServiceStandinSettings> MakeServiceSchema() {
  using S = ServiceStandinSettings;
  SettingsBuilder<S> builder("standin service",
                             "Simulates a plain service for tests.");
  AddListenerSettings(builder);
  builder
      .Milliseconds(&S::delay, {"--delay-ms", "Time before each answer."},
                    kDelayMs)
      .Example("peridotshelf standin service --port 9200");
  AddHistorySettings(builder);
  return builder.Build();
}

Schema<LogStandinSettings> MakeLogSchema() {
  using S = LogStandinSettings;
  SettingsBuilder<S> builder("standin log",
                             "Simulates the platform's log for tests.");
  AddListenerSettings(builder);
  builder
      .Integer(
          &S::max_records,
          {"--max-records", "Number of records kept; older records expire."},
          kRecords, "COUNT")
      .Integer(&S::appends_per_second,
               {"--appends-per-second", "Appends accepted per second."}, kRate,
               "COUNT")
      .Example("peridotshelf standin log --port 9000");
  return builder.Build();
}

Schema<HostsStandinSettings> MakeHostsSchema() {
  using S = HostsStandinSettings;
  SettingsBuilder<S> builder("standin hosts",
                             "Simulates the platform's host list for tests.");
  AddListenerSettings(builder);
  builder
      .Milliseconds(&S::lag, {"--lag-ms", "Age of the returned list."},
                    kDelayMs)
      .Example("peridotshelf standin hosts --port 9001");
  return builder.Build();
}

Schema<RelaySettings> MakeRelaySchema() {
  using S = RelaySettings;
  SettingsBuilder<S> builder(
      "standin relay", "Forwards connections; delays or cuts them on command.");
  AddListenerSettings(builder);
  builder
      .Address(&S::target_address,
               {"--target-address", "Address to forward to."})
      .Port(&S::target_port, {"--target-port", "Port to forward to.", true})
      .Port(&S::control_port,
            {"--control-port", "Port of the control interface.", true})
      .Example(
          "peridotshelf standin relay --port 9300 --target-port 7400 "
          "--control-port 9301");
  return builder.Build();
}

}  // namespace

const Schema<EngineStandinSettings>& EngineStandinSchema() {
  static const Schema<EngineStandinSettings> schema = MakeEngineSchema();
  return schema;
}

const Schema<ServiceStandinSettings>& ServiceStandinSchema() {
  static const Schema<ServiceStandinSettings> schema = MakeServiceSchema();
  return schema;
}

const Schema<LogStandinSettings>& LogStandinSchema() {
  static const Schema<LogStandinSettings> schema = MakeLogSchema();
  return schema;
}

const Schema<HostsStandinSettings>& HostsStandinSchema() {
  static const Schema<HostsStandinSettings> schema = MakeHostsSchema();
  return schema;
}

const Schema<RelaySettings>& RelaySchema() {
  static const Schema<RelaySettings> schema = MakeRelaySchema();
  return schema;
}

}  // namespace peridotshelf::settings
