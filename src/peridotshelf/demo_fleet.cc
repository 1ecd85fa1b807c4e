#include "peridotshelf/demo_fleet.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "peridotshelf/control/record.h"

namespace peridotshelf::program {
namespace {

using nlohmann::json;

constexpr std::string_view kAddress = "127.0.0.1";
constexpr int64_t kEngineMemoryTokens = 400'000;
constexpr int32_t kEngineSlots = 16;
constexpr Duration kPrefillPerToken = std::chrono::microseconds(10);
constexpr Duration kTokenInterval = std::chrono::milliseconds(20);
constexpr Duration kStartTimeout = std::chrono::seconds(15);
constexpr Duration kStartPollInterval = std::chrono::milliseconds(50);
constexpr int kHttpOk = 200;

std::string MakeUrl(uint16_t port) {
  return "http://" + std::string(kAddress) + ":" + std::to_string(port);
}

std::string NumberedName(std::string_view name, size_t number) {
  return std::string(name) + "-" + std::to_string(number);
}

/// Moves a newly created object to `target`, or returns the error.
template <class T>
Result<void> MoveCreated(std::unique_ptr<T>& target,
                         Result<std::unique_ptr<T>> created) {
  if (!created) return tl::unexpected<Error>(created.error());
  target = std::move(*created);
  return {};
}

json MakeConfiguration(const DemoPorts& ports) {
  json engines = json::array();
  json ids = json::array();
  for (size_t i = 0; i < ports.engines.size(); ++i) {
    ids.push_back(NumberedName("engine", i));
    engines.push_back({{"id", NumberedName("engine", i)},
                       {"host", NumberedName("host", i)},
                       {"url", MakeUrl(ports.engines[i])},
                       {"model", kDemoModel},
                       {"memory_tokens", kEngineMemoryTokens},
                       {"slots", kEngineSlots}});
  }
  const json teams = json::array({{{"id", "default"}}, {{"id", "checks"}}});
  const json backend = {
      {"id", "service-0"}, {"host", "host-0"}, {"url", MakeUrl(ports.service)}};
  const json completions = {{"name", "completions"},
                            {"kind", "completions"},
                            {"model", kDemoModel},
                            {"engines", ids},
                            {"teams", teams}};
  const json plain = {{"name", kDemoService},
                      {"kind", "plain"},
                      {"backends", {"service-0"}},
                      {"teams", teams}};
  return {{"engines", engines},
          {"backends", json::array({backend})},
          {"services", json::array({completions, plain})},
          {"presets", json::array({{{"name", "ordinary"}}})},
          {"initial_preset", "ordinary"}};
}

/// Posts `body`; any status other than 200 is an error.
Result<void> Post(http::Client& client, const std::string& url,
                  std::string body) {
  http::ClientRequest request;
  request.method = "POST";
  request.url = url;
  request.body = std::move(body);
  request.timeout = std::chrono::seconds(2);
  const auto response = client.FetchAndWait(std::move(request));
  if (!response) return tl::unexpected<Error>(response.error());
  if (response->status != kHttpOk) {
    return Fail(ErrorCode::kPlatformUnavailable, url + ": " + response->body);
  }
  return {};
}

/// Returns settings with the values that both kinds of daemons have.
template <class Settings>
Settings MakeSettings(const DemoPorts& ports, const std::string& host) {
  Settings settings;
  settings.host = host;
  settings.failure_domain = "local";
  settings.log_url = MakeUrl(ports.log);
  settings.hosts_url = MakeUrl(ports.hosts);
  return settings;
}

}  // namespace

Result<std::unique_ptr<DemoFleet>> DemoFleet::Create(io::IoThreads& threads,
                                                     const DemoPorts& ports) {
  std::unique_ptr<DemoFleet> fleet(new DemoFleet(threads, ports));
  Result<void> result = fleet->StartSimulatedServices();
  if (result) result = fleet->PublishHostList();
  if (result) result = fleet->PublishConfiguration();
  if (result) result = fleet->StartDaemons();
  if (!result) return tl::unexpected<Error>(result.error());
  return fleet;
}

Result<void> DemoFleet::StartSimulatedServices() {
  standin::LogStandinOptions log;
  log.port = m_ports.log;
  Result<void> result =
      MoveCreated(m_log, standin::LogStandin::Create(m_threads, log));
  standin::HostsStandinOptions hosts;
  hosts.port = m_ports.hosts;
  if (result) {
    result =
        MoveCreated(m_hosts, standin::HostsStandin::Create(m_threads, hosts));
  }
  standin::ServiceStandinOptions service;
  service.port = m_ports.service;
  if (result) {
    result = MoveCreated(m_service,
                         standin::ServiceStandin::Create(m_threads, service));
  }
  standin::EngineStandinOptions engine;
  engine.model = kDemoModel;
  engine.memory_tokens = kEngineMemoryTokens;
  engine.slots = kEngineSlots;
  engine.prefill_per_token = kPrefillPerToken;
  engine.token_interval = kTokenInterval;
  for (size_t i = 0; result && i < m_engines.size(); ++i) {
    engine.port = m_ports.engines[i];
    result = MoveCreated(m_engines[i],
                         standin::EngineStandin::Create(m_threads, engine));
  }
  return result;
}

Result<void> DemoFleet::StartDaemons() {
  Result<void> result;
  for (size_t i = 0; result && i < m_sides.size(); ++i) {
    auto settings =
        MakeSettings<settings::SideSettings>(m_ports, NumberedName("host", i));
    settings.port = m_ports.sides[i];
    settings.http_port = 0;
    result = MoveCreated(m_sides[i], SideDaemon::Create(m_threads, settings));
  }
  auto settings = MakeSettings<settings::EntrySettings>(m_ports, "entry-0");
  settings.http_port = m_ports.entry;
  if (result)
    result = MoveCreated(m_entry, EntryDaemon::Create(m_threads, settings));
  return result;
}

Result<void> DemoFleet::PublishHostList() {
  json list = json::array();
  for (size_t i = 0; i < m_ports.sides.size(); ++i) {
    list.push_back({{"host", NumberedName("host", i)},
                    {"role", "side"},
                    {"state", "live"},
                    {"address", kAddress},
                    {"port", m_ports.sides[i]},
                    {"failure_domain", "local"}});
  }
  return Post(m_client, MakeUrl(m_ports.hosts) + "/v1/hosts",
              json{{"hosts", list}}.dump());
}

Result<void> DemoFleet::PublishConfiguration() {
  control::RecordHeader header;
  header.kind = control::RecordKind::kConfig;
  header.change_id = MakeRandomId();
  header.operator_name = "demo";
  return Post(m_client, MakeUrl(m_ports.log) + "/v1/log",
              control::WriteRecord(header, MakeConfiguration(m_ports).dump()));
}

Result<void> DemoFleet::WaitUntilServing() {
  const TimePoint deadline = SteadyClock().Now() + kStartTimeout;
  const json body = {{"model", kDemoModel}, {"prompt", "x"}, {"max_tokens", 1}};
  Result<void> answered;
  do {
    answered = Post(m_client, entry_url() + "/v1/completions", body.dump());
    if (answered) return answered;
    std::this_thread::sleep_for(kStartPollInterval);
  } while (SteadyClock().Now() < deadline);
  return Fail(ErrorCode::kDeadlineExceeded, answered.error().detail);
}

std::string DemoFleet::entry_url() const { return MakeUrl(m_ports.entry); }

}  // namespace peridotshelf::program
