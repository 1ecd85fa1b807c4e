#include "entry/dispatcher.h"

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::entry {
namespace {

using std::chrono::seconds;

/// Longer than any expected wait, shorter than the caller timeout.
constexpr Duration kTestTimeout = seconds(20);
constexpr Duration kCallerTimeout = seconds(120);

wire::Hello MakeHello(wire::Role::type role) {
  wire::Hello hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.process_id = "process";
  hello.host = "h0";
  hello.role = role;
  return hello;
}

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(Call_KeyOwnerNotConnected_IsRefusedAsNotRun);
  CPPUNIT_TEST(Call_ConnectionLostAfterStart_HasUnknownOutcome);
  CPPUNIT_TEST(Prompt_ConnectionLostAtReserve_IsRefusedAsNotRun);
  CPPUNIT_TEST(Completion_UnrepeatableWithKey_IsRefusedAsNotRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_threads = std::make_unique<io::IoThreads>(2);
    m_dispatcher =
        std::make_shared<Dispatcher>(*m_threads, FailureDomain("north"));
    auto dispatcher = m_dispatcher;
    m_links = std::make_shared<SideLinks>(
        *m_threads, wire::ChannelOptions{},
        [] { return MakeHello(wire::Role::ENTRY); },
        [dispatcher](const HostId& host, wire::Frame frame) {
          dispatcher->OnFrame(host, std::move(frame));
        },
        [this, dispatcher](const HostId& host) {
          dispatcher->OnConnectionOpened(host);
          if (!m_was_opened.exchange(true)) m_opened.set_value();
        },
        [dispatcher](const HostId& host) {
          dispatcher->OnConnectionLost(host);
        });
    m_dispatcher->SetLinks(m_links);
  }
  void tearDown() override {
    m_links->Update({});
    m_listener.reset();
    m_threads->Stop();
    m_threads.reset();
  }

  void Call_KeyOwnerNotConnected_IsRefusedAsNotRun() {
    const Error error = SubmitAndGetError([this](AnswerCallbacks answer) {
      m_dispatcher->SubmitCall(MakeState(), MakeCall(), std::move(answer));
    });
    CPPUNIT_ASSERT(error.code == ErrorCode::kNoBackend);
    CPPUNIT_ASSERT(error.not_run && error.retry_after);
  }
  void Call_ConnectionLostAfterStart_HasUnknownOutcome() {
    // The side does not answer the Resume that follows either.
    ListenAndCloseOn(
        [](const wire::Frame& f) { return f.__isset.service_call; });
    ServiceRequest call = MakeCall();
    call.options.timeout = seconds(2);
    const Error error = SubmitAndGetError([&](AnswerCallbacks answer) {
      m_dispatcher->SubmitCall(MakeState(), call, std::move(answer));
    });
    CPPUNIT_ASSERT(!error.not_run);
  }
  void Prompt_ConnectionLostAtReserve_IsRefusedAsNotRun() {
    ListenAndCloseOn([](const wire::Frame& f) { return f.__isset.reserve; });
    CompletionRequest request = MakePrompt();
    const Error error = SubmitAndGetError([&](AnswerCallbacks answer) {
      m_dispatcher->Submit(MakeState(), request, std::move(answer));
    });
    CPPUNIT_ASSERT(error.not_run);
    const auto trace = m_dispatcher->FindTrace(request.id);
    CPPUNIT_ASSERT(trace && trace->steps.size() >= 3);
  }
  void Completion_UnrepeatableWithKey_IsRefusedAsNotRun() {
    CompletionRequest request = MakePrompt();
    request.options.unrepeatable = true;
    request.options.idempotency_key = "k";
    const Error error = SubmitAndGetError([&](AnswerCallbacks answer) {
      m_dispatcher->Submit(MakeState(), request, std::move(answer));
    });
    CPPUNIT_ASSERT(error.code == ErrorCode::kInvalidField && error.not_run);
  }

 private:
  static control::ControlStatePtr MakeState() {
    auto configuration = std::make_shared<control::Configuration>();
    control::EngineConfig engine;
    engine.id = EngineId("e0");
    engine.host = HostId("h0");
    engine.model = "m";
    engine.memory_tokens = 100'000;
    engine.slots = 8;
    configuration->engines.push_back(engine);
    configuration->backends.push_back({"b0", HostId("h0"), "http://unused"});
    control::ServiceConfig service;
    service.name = "approvals";
    service.kind = control::ServiceKind::kPlain;
    service.backends.emplace_back("b0");
    configuration->services.push_back(service);
    auto state = std::make_shared<control::ControlState>();
    state->version = 1;
    state->configuration = configuration;
    return state;
  }
  static ServiceRequest MakeCall() {
    ServiceRequest call;
    call.id = RequestId("call");
    call.service = "approvals";
    call.method = "POST";
    call.target = "/sign";
    call.options.timeout = kCallerTimeout;
    call.options.unrepeatable = true;
    call.options.idempotency_key = "k";
    return call;
  }
  static CompletionRequest MakePrompt() {
    CompletionRequest request;
    request.id = RequestId("prompt");
    request.model = "m";
    request.prompt_json = "\"x\"";
    request.prompt_tokens = 1;
    request.max_tokens = 1;
    request.options.timeout = kCallerTimeout;
    return request;
  }
  Result<std::unique_ptr<wire::Listener>> Listen(
      uint16_t port, const wire::ChannelCallbacks& callbacks) {
    return wire::Listener::Create(
        *m_threads, {"127.0.0.1", port}, {},
        [] { return MakeHello(wire::Role::SIDE); }, callbacks);
  }
  /// Starts a side that closes the connection at the first frame for which
  /// `is_last_frame` returns true, and answers no frame.
  void ListenAndCloseOn(
      const std::function<bool(const wire::Frame&)>& is_last_frame) {
    wire::ChannelCallbacks callbacks;
    callbacks.on_open = [](const wire::ChannelPtr&) {};
    callbacks.on_frame = [is_last_frame](const wire::ChannelPtr& channel,
                                         const wire::Frame& frame) {
      if (is_last_frame(frame)) {
        channel->Close({ErrorCode::kConnectionLost, "test", false, {}});
      }
    };
    callbacks.on_closed = [](const wire::ChannelPtr&, const Error&) {};
    const uint16_t port = testing::FindFreePort();
    auto listener = Listen(port, callbacks);
    CPPUNIT_ASSERT(listener.has_value());
    m_listener = std::move(*listener);
    platform::HostEntry host;
    host.host = HostId("h0");
    host.address = "127.0.0.1";
    host.port = port;
    host.failure_domain = FailureDomain("north");
    const std::vector<platform::HostEntry> hosts = {host};
    m_dispatcher->UpdateHosts(hosts);
    m_links->Update(hosts);
    CPPUNIT_ASSERT(m_opened.get_future().wait_for(kTestTimeout) ==
                   std::future_status::ready);
  }
  /// Returns the error that ends a request within `kTestTimeout`, well before
  /// the caller timeout.
  static Error SubmitAndGetError(
      const std::function<void(AnswerCallbacks)>& submit) {
    auto failed = std::make_shared<std::promise<Error>>();
    AnswerCallbacks answer;
    answer.on_chunk = [](std::string_view) {};
    answer.on_finished = [](const AnswerSummary&) {};
    answer.on_failed = [failed](const Error& error) {
      failed->set_value(error);
    };
    auto future = failed->get_future();
    submit(std::move(answer));
    CPPUNIT_ASSERT(future.wait_for(kTestTimeout) == std::future_status::ready);
    return future.get();
  }

  std::unique_ptr<io::IoThreads> m_threads;
  std::shared_ptr<Dispatcher> m_dispatcher;
  std::shared_ptr<SideLinks> m_links;
  std::unique_ptr<wire::Listener> m_listener;
  std::promise<void> m_opened;
  std::atomic<bool> m_was_opened{false};
};
CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace
}  // namespace peridotshelf::entry
