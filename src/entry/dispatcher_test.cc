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

/// Longer than any wait that a test expects, shorter than a caller's window.
constexpr Duration kPatience = seconds(20);
constexpr Duration kWindow = seconds(120);

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
  CPPUNIT_TEST(Call_HomeNotConnected_IsRefusedWithProof);
  CPPUNIT_TEST(Call_ConnectionEndsAfterItsStart_IsUnknown);
  CPPUNIT_TEST(Prompt_ConnectionEndsAtReserve_IsRefusedWithProof);
  CPPUNIT_TEST(Completion_UnrepeatableWithKey_IsRefused);
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
          dispatcher->OnOpened(host);
          if (!m_was_opened.exchange(true)) m_opened.set_value();
        },
        [dispatcher](const HostId& host) { dispatcher->OnLost(host); });
    m_dispatcher->SetLinks(m_links);
  }
  void tearDown() override {
    m_links->Update({});
    m_listener.reset();
    m_threads->Stop();
    m_threads.reset();
  }

  void Call_HomeNotConnected_IsRefusedWithProof() {
    const Error error = Answer([this](AnswerCallbacks answer) {
      m_dispatcher->SubmitCall(State(), Call(), std::move(answer));
    });
    CPPUNIT_ASSERT(error.code == ErrorCode::kNoBackend);
    CPPUNIT_ASSERT(error.not_run && error.retry_after);
  }
  void Call_ConnectionEndsAfterItsStart_IsUnknown() {
    // The Resume that follows is not answered either.
    ListenAndCloseAt(
        [](const wire::Frame& f) { return f.__isset.service_call; });
    ServiceRequest call = Call();
    call.terms.timeout = seconds(2);
    const Error error = Answer([&](AnswerCallbacks answer) {
      m_dispatcher->SubmitCall(State(), call, std::move(answer));
    });
    CPPUNIT_ASSERT(!error.not_run);
  }
  void Prompt_ConnectionEndsAtReserve_IsRefusedWithProof() {
    ListenAndCloseAt([](const wire::Frame& f) { return f.__isset.reserve; });
    CompletionRequest request = Prompt();
    const Error error = Answer([&](AnswerCallbacks answer) {
      m_dispatcher->Submit(State(), request, std::move(answer));
    });
    CPPUNIT_ASSERT(error.not_run);
    const auto trace = m_dispatcher->Explain(request.id);
    CPPUNIT_ASSERT(trace && trace->steps.size() >= 3);
  }
  void Completion_UnrepeatableWithKey_IsRefused() {
    CompletionRequest request = Prompt();
    request.terms.unrepeatable = true;
    request.terms.idempotency_key = "k";
    const Error error = Answer([&](AnswerCallbacks answer) {
      m_dispatcher->Submit(State(), request, std::move(answer));
    });
    CPPUNIT_ASSERT(error.code == ErrorCode::kInvalidField && error.not_run);
  }

 private:
  static control::ControlStatePtr State() {
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
  static ServiceRequest Call() {
    ServiceRequest call;
    call.id = RequestId("call");
    call.service = "approvals";
    call.method = "POST";
    call.target = "/sign";
    call.terms.timeout = kWindow;
    call.terms.unrepeatable = true;
    call.terms.idempotency_key = "k";
    return call;
  }
  static CompletionRequest Prompt() {
    CompletionRequest request;
    request.id = RequestId("prompt");
    request.model = "m";
    request.prompt_json = "\"x\"";
    request.prompt_tokens = 1;
    request.max_tokens = 1;
    request.terms.timeout = kWindow;
    return request;
  }
  Result<std::unique_ptr<wire::Listener>> Listen(
      uint16_t port, const wire::ChannelCallbacks& callbacks) {
    return wire::Listener::Create(
        *m_threads, {"127.0.0.1", port}, {},
        [] { return MakeHello(wire::Role::SIDE); }, callbacks);
  }
  /// A side that ends the connection when a frame comes, and answers nothing.
  void ListenAndCloseAt(const std::function<bool(const wire::Frame&)>& ends) {
    wire::ChannelCallbacks callbacks;
    callbacks.on_open = [](const wire::ChannelPtr&) {};
    callbacks.on_frame = [ends](const wire::ChannelPtr& channel,
                                const wire::Frame& frame) {
      if (ends(frame)) {
        channel->Close({ErrorCode::kConnectionLost, "test", false, {}});
      }
    };
    callbacks.on_closed = [](const wire::ChannelPtr&, const Error&) {};
    const uint16_t port = testing::FreePort();
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
    CPPUNIT_ASSERT(m_opened.get_future().wait_for(kPatience) ==
                   std::future_status::ready);
  }
  /// The failure that a request ends in, well before its window does.
  static Error Answer(const std::function<void(AnswerCallbacks)>& submit) {
    auto failed = std::make_shared<std::promise<Error>>();
    AnswerCallbacks answer;
    answer.on_chunk = [](std::string_view) {};
    answer.on_finished = [](const AnswerSummary&) {};
    answer.on_failed = [failed](const Error& error) {
      failed->set_value(error);
    };
    auto future = failed->get_future();
    submit(std::move(answer));
    CPPUNIT_ASSERT(future.wait_for(kPatience) == std::future_status::ready);
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
