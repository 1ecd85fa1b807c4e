#include "peridotshelf/settings/daemon_settings.h"

#include "levels.h"

namespace peridotshelf::settings {
namespace {

constexpr Range<int64_t> kThreads{1, 256};
constexpr Range<int64_t> kDrainDelayMs{0, 600'000};
constexpr Range<int64_t> kTimeoutMs{1, 24 * 3'600'000};
constexpr Range<int64_t> kBodyBytes{1024, int64_t{1} << 30};
constexpr Range<int64_t> kSnapshotMs{1000, 24 * 3'600'000};
constexpr Range<int64_t> kLeaseMs{100, 600'000};

/// Adds the settings that both daemons have.
template <class S>
void AddCommonSettings(SettingsBuilder<S>& builder) {
  builder
      .Name(&S::host, {"--host", "Name of this host in the host list.", true})
      .Name(&S::failure_domain,
            {"--failure-domain", "Failure domain of this host.", true})
      .Address(&S::address, {"--address", "Address to listen on."})
      .Url(&S::log_url,
           {"--log-url", "Base URL of the platform's log service.", true})
      .Url(&S::hosts_url,
           {"--hosts-url", "Base URL of the platform's host list.", true})
      .Milliseconds(&S::snapshot_interval,
                    {"--snapshot-interval-ms",
                     "Time between snapshots in the log; must be well below "
                     "the log's retention period."},
                    kSnapshotMs)
      .Integer(&S::threads, {"--threads", "Threads for sockets and timers."},
               kThreads, "COUNT")
      .Choice(&S::log_level, {"--log-level", "Lowest level that is logged."},
              kLevels);
}

Schema<EntrySettings> MakeEntrySchema() {
  using S = EntrySettings;
  SettingsBuilder<S> builder("entry",
                             "Serves callers and places their requests.");
  AddCommonSettings(builder);
  builder
      .Port(&S::http_port,
            {"--http-port", "Port for callers, health and metrics; 0: any."})
      .Milliseconds(
          &S::drain_delay,
          {"--drain-delay-ms", "Time to keep serving after readiness fails."},
          kDrainDelayMs)
      .Integer(&S::max_body_bytes,
               {"--max-body-bytes", "Largest request body."}, kBodyBytes,
               "BYTES")
      .Milliseconds(&S::read_timeout,
                    {"--read-timeout-ms",
                     "Time allowed for receiving one whole request."},
                    kTimeoutMs)
      .Milliseconds(
          &S::default_timeout,
          {"--default-timeout-ms", "Request timeout if the caller gives none."},
          kTimeoutMs)
      .Milliseconds(
          &S::max_timeout,
          {"--max-timeout-ms", "Longest timeout that a caller may request."},
          kTimeoutMs)
      .Rule("--default-timeout-ms", "at most --max-timeout-ms",
            [](const S& s) { return s.default_timeout <= s.max_timeout; })
      .Example(
          "peridotshelf entry --host entry-1 --failure-domain north "
          "--log-url http://10.0.0.1:9000 --hosts-url http://10.0.0.1:9001");
  return builder.Build();
}

Schema<SideSettings> MakeSideSchema() {
  using S = SideSettings;
  SettingsBuilder<S> builder(
      "side",
      "Controls access to the backend servers of its host and relays answers.");
  AddCommonSettings(builder);
  builder
      .Port(&S::port, {"--port", "Port for connections from entries; 0: any."})
      .Port(&S::http_port,
            {"--http-port", "Port for health and metrics; 0: any."})
      .Milliseconds(
          &S::lease,
          {"--lease-ms",
           "Time that an attempt is kept without contact from its entry."},
          kLeaseMs)
      .Example(
          "peridotshelf side --host gpu-7 --failure-domain north "
          "--log-url http://10.0.0.1:9000 --hosts-url http://10.0.0.1:9001");
  return builder.Build();
}

}  // namespace

const Schema<EntrySettings>& EntrySchema() {
  static const Schema<EntrySettings> schema = MakeEntrySchema();
  return schema;
}

const Schema<SideSettings>& SideSchema() {
  static const Schema<SideSettings> schema = MakeSideSchema();
  return schema;
}

}  // namespace peridotshelf::settings
