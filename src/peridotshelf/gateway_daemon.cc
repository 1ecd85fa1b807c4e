#include "peridotshelf/gateway_daemon.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/discovery/record_follower.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/gateway/gateway.h"
#include "peridotshelf/http/front_server.h"
#include "peridotshelf/metrics/registry.h"
#include "platform/configuration_json.h"
#include "platform/engine_entry.h"
#include "platform/message_codec.h"
#include "platform/store_topic.h"

namespace peridotshelf::program {
namespace {

using deployment::ProcessSettings;
using deployment::StoreTopic;
using discovery::EngineRecord;
using discovery::EngineState;
using discovery::KeyedRecord;
using events::EventId;
using Follower = discovery::RecordFollower<StoreTopic>;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// The configuration comes as soon as it is published; one call waits this
/// long. An answer that is lost shows only when the call times out, and a
/// change must be in force before that is seen by callers.
constexpr Duration kConfigurationWait = std::chrono::milliseconds(1500);
/// Engines' entries change with each heartbeat, so they are polled. Entries
/// tell each other of changes: together they poll at this interval, and each
/// one at the longest interval by itself, well within the time in which a
/// leaving engine may still get requests.
constexpr Duration kEnginePollInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxEnginePollInterval = std::chrono::milliseconds(1400);
/// With peers that tell of new versions, a call for the configuration may wait
/// longer: a lost answer does not go unnoticed.
constexpr Duration kConfigurationWaitWithPeers = std::chrono::seconds(6);
constexpr Duration kTimingInterval = std::chrono::seconds(1);
constexpr Duration kEntryWriteRetry = std::chrono::seconds(1);
/// Part of the limit on unused memory that a reservation lasts without renewal.
constexpr double kHoldShare = 0.85;

discovery::FollowTiming ConfigurationTiming(size_t live_entries) {
  discovery::FollowTiming timing;
  timing.wait =
      live_entries > 1 ? kConfigurationWaitWithPeers : kConfigurationWait;
  return timing;
}

discovery::FollowTiming EngineTiming(size_t live_entries) {
  discovery::FollowTiming timing;
  timing.pause =
      std::min(kMaxEnginePollInterval,
               kEnginePollInterval * static_cast<int64_t>(live_entries));
  return timing;
}

}  // namespace

struct GatewayDaemon::Impl {
  explicit Impl(ProcessSettings given)
      : settings(std::move(given)),
        engines(settings.engine_return_grace),
        entry_topic(settings.store, deployment::kEntryTopic, client),
        configuration_follower(
            threads,
            StoreTopic(settings.store, deployment::kOperatorTopic, client),
            ConfigurationTiming(1), ConfigurationCallbacks()),
        engine_follower(
            threads,
            StoreTopic(settings.store, deployment::kEngineTopic, client),
            EngineTiming(1), EngineCallbacks()) {}

  ~Impl() {
    // Its end waits for the threads.
    operations.reset();
    threads.Stop();
  }

  Result<void> Start();
  discovery::FollowCallbacks ConfigurationCallbacks();
  discovery::FollowCallbacks EngineCallbacks();
  void TakeConfiguration(const std::vector<KeyedRecord>& records);
  void TakeEngine(const KeyedRecord& record);
  void TakeAllEngines(const std::vector<KeyedRecord>& records);
  /// Tells peers how far this entry has read.
  void ShareView();
  /// Reads on at once where a peer knows of something newer.
  void CatchUp(const gateway::RecordsView& peer);
  void AdjustTiming();
  void AnnounceSelf();
  void FindPeers();
  bool IsReady() const;
  void NoteReadiness();
  void AddMetrics();
  void ServeOperations(const http::ServerRequest& request,
                       http::Responder& responder);

