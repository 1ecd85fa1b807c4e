#include "peridotshelf/gateway_daemon.h"

#include <future>
#include <utility>

#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/events/guard.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/gateway/gateway.h"
#include "peridotshelf/http/front_server.h"
#include "peridotshelf/http/status.h"
#include "peridotshelf/metrics/registry.h"
#include "peridotshelf/store_follower.h"
#include "platform/message_codec.h"

namespace peridotshelf::program {
namespace {

using deployment::ProcessSettings;
using events::EventId;

/// Time to live of a reservation that is not renewed, as a fraction of the
/// limit on keeping unused memory allocated.
constexpr double kReservationTtlFraction = 0.85;
/// Bodies may use the memory limit divided by this. The rest is for
/// connections, copies of bodies that are being forwarded, and all other state.
constexpr size_t kBodyMemoryDivisor = 2;

std::shared_ptr<http::HeldBytes> MakeHeldBytes(
    const ProcessSettings& settings) {
  if (!settings.memory_limit_bytes) return std::make_shared<http::HeldBytes>();
  return std::make_shared<http::HeldBytes>(*settings.memory_limit_bytes /
                                           kBodyMemoryDivisor);
}

}  // namespace

struct GatewayDaemon::Impl {
  Impl(ProcessSettings process_settings,
       const scheduling::HedgeOptions& hedge_options)
      : settings(std::move(process_settings)),
        hedging(hedge_options),
        held_bytes(MakeHeldBytes(settings)),
        engines(settings.registrations) {}

  ~Impl() {
    // Destroying the server waits for the threads, so they must still run.
    operations_server.reset();
    threads.Stop();
  }

  Result<void> Start();
  bool IsReady() const;
  void NoteReadiness();
  void AddMetrics();
  void ServeOperations(const http::ServerRequest& request,
                       http::Responder& responder);

