/// Fixture with a gateway between a caller and scripted engines on loopback.
#pragma once

#include <atomic>
#include <future>
#include <optional>

#include "fake_engine.h"
#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::gateway {

/// Starts a gateway for each test; the tests add the engines.
class GatewayFixture : public CppUnit::TestFixture {
 public:
  /// Retries that one request allows. A process that has just started has only
  /// those that its requests earn.
  static constexpr double kRetryRatio = 200;

  void setUp() override {
    m_threads = std::make_unique<io::IoThreads>(1);
    m_client = std::make_unique<http::Client>();
    m_callers_client = std::make_unique<http::Client>();
    m_registry = std::make_unique<metrics::Registry>();
    m_directory = std::make_unique<discovery::EngineDirectory>(
        discovery::RegistrationTiming{seconds(1), seconds(1)});
    m_active_request_table = std::make_unique<scheduling::ActiveRequestTable>();
    PeerExchangeOptions exchange;
    m_peer_port = testing::FindFreePort();
    exchange.local_address = {"127.0.0.1", m_peer_port};
    // The gateway is alone, and knows it from the start.
    exchange.start_time = Duration::zero();
    m_peers =
        PeerExchange::Create(*m_threads, *m_active_request_table, exchange)
            .value();
    m_options.retry_limits.ratio = kRetryRatio;
    m_gateway = std::make_unique<Gateway>(*m_threads, *m_client, m_codec,
                                          *m_directory, *m_active_request_table,
                                          *m_peers, *m_registry, m_options);
    m_peers->Start();
    m_port = testing::FindFreePort();
    m_front = std::move(*http::FrontServer::Create(
        *m_threads, "127.0.0.1", m_port,
        [this](const ServerRequest& request, const ResponderPtr& responder) {
          m_gateway->Handle(request, responder);
        }));
  }

  void tearDown() override {
    m_callers_client.reset();
    // The gateway cancels the calls of callers that left, so its thread ends
    // before the client does.
    m_threads->Stop();
    m_client.reset();
    m_open_responders.clear();
    m_front.reset();
    m_engines.clear();
    m_gateway.reset();
    m_peers.reset();
    m_threads.reset();
  }

 protected:
  FakeEngine& EngineAt(size_t index) { return *m_engines[index]; }

  void RunOnLoop(const std::function<void()>& action) {
    std::promise<void> done;
    m_threads->Post([&] {
      action();
      done.set_value();
    });
    done.get_future().get();
  }

  void Register(const std::string& id, const std::string& address,
                const std::string& service, int64_t started_unix_ms = 0) {
    RunOnLoop([&] {
      discovery::EngineRecord record;
      record.id = id;
      record.service = service;
      record.address = address;
      record.slots = 4;
      record.started_unix_ms = started_unix_ms;
      m_directory->Update(record);
    });
  }

  void AddEngine(
      std::function<void(const ServerRequest&, const ResponderPtr&)> handler,
      const std::string& service = "calls") {
    auto engine = std::make_unique<FakeEngine>();
    const uint16_t port = testing::FindFreePort();
    engine->address = "127.0.0.1:" + std::to_string(port);
    engine->handler = std::move(handler);
    FakeEngine& added = *engine;
    engine->server = std::move(*http::FrontServer::Create(
        *m_threads, "127.0.0.1", port,
        [&added](const ServerRequest& request, const ResponderPtr& responder) {
          ServeEngine(added, request, responder);
        }));
    Register("engine-" + std::to_string(m_engines.size()), engine->address,
             service);
    m_engines.push_back(std::move(engine));
  }

  /// Reads the registration of the engine with this index anew; it states how
  /// much longer it stays cold.
  void TurnCold(size_t index, Duration cold_left) {
    RunOnLoop([&] {
      m_gateway->NoteRegistration(
          *m_directory->Find("engine-" + std::to_string(index)), cold_left);
    });
  }

  static void ServeEngine(FakeEngine& engine, const ServerRequest& request,
                          const ResponderPtr& responder) {
    // Not one of the requests that engines run and tests count.
    if (request.path == "/identity") {
      responder->Reply(200, {}, "");
      return;
    }
    std::function<void(const ServerRequest&, const ResponderPtr&)> handler;
    {
      std::scoped_lock lock(engine.mutex);
      const std::string id(request.FindQuery("id").value_or(""));
      if (request.path == "/reserve") {
        engine.on_reserve();
        engine.reserved[id] =
            std::stoll(std::string(*request.FindQuery("tokens")));
        responder->Reply(200, engine.order_headers, "");
        return;
      }
      if (request.path == "/release") {
        engine.released.push_back(id);
        responder->Reply(200, {}, "");
        return;
      }
      engine.requests.push_back(request);
      handler = engine.handler;
    }
    handler(request, responder);
  }

  void WaitForReleases(size_t reservations) {
    const TimePoint deadline = SteadyClock().Now() + seconds(2);
    size_t released = 0;
    while (released < reservations && SteadyClock().Now() < deadline) {
      std::this_thread::sleep_for(milliseconds(5));
      released = 0;
      for (const auto& engine : m_engines) {
        std::scoped_lock lock(engine->mutex);
        released += engine->released.size();
      }
    }
    CPPUNIT_ASSERT_EQUAL(reservations, released);
  }