  ProcessSettings settings;
  io::IoThreads threads{1};
  http::Client client;
  metrics::Registry registry;
  discovery::EngineDirectory engines;
  scheduling::LoadBoard board;
  StoreTopic entry_topic;
  std::unique_ptr<gateway::PeerExchange> peers;
  std::unique_ptr<gateway::Gateway> gateway;
  std::unique_ptr<http::FrontServer> callers;
  std::unique_ptr<http::FrontServer> readiness;
  std::unique_ptr<http::Server> operations;
  Follower configuration_follower;
  Follower engine_follower;
  bool engines_known = false;
  bool leaving = false;
  bool was_ready = false;
  std::set<std::string> rejected_entries;
};

discovery::FollowCallbacks GatewayDaemon::Impl::ConfigurationCallbacks() {
  discovery::FollowCallbacks callbacks;
  callbacks.on_all = [this](const auto& records) {
    TakeConfiguration(records);
  };
  callbacks.on_changes = callbacks.on_all;
  callbacks.on_lost = [](const Error& error) {
    events::Log(EventId::kRegistryLost, {{"topic", deployment::kOperatorTopic},
                                         {"reason", error.detail}});
  };
  callbacks.on_back = [] {
    events::Log(EventId::kRegistryBack,
                {{"topic", deployment::kOperatorTopic}});
  };
  return callbacks;
}

void GatewayDaemon::Impl::TakeConfiguration(
    const std::vector<KeyedRecord>& records) {
  const KeyedRecord* newest = nullptr;
  for (const KeyedRecord& record : records) {
    if (record.key == deployment::kConfigurationKey && record.value) {
      newest = &record;
    }
  }
  if (newest == nullptr) return;
  auto parsed = deployment::ParseConfiguration(*newest->value);
  if (!parsed) {
    events::Log(EventId::kConfigurationRejected,
                {{"reason", parsed.error().detail}});
    return;
  }
  const auto current = gateway->configuration();
  // An answer that was long on its way must not bring an older version back.
  if (current && parsed->version() <= current->version()) return;
  events::Log(EventId::kConfigurationAdopted,
              {{"config_version", parsed->version()},
               {"before", current ? current->version() : int64_t{0}},
               {"routes", static_cast<int64_t>(parsed->route_count())}});
  callers->SetLimits(parsed->caller_limits());
  gateway->SetConfiguration(
      std::make_shared<const routing::Configuration>(std::move(*parsed)));
  ShareView();
  NoteReadiness();
}

discovery::FollowCallbacks GatewayDaemon::Impl::EngineCallbacks() {
  discovery::FollowCallbacks callbacks;
  callbacks.on_all = [this](const auto& records) { TakeAllEngines(records); };
  callbacks.on_changes = [this](const auto& records) {
    for (const KeyedRecord& record : records) TakeEngine(record);
    engines.Expire(SteadyClock().Now());
    if (!records.empty()) gateway->NoteEnginesChanged();
    ShareView();
  };
  callbacks.on_lost = [this](const Error& error) {
    events::Log(EventId::kRegistryLost, {{"topic", deployment::kEngineTopic},
                                         {"reason", error.detail}});
    engines.NoteRegistryLost();
  };
  callbacks.on_back = [this] {
    events::Log(EventId::kRegistryBack, {{"topic", deployment::kEngineTopic}});
    engines.NoteRegistryBack(SteadyClock().Now());
  };
  return callbacks;
}

void GatewayDaemon::Impl::TakeAllEngines(
    const std::vector<KeyedRecord>& records) {
  std::vector<std::string> ids;
  for (const KeyedRecord& record : records) {
    if (!record.value) continue;
    ids.push_back(record.key);
    TakeEngine(record);
  }
  engines.KeepOnly(ids, SteadyClock().Now());
  engines_known = true;
  gateway->NoteEnginesChanged();
  ShareView();
  NoteReadiness();
}

void GatewayDaemon::Impl::TakeEngine(const KeyedRecord& record) {
  const TimePoint now = SteadyClock().Now();
  const EngineRecord* known = engines.Find(record.key);
  if (!record.value) {
    if (known != nullptr) {
      events::Log(EventId::kEngineGone, {{"engine", known->Key()}});
    }
    engines.Remove(record.key, now);
    return;
  }
  const auto parsed = deployment::ParseEngineEntry(record.key, *record.value);
  if (!parsed) {
    if (rejected_entries.insert(record.key).second) {
      events::Log(EventId::kEngineEntryRejected,
                  {{"id", record.key}, {"reason", parsed.error().detail}});
    }
    engines.Remove(record.key, now);
    return;
  }
  rejected_entries.erase(record.key);
  const bool is_new = known == nullptr || known->Key() != parsed->Key();
  const bool is_leaving = parsed->state == EngineState::kLeaving &&
                          (is_new || known->state != EngineState::kLeaving);
  if (is_new || is_leaving) {
    events::Log(
        is_leaving ? EventId::kEngineLeaving : EventId::kEngineRegistered,
        {{"engine", parsed->Key()},
         {"address", parsed->address},
         {"service", parsed->service}});
  }
  engines.Update(*parsed);
}

void GatewayDaemon::Impl::ShareView() {
  gateway::RecordsView view;
  if (const auto current = gateway->configuration()) {
    view.configuration_version = current->version();
  }
  view.engines_digest = engines.Digest();
  view.engines_offset = engine_follower.next_offset();
  peers->SetView(view);
}

void GatewayDaemon::Impl::CatchUp(const gateway::RecordsView& peer) {
  const auto current = gateway->configuration();
  if (peer.configuration_version > (current ? current->version() : 0)) {
    configuration_follower.Hurry();
  }
  if (peer.engines_offset > engine_follower.next_offset() &&
      peer.engines_digest != engines.Digest()) {
    engine_follower.Hurry();
  }
}

void GatewayDaemon::Impl::AdjustTiming() {
  const size_t live = peers->LiveEntries();
  configuration_follower.SetTiming(ConfigurationTiming(live));
  engine_follower.SetTiming(EngineTiming(live));
  threads.After(kTimingInterval, [this] { AdjustTiming(); });
}

bool GatewayDaemon::Impl::IsReady() const {
  return !leaving && engines_known && gateway->configuration() != nullptr;
}

void GatewayDaemon::Impl::NoteReadiness() {
  const bool ready = IsReady();
  if (std::exchange(was_ready, ready) == ready) return;
  events::Log(EventId::kReadinessChanged,
              {{"ready", ready}, {"leaving", leaving}});
}

void GatewayDaemon::Impl::AnnounceSelf() {
  const std::string address = settings.peers.ToString();
  const nlohmann::json value = {{"address", address},
                                {"host", settings.host.value()}};
  entry_topic.Put(
      settings.host.value(), value.dump(), [this](const Result<void>& done) {
        if (done) return;
        events::Log(EventId::kPlatformCallFailed,
                    {{"call", "announce"}, {"reason", done.error().detail}});
        threads.After(kEntryWriteRetry, [this] { AnnounceSelf(); });
      });
}

void GatewayDaemon::Impl::FindPeers() {
  entry_topic.ReadNewest([this](Result<discovery::RecordPage> page) {
    threads.Post([this, page = std::move(page)] {
      if (!page) {
        events::Log(
            EventId::kPlatformCallFailed,
            {{"call", "find_entries"}, {"reason", page.error().detail}});
        threads.After(kEntryWriteRetry, [this] { FindPeers(); });
        return;
      }
      for (const KeyedRecord& record : page->records) {
        if (!record.value) continue;
        const auto entry =
            nlohmann::json::parse(*record.value, nullptr, /*throw=*/false);
        if (!entry.is_object()) continue;
        peers->AddPeer(entry.value("address", ""));
      }
    });
  });
}

void GatewayDaemon::Impl::AddMetrics() {
  const auto add = [this](const char* name, const char* help,
                          std::function<double()> read) {
    registry.AddReader({name, help, ""}, [read = std::move(read)] {
      return std::vector<metrics::Sample>{{"", read()}};
    });
  };
  const auto age = [](const Follower& follower) {
    const Duration since = SteadyClock().Now() - follower.fresh_at();
    return std::chrono::duration<double>(since).count();
  };
  add("peridotshelf_configuration_version", "The configuration in force.",
      [this] {
        const auto current = gateway->configuration();
        return current ? static_cast<double>(current->version()) : 0;
      });
  add("peridotshelf_configuration_age_seconds",
      "Since the store last answered about the configuration.",
      [this, age] { return age(configuration_follower); });
  add("peridotshelf_engines_known", "Engines that are registered.",
      [this] { return static_cast<double>(engines.size()); });
  add("peridotshelf_engines_age_seconds",
      "Since the store last answered about engines.",
      [this, age] { return age(engine_follower); });
  add("peridotshelf_live_entries", "Entries heard from, this one included.",
      [this] { return static_cast<double>(peers->LiveEntries()); });
  add("peridotshelf_open_requests", "Requests without their final answer.",
      [this] { return static_cast<double>(gateway->RunningCount()); });
  add("peridotshelf_waiting_requests", "Requests that wait for a place.",
      [this] { return static_cast<double>(gateway->WaitingCount()); });
  add("peridotshelf_caller_connections", "Open connections of callers.",
      [this] { return static_cast<double>(callers->counters().open); });
}

void GatewayDaemon::Impl::ServeOperations(const http::ServerRequest& request,
                                          http::Responder& responder) {
  if (request.path == "/metrics") {
    responder.Reply(kOk, {{"Content-Type", std::string(metrics::kContentType)}},
                    registry.Render());
    return;
  }
  responder.Reply(kNotFound, {}, "");
}

Result<void> GatewayDaemon::Impl::Start() {
  gateway::PeerExchangeOptions exchange;
  exchange.own = {settings.peers.ip, settings.peers.port};
  auto made_peers = gateway::PeerExchange::Create(threads, board, exchange);
  if (!made_peers) return tl::unexpected<Error>(made_peers.error());
  peers = std::move(*made_peers);
  gateway::GatewayOptions options;
  options.failure_domain = settings.failure_domain;
  options.repeats = settings.repeats;
  if (settings.memory_release_limit > Duration::zero()) {
    options.reservation_hold = std::chrono::duration_cast<Duration>(
        settings.memory_release_limit * kHoldShare);
  }
  gateway = std::make_unique<gateway::Gateway>(
      threads, client, deployment::PlatformCodec(), engines, board, *peers,
      registry, options);
  auto made_callers = http::FrontServer::Create(
      threads, settings.callers.ip, settings.callers.port,
      [this](const http::ServerRequest& request,
             const http::ResponderPtr& responder) {
        gateway->Handle(request, responder);
      });
  if (!made_callers) return tl::unexpected<Error>(made_callers.error());
  callers = std::move(*made_callers);
  auto made_readiness = http::FrontServer::Create(
      threads, settings.readiness.ip, settings.readiness.port,
      [this](const http::ServerRequest& /*request*/,
             const http::ResponderPtr& responder) {
        responder->Reply(IsReady() ? kOk : kUnavailable, {}, "");
      });
  if (!made_readiness) return tl::unexpected<Error>(made_readiness.error());
  readiness = std::move(*made_readiness);
  if (settings.operations.port != 0) {
    http::ServerOptions where;
    where.address = settings.operations.ip;
    where.port = settings.operations.port;
    auto made =
        http::Server::Create(threads, where,
                             [this](const http::ServerRequest& request,
                                    const http::ResponderPtr& responder) {
                               ServeOperations(request, *responder);
                             });
    if (!made) return tl::unexpected<Error>(made.error());
    operations = std::move(*made);
  }
  threads.Post([this] {
    peers->OnPeerView(
        [this](const gateway::RecordsView& view) { CatchUp(view); });
    AdjustTiming();
  });
  AddMetrics();
  configuration_follower.Start();
  engine_follower.Start();
  AnnounceSelf();
  FindPeers();
  return {};
}

GatewayDaemon::GatewayDaemon(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

GatewayDaemon::~GatewayDaemon() = default;

Result<std::unique_ptr<GatewayDaemon>> GatewayDaemon::Create(
    const ProcessSettings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  const auto started = impl->Start();
  if (!started) return tl::unexpected<Error>(started.error());
  return std::unique_ptr<GatewayDaemon>(new GatewayDaemon(std::move(impl)));
}

void GatewayDaemon::TakeSettings(const ProcessSettings& settings) {
  m_impl->threads.Post([impl = m_impl.get(), repeats = settings.repeats] {
    impl->gateway->SetRepeatLimits(repeats);
  });
}

void GatewayDaemon::StartLeaving() {
  m_impl->threads.Post([impl = m_impl.get()] {
    impl->leaving = true;
    impl->callers->CloseAfterAnswers();
    impl->peers->Leave();
    impl->NoteReadiness();
  });
}

void GatewayDaemon::StopTakingWork() {
  m_impl->threads.Post([impl = m_impl.get()] {
    impl->gateway->RefuseNewStreams();
    impl->callers->CloseIdle();
  });
}

GatewayDaemon::Open GatewayDaemon::CountOpen() const {
  std::promise<Open> counted;
  m_impl->threads.Post([impl = m_impl.get(), &counted] {
    counted.set_value(
        {impl->gateway->RunningCount(), impl->callers->counters().open});
  });
  return counted.get_future().get();
}

void GatewayDaemon::AbortAll() {
  std::promise<void> done;
  m_impl->threads.Post([impl = m_impl.get(), &done] {
    impl->gateway->AbortAll();
    done.set_value();
  });
  done.get_future().get();
}

}  // namespace peridotshelf::program