  ProcessSettings settings;
  scheduling::HedgeOptions hedging;
  std::shared_ptr<http::HeldBytes> held_bytes;
  io::IoThreads threads{1};
  http::Client client;
  metrics::Registry registry;
  discovery::EngineDirectory engines;
  scheduling::ActiveRequestTable active_request_table;
  std::unique_ptr<gateway::PeerExchange> peers;
  std::unique_ptr<gateway::Gateway> gateway;
  std::unique_ptr<http::FrontServer> caller_server;
  std::unique_ptr<http::FrontServer> readiness_server;
  std::unique_ptr<http::Server> operations_server;
  std::unique_ptr<StoreFollower> store_follower;
  bool is_leaving = false;
  bool was_ready = false;
};

bool GatewayDaemon::Impl::IsReady() const {
  return !is_leaving && store_follower->IsComplete();
}

void GatewayDaemon::Impl::NoteReadiness() {
  const bool ready = IsReady();
  if (std::exchange(was_ready, ready) == ready) return;
  events::Log(EventId::kReadinessChanged,
              {{"ready", ready}, {"leaving", is_leaving}});
}

void GatewayDaemon::Impl::AddMetrics() {
  const auto add = [this](const char* name, const char* help,
                          std::function<double()> read) {
    registry.AddCallbackGauge({name, help, ""}, [read = std::move(read)] {
      return std::vector<metrics::Sample>{{"", read()}};
    });
  };
  const auto to_seconds = [](Duration span) {
    return std::chrono::duration<double>(span).count();
  };
  add("peridotshelf_configuration_version", "The configuration in force.",
      [this] {
        const auto& current = store_follower->configuration();
        return current ? static_cast<double>(current->version()) : 0;
      });
  add("peridotshelf_configuration_age_seconds",
      "Since the store last answered about the configuration.",
      [this, to_seconds] {
        return to_seconds(store_follower->ConfigurationAge());
      });
  add("peridotshelf_evacuated_domains",
      "Failure domains whose engines get no further requests.", [this] {
        return static_cast<double>(store_follower->CountEvacuatedDomains());
      });
  add("peridotshelf_engines_known", "Engines that are registered.",
      [this] { return static_cast<double>(engines.size()); });
  add("peridotshelf_engines_age_seconds",
      "Since the store last answered about engines.",
      [this, to_seconds] { return to_seconds(store_follower->EnginesAge()); });
  add("peridotshelf_live_entries", "Entries heard from, this one included.",
      [this] { return static_cast<double>(peers->CountLiveEntries()); });
  add("peridotshelf_limit_part",
      "Which part of the slack of retries this entry may use.",
      [this] { return peers->LimitPart(); });
  add("peridotshelf_open_requests", "Requests without their final answer.",
      [this] { return static_cast<double>(gateway->CountRunning()); });
  add("peridotshelf_waiting_requests", "Requests that wait for a place.",
      [this] { return static_cast<double>(gateway->CountQueued()); });
  add("peridotshelf_quarantined_suspects",
      "Prompt parts and requests that are rejected, since engines crashed.",
      [this] { return static_cast<double>(gateway->CountQuarantined()); });
  add("peridotshelf_cold_engines", "Engines that are cold.",
      [this] { return static_cast<double>(gateway->CountCold()); });
  add("peridotshelf_rejected_requests",
      "Requests rejected as they arrived: malformed, too large, too slow.",
      [this] {
        return static_cast<double>(caller_server->counters().rejected);
      });
  add("peridotshelf_rejected_bodies",
      "Requests rejected since the bodies held exceed their limit.", [this] {
        return static_cast<double>(caller_server->counters().rejected_bodies);
      });
  add("peridotshelf_held_body_bytes",
      "Bytes of the bodies and collected answers that are held.",
      [this] { return static_cast<double>(held_bytes->bytes()); });
  add("peridotshelf_exceptions_caught",
      "Exceptions that ended one request or task (event 106).",
      [] { return static_cast<double>(events::CountExceptions()); });
  add("peridotshelf_caller_connections", "Open connections of callers.",
      [this] { return static_cast<double>(caller_server->counters().open); });
}

void GatewayDaemon::Impl::ServeOperations(const http::ServerRequest& request,
                                          http::Responder& responder) {
  if (request.path == "/metrics") {
    responder.Reply(http::kOk,
                    {{"Content-Type", std::string(metrics::kContentType)}},
                    registry.Render());
    return;
  }
  responder.Reply(http::kNotFound, {}, "");
}

Result<void> GatewayDaemon::Impl::Start() {
  gateway::PeerExchangeOptions exchange_options;
  exchange_options.local_address = {settings.peers.ip, settings.peers.port};
  auto created_peers = gateway::PeerExchange::Create(
      threads, active_request_table, exchange_options);
  if (!created_peers) return tl::unexpected<Error>(created_peers.error());
  peers = std::move(*created_peers);
  gateway::GatewayOptions options;
  options.failure_domain = settings.failure_domain;
  options.regions = settings.regions;
  options.retry_limits = settings.retry_limits;
  options.cold_bound = settings.cold_bound;
  options.hedging = hedging;
  options.held_bytes = held_bytes;
  if (settings.memory_release_limit > Duration::zero()) {
    options.reservation_ttl = std::chrono::duration_cast<Duration>(
        settings.memory_release_limit * kReservationTtlFraction);
  }
  gateway = std::make_unique<gateway::Gateway>(
      threads, client, deployment::MakePlatformCodec(), engines,
      active_request_table, *peers, registry, options);
  auto created_caller_server = http::FrontServer::Create(
      threads, settings.callers.ip, settings.callers.port,
      [this](const http::ServerRequest& request,
             const http::ResponderPtr& responder) {
        gateway->Handle(request, responder);
      });
  if (!created_caller_server)
    return tl::unexpected<Error>(created_caller_server.error());
  caller_server = std::move(*created_caller_server);
  threads.Post([this] { caller_server->SetHeldBytes(held_bytes); });
  StoreCallbacks callbacks;
  callbacks.on_configuration =
      [this](const std::shared_ptr<const routing::Configuration>& newest) {
        caller_server->SetLimits(newest->caller_limits());
        gateway->SetConfiguration(newest);
        NoteReadiness();
      };
  callbacks.on_registration = [this](const discovery::EngineRecord& record,
                                     std::optional<Duration> cold_left) {
    gateway->NoteRegistration(record, cold_left);
  };
  callbacks.on_engines = [this] {
    gateway->NoteEnginesChanged();
    NoteReadiness();
  };
  callbacks.on_evacuations = [this] { gateway->NoteEnginesChanged(); };
  store_follower = std::make_unique<StoreFollower>(
      threads, client, settings, *peers, engines, std::move(callbacks));
  auto created_readiness_server = http::FrontServer::Create(
      threads, settings.readiness.ip, settings.readiness.port,
      [this](const http::ServerRequest& /*request*/,
             const http::ResponderPtr& responder) {
        responder->Reply(IsReady() ? http::kOk : http::kUnavailable, {}, "");
      });
  if (!created_readiness_server)
    return tl::unexpected<Error>(created_readiness_server.error());
  readiness_server = std::move(*created_readiness_server);
  if (settings.operations.port != 0) {
    http::ServerOptions server_options;
    server_options.address = settings.operations.ip;
    server_options.port = settings.operations.port;
    auto created =
        http::Server::Create(threads, server_options,
                             [this](const http::ServerRequest& request,
                                    const http::ResponderPtr& responder) {
                               ServeOperations(request, *responder);
                             });
    if (!created) return tl::unexpected<Error>(created.error());
    operations_server = std::move(*created);
  }
  AddMetrics();
  peers->Start();
  threads.Post([this] { store_follower->Start(); });
  return {};
}

GatewayDaemon::GatewayDaemon(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

GatewayDaemon::~GatewayDaemon() = default;

Result<std::unique_ptr<GatewayDaemon>> GatewayDaemon::Create(
    const ProcessSettings& settings, const scheduling::HedgeOptions& hedging) {
  auto impl = std::make_unique<Impl>(settings, hedging);
  const auto started = impl->Start();
  if (!started) return tl::unexpected<Error>(started.error());
  return std::unique_ptr<GatewayDaemon>(new GatewayDaemon(std::move(impl)));
}

void GatewayDaemon::ApplySettings(const ProcessSettings& settings) {
  m_impl->threads.Post([impl = m_impl.get(),
                        retry_limits = settings.retry_limits,
                        regions = settings.regions] {
    impl->gateway->SetRetryLimits(retry_limits);
    impl->gateway->SetRegions(regions);
  });
}

void GatewayDaemon::StartLeaving() {
  m_impl->threads.Post([impl = m_impl.get()] {
    impl->is_leaving = true;
    impl->caller_server->CloseAfterAnswers();
    impl->NoteReadiness();
  });
}

void GatewayDaemon::RefuseLongWork(TimePoint end) {
  m_impl->threads.Post([impl = m_impl.get(), end] {
    impl->gateway->RefuseLongRequests(end);
    impl->caller_server->CloseIdle();
  });
}

GatewayDaemon::OpenCounts GatewayDaemon::CountOpen() const {
  std::promise<OpenCounts> counted;
  m_impl->threads.Post([impl = m_impl.get(), &counted] {
    counted.set_value(
        {impl->gateway->CountRunning(), impl->caller_server->counters().open});
  });
  return counted.get_future().get();
}

void GatewayDaemon::RefuseAllNewWork() {
  m_impl->threads.Post(
      [impl = m_impl.get()] { impl->gateway->RefuseNewRequests(); });
}

void GatewayDaemon::Shutdown() {
  std::promise<void> done;
  m_impl->threads.Post([impl = m_impl.get(), &done] {
    impl->gateway->RefuseNewRequests();
    impl->caller_server->Shutdown();
    impl->gateway->AbortAll();
    done.set_value();
  });
  done.get_future().get();
}

}  // namespace peridotshelf::program
