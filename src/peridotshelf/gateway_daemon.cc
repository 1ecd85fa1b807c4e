#include "peridotshelf/gateway_daemon.h"

#include <future>
#include <utility>

#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/gateway/gateway.h"
#include "peridotshelf/http/front_server.h"
#include "peridotshelf/http/status.h"
#include "peridotshelf/metrics/registry.h"
#include "peridotshelf/store_following.h"
#include "platform/message_codec.h"

namespace peridotshelf::program {
namespace {

using deployment::ProcessSettings;
using events::EventId;

/// Part of the limit on unused memory that a reservation lasts without renewal.
constexpr double kHoldShare = 0.85;

}  // namespace

struct GatewayDaemon::Impl {
  explicit Impl(ProcessSettings given)
      : settings(std::move(given)), engines(settings.engine_return_grace) {}

  ~Impl() {
    // Its end waits for the threads.
    operations.reset();
    threads.Stop();
  }

  Result<void> Start();
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
  scheduling::ActiveRequestTable active_request_table;
  std::unique_ptr<gateway::PeerExchange> peers;
  std::unique_ptr<gateway::Gateway> gateway;
  std::unique_ptr<http::FrontServer> callers;
  std::unique_ptr<http::FrontServer> readiness;
  std::unique_ptr<http::Server> operations;
  std::unique_ptr<StoreFollowing> store;
  bool leaving = false;
  bool was_ready = false;
};

bool GatewayDaemon::Impl::IsReady() const {
  return !leaving && store->IsComplete();
}

void GatewayDaemon::Impl::NoteReadiness() {
  const bool ready = IsReady();
  if (std::exchange(was_ready, ready) == ready) return;
  events::Log(EventId::kReadinessChanged,
              {{"ready", ready}, {"leaving", leaving}});
}

void GatewayDaemon::Impl::AddMetrics() {
  const auto add = [this](const char* name, const char* help,
                          std::function<double()> read) {
    registry.AddReader({name, help, ""}, [read = std::move(read)] {
      return std::vector<metrics::Sample>{{"", read()}};
    });
  };
  const auto seconds = [](Duration span) {
    return std::chrono::duration<double>(span).count();
  };
  add("peridotshelf_configuration_version", "The configuration in force.",
      [this] {
        const auto& current = store->configuration();
        return current ? static_cast<double>(current->version()) : 0;
      });
  add("peridotshelf_configuration_age_seconds",
      "Since the store last answered about the configuration.",
      [this, seconds] { return seconds(store->ConfigurationAge()); });
  add("peridotshelf_engines_known", "Engines that are registered.",
      [this] { return static_cast<double>(engines.size()); });
  add("peridotshelf_engines_age_seconds",
      "Since the store last answered about engines.",
      [this, seconds] { return seconds(store->EnginesAge()); });
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
    responder.Reply(http::kOk,
                    {{"Content-Type", std::string(metrics::kContentType)}},
                    registry.Render());
    return;
  }
  responder.Reply(http::kNotFound, {}, "");
}

Result<void> GatewayDaemon::Impl::Start() {
  gateway::PeerExchangeOptions exchange;
  exchange.own = {settings.peers.ip, settings.peers.port};
  auto made_peers =
      gateway::PeerExchange::Create(threads, active_request_table, exchange);
  if (!made_peers) return tl::unexpected<Error>(made_peers.error());
  peers = std::move(*made_peers);
  gateway::GatewayOptions options;
  options.failure_domain = settings.failure_domain;
  options.repeats = settings.repeats;
  if (settings.memory_release_limit > Duration::zero()) {
    options.reservation_ttl = std::chrono::duration_cast<Duration>(
        settings.memory_release_limit * kHoldShare);
  }
  gateway = std::make_unique<gateway::Gateway>(
      threads, client, deployment::PlatformCodec(), engines,
      active_request_table, *peers, registry, options);
  auto made_callers = http::FrontServer::Create(
      threads, settings.callers.ip, settings.callers.port,
      [this](const http::ServerRequest& request,
             const http::ResponderPtr& responder) {
        gateway->Handle(request, responder);
      });
  if (!made_callers) return tl::unexpected<Error>(made_callers.error());
  callers = std::move(*made_callers);
  StoreCallbacks callbacks;
  callbacks.on_configuration =
      [this](const std::shared_ptr<const routing::Configuration>& newest) {
        callers->SetLimits(newest->caller_limits());
        gateway->SetConfiguration(newest);
        NoteReadiness();
      };
  callbacks.on_engines = [this] {
    gateway->NoteEnginesChanged();
    NoteReadiness();
  };
  store = std::make_unique<StoreFollowing>(threads, client, settings, *peers,
                                           engines, std::move(callbacks));
  auto made_readiness = http::FrontServer::Create(
      threads, settings.readiness.ip, settings.readiness.port,
      [this](const http::ServerRequest& /*request*/,
             const http::ResponderPtr& responder) {
        responder->Reply(IsReady() ? http::kOk : http::kUnavailable, {}, "");
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
  AddMetrics();
  threads.Post([this] { store->Start(); });
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
    impl->gateway->SetRetryLimits(repeats);
  });
}

void GatewayDaemon::StartLeaving() {
  m_impl->threads.Post([impl = m_impl.get()] {
    impl->leaving = true;
    impl->callers->CloseAfterAnswers();
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