  /// Reports that another entry uses `count` of the four slots of an engine for
  /// `left`. Must be called on the loop thread.
  void OccupySlots(size_t index, size_t count, Duration left = seconds(60)) {
    std::vector<scheduling::ActiveRequest> requests(count);
    for (scheduling::ActiveRequest& request : requests) {
      request.end = SteadyClock().Now() + left;
    }
    m_active_request_table->SetPeerRequests(
        "peer", "engine-" + std::to_string(index) + "@0", requests);
  }

  static routing::Route MakeRoute(const std::string& prefix,
                                  const std::string& service,
                                  routing::RetrySafety retry_safety,
                                  bool resumable = false) {
    routing::Route route;
    route.name = prefix;
    route.host = "host";
    route.path_prefix = prefix;
    route.retry_safety = retry_safety;
    route.resumable = resumable;
    route.max_attempts = 2;
    route.latency_objective = milliseconds(200);
    route.caller_timeout = seconds(2);
    route.services = {{service, 1}};
    return route;
  }

  /// Services limit cold engines to `cold_per_second` requests; 0 for no limit.
  void Configure(double cold_per_second = 0) {
    using routing::RetrySafety;
    routing::Service models;
    models.name = "models";
    routing::EngineSpeed speed;
    speed.slots = 4;
    speed.memory_tokens = 10000;
    speed.step_ms = 0.1;
    speed.prefill_tokens_per_ms = 200;
    models.speed = speed;
    models.cold_requests_per_second = cold_per_second;
    models.cold_time = seconds(3);
    routing::Service calls;
    calls.name = "calls";
    calls.cold_requests_per_second = cold_per_second;
    calls.cold_time = seconds(3);
    auto configuration = std::make_shared<const routing::Configuration>(
        routing::Configuration::Builder()
            .SetVersion(1)
            .AddService(calls)
            .AddService(models)
            .AddRoute(MakeRoute("/call/", "calls", RetrySafety::kIdempotent))
            .AddRoute(MakeRoute("/post/", "calls", RetrySafety::kUnrepeatable))
            .AddRoute(
                MakeRoute("/stream/", "calls", RetrySafety::kStream, true))
            .AddRoute(MakeRoute("/once/", "calls", RetrySafety::kStream))
            .AddRoute(
                MakeRoute("/model/", "models", RetrySafety::kStream, true))
            .AddTeam({TeamId("team"), {"right"}, {}})
            .SetKeysRequired(true)
            .Build());
    RunOnLoop([&] { m_gateway->SetConfiguration(configuration); });
  }

  http::ClientRequest MakeRequest(const std::string& target,
                                  std::vector<Header> headers) const {
    http::ClientRequest request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(m_port) + target;
    request.headers = std::move(headers);
    request.headers.push_back({"Id", "request-1"});
    if (!http::FindHeader(request.headers, "Key")) {
      request.headers.push_back({"Key", "right"});
    }
    request.timeout = seconds(10);
    return request;
  }

  /// Starts a call. Its future yields the body, or nothing if the response was
  /// cut.
  std::future<std::optional<std::string>> StartCall(
      const std::string& target, std::vector<Header> headers = {}) {
    struct PendingResponse {
      std::string body;
      std::promise<std::optional<std::string>> done;
    };
    auto pending = std::make_shared<PendingResponse>();
    http::ClientCallbacks callbacks;
    callbacks.on_head = [](const http::ClientResponseHead&) {};
    callbacks.on_data = [pending](std::string_view data) {
      pending->body.append(data);
    };
    callbacks.on_done = [pending](const Result<int>& outcome) {
      pending->done.set_value(
          outcome ? std::optional<std::string>(pending->body) : std::nullopt);
    };
    m_callers_client->Start(MakeRequest(target, std::move(headers)),
                            std::move(callbacks));
    return pending->done.get_future();
  }

  http::ClientResponse Call(const std::string& target,
                            std::vector<Header> headers = {}) {
    std::promise<void> done;
    http::ClientResponse response;
    http::ClientCallbacks callbacks;
    m_retry_after.clear();
    callbacks.on_head = [&](const http::ClientResponseHead& head) {
      response.status = head.status;
      m_retry_after = head.FindHeader("Retry-After").value_or("");
    };
    callbacks.on_data = [&](std::string_view data) {
      response.body.append(data);
    };
    callbacks.on_done = [&](const Result<int>& outcome) {
      m_call_failed = !outcome.has_value();
      done.set_value();
    };
    m_callers_client->Start(MakeRequest(target, std::move(headers)),
                            std::move(callbacks));
    done.get_future().get();
    return response;
  }

  /// Options and codec of the gateway; changed before `setUp`.
  GatewayOptions m_options;
  MessageCodec m_codec = TestCodec();
  std::unique_ptr<io::IoThreads> m_threads;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<http::Client> m_callers_client;
  std::unique_ptr<metrics::Registry> m_registry;
  std::unique_ptr<discovery::EngineDirectory> m_directory;
  std::unique_ptr<scheduling::ActiveRequestTable> m_active_request_table;
  std::unique_ptr<PeerExchange> m_peers;
  std::unique_ptr<Gateway> m_gateway;
  std::unique_ptr<http::FrontServer> m_front;
  std::vector<std::unique_ptr<FakeEngine>> m_engines;
  std::vector<ResponderPtr> m_open_responders;
  uint16_t m_port = 0;
  uint16_t m_peer_port = 0;
  std::string m_retry_after;
  bool m_call_failed = false;
};

}  // namespace peridotshelf::gateway
