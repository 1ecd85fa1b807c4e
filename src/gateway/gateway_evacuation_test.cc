#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "gateway_domains_fixture.h"

namespace peridotshelf::gateway {
namespace {

class GatewayEvacuationTest : public GatewayDomainsFixture {
  CPPUNIT_TEST_SUITE(GatewayEvacuationTest);
  CPPUNIT_TEST(Call_OneDomainEvacuated_GoesToTheOther);
  CPPUNIT_TEST(Call_EvacuationEnds_GoesThereAgain);
  CPPUNIT_TEST(Call_AllDomainsEvacuated_IsRefused);
  CPPUNIT_TEST(Call_RetriedAfterAnEvacuation_GoesToAnotherDomain);
  CPPUNIT_TEST(Stream_AllDomainsEvacuated_IsRefused);
  CPPUNIT_TEST(Stream_QueuedWhenADomainIsEvacuated_GoesToTheOther);
  CPPUNIT_TEST(Stream_QueuedWhenAllDomainsAreEvacuated_IsRefusedAtOnce);
  CPPUNIT_TEST(Stream_EvacuationDuringReservation_IsNotSent);
  CPPUNIT_TEST(Stream_PromptWithHelpers_UsesNoEvacuatedEngine);
  CPPUNIT_TEST(Stream_RunningAtEvacuatedEngine_Continues);
  CPPUNIT_TEST(Stream_LostAtEvacuatedEngine_ResumesInAnotherDomain);
  CPPUNIT_TEST(Stream_StallsAtEvacuatedEngine_MovesToTheOnlyOther);
  CPPUNIT_TEST(Stream_EngineCrashesInEvacuatedDomain_IsCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Call_OneDomainEvacuated_GoesToTheOther() {
    AddEngineIn("a", &RespondOk);
    AddEngineIn("b", &RespondOk);
    Configure();
    Evacuate({"a"});
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, EngineAt(0).Count());
  }
  void Call_EvacuationEnds_GoesThereAgain() {
    AddEngineIn("a", &RespondOk);
    Configure();
    Evacuate({"a"});
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
    Evacuate({});
    CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
  }
  void Call_AllDomainsEvacuated_IsRefused() {
    AddEngineIn("a", &RespondOk);
    AddEngineIn("b", &RespondOk);
    Configure();
    Evacuate({"a", "b"});
    CPPUNIT_ASSERT_EQUAL(503, Call("/call/x").status);
    CPPUNIT_ASSERT(!m_retry_after.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, EngineAt(0).Count() + EngineAt(1).Count());
  }
  // Guards against retries that go to engines chosen before the evacuation.
  void Call_RetriedAfterAnEvacuation_GoesToAnotherDomain() {
    const auto evacuate = [this](const ServerRequest& request,
                                 const ResponderPtr& responder) {
      SetEvacuated({"a"});
      RespondNotRun(request, responder);
    };
    AddEngineIn("a", evacuate);
    AddEngineIn("a", evacuate);
    AddEngineIn("b", &RespondOk);
    Configure();
    // The others are preferred.
    RunOnLoop([this] { OccupySlots(2, 3); });
    CPPUNIT_ASSERT_EQUAL(200, Call("/call/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count() + EngineAt(1).Count());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(2).Count());
  }

  void Stream_AllDomainsEvacuated_IsRefused() {
    AddEngineIn("a", &RespondOk, "models");
    Configure();
    Evacuate({"a"});
    CPPUNIT_ASSERT_EQUAL(503, Call("/model/x").status);
    CPPUNIT_ASSERT(!m_retry_after.empty());
  }
  void Stream_QueuedWhenADomainIsEvacuated_GoesToTheOther() {
    AddEngineIn("a", &RespondWithEvent, "models");
    AddEngineIn("b", &RespondWithEvent, "models");
    ConfigurePatientStreams();
    QueueStream();
    Evacuate({"a"});
    RunOnLoop([this] {
      OccupySlots(0, 0);
      OccupySlots(1, 3);
      m_gateway->NoteEnginesChanged();
    });
    CPPUNIT_ASSERT(m_queued.get() == MakeEvent(0));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, EngineAt(0).Count());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(1).Count());
  }
  // Guards against requests that wait for their deadline although no engine can
  // take them; the caller here gives up long before.
  void Stream_QueuedWhenAllDomainsAreEvacuated_IsRefusedAtOnce() {
    AddEngineIn("a", &RespondWithEvent, "models");
    AddEngineIn("b", &RespondWithEvent, "models");
    ConfigurePatientStreams();
    QueueStream();
    Evacuate({"a", "b"});
    // An empty body is a refusal, none a caller that gave up.
    CPPUNIT_ASSERT(m_queued.get() == std::string());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, EngineAt(0).Count() + EngineAt(1).Count());
  }
  // Guards against requests that are sent although their domain was evacuated
  // while memory was reserved.
  void Stream_EvacuationDuringReservation_IsNotSent() {
    for (int i = 0; i < 3; ++i) AddEngineIn("a", &RespondWithEvent, "models");
    for (const auto& engine : m_engines) {
      engine->on_reserve = [this] { SetEvacuated({"a"}); };
    }
    Configure();
    CPPUNIT_ASSERT_EQUAL(503, Call("/model/x", {{"Tokens", "15000"}}).status);
    for (const auto& engine : m_engines) {
      CPPUNIT_ASSERT_EQUAL(size_t{0}, engine->Count());
    }
  }
  void Stream_PromptWithHelpers_UsesNoEvacuatedEngine() {
    for (int i = 0; i < 3; ++i) AddEngineIn("a", &RespondWithEvent, "models");
    for (int i = 0; i < 2; ++i) AddEngineIn("b", &RespondWithEvent, "models");
    Configure();
    Evacuate({"a"});
    CPPUNIT_ASSERT_EQUAL(200, Call("/model/x", {{"Tokens", "15000"}}).status);
    for (size_t i = 0; i < 3; ++i) {
      std::scoped_lock lock(EngineAt(i).mutex);
      CPPUNIT_ASSERT(EngineAt(i).requests.empty());
      CPPUNIT_ASSERT(EngineAt(i).reserved.empty());
    }
  }
  void Stream_RunningAtEvacuatedEngine_Continues() {
    AddEngineIn("a", [this](const ServerRequest& request,
                            const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      responder->Write(MakeEvent(0));
      SetEvacuated({"a"});
      m_threads->RunAfter(milliseconds(100), [responder] {
        responder->Write(MakeEvent(1));
        responder->EndStream();
      });
    });
    Configure();
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0) + MakeEvent(1), Call("/stream/x").body);
    CPPUNIT_ASSERT(!m_call_failed);
  }
  void Stream_LostAtEvacuatedEngine_ResumesInAnotherDomain() {
    const auto evacuate = [this](const ServerRequest& request,
                                 const ResponderPtr& responder) {
      SetEvacuated({"a"});
      responder->BeginStream(200, SignedHeaders(request));
      responder->Write(MakeEvent(0));
      responder->Abort();
    };
    AddEngineIn("a", evacuate);
    AddEngineIn("a", evacuate);
    AddEngineIn("b", &RespondWithNextEvent);
    Configure();
    RunOnLoop([this] { OccupySlots(2, 3); });
    CPPUNIT_ASSERT(Call("/stream/x").body.ends_with(MakeEvent(1)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count() + EngineAt(1).Count());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(2).Count());
  }
  // Guards against a stream that stays at its stalled engine because that one
  // is not counted as ready any more.
  void Stream_StallsAtEvacuatedEngine_MovesToTheOnlyOther() {
    AddEngineIn("a", [this](const ServerRequest& request,
                            const ResponderPtr& responder) {
      m_open_responders.push_back(responder);
      responder->BeginStream(200, SignedHeaders(request));
      responder->Write(MakeEvent(0));
      SetEvacuated({"a"});
    });
    AddEngineIn("b", &RespondWithNextEvent);
    Configure();
    RunOnLoop([this] { OccupySlots(1, 3); });
    CPPUNIT_ASSERT_EQUAL(MakeEvent(0) + MakeEvent(1), Call("/stream/x").body);
  }
  // Guards against requests that crash one engine after the other, because an
  // engine of an evacuated domain is taken for one that may end.
  void Stream_EngineCrashesInEvacuatedDomain_IsCounted() {
    using asio::ip::tcp;
    tcp::acceptor engine(m_threads->context(),
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket connection(m_threads->context());
    std::array<char, 1> byte{};
    engine.async_accept(connection, [&](const asio::error_code& /*error*/) {
      connection.async_read_some(
          asio::buffer(byte), [&](const asio::error_code& /*error*/, size_t) {
            SetEvacuated({"a"});
            // The connection ends with the process.
            engine.close();
            connection.close();
          });
    });
    Register("engine-0",
             "127.0.0.1:" + std::to_string(engine.local_endpoint().port()),
             "calls");
    PutIntoDomain("engine-0", "a");
    Configure();
    CPPUNIT_ASSERT_EQUAL(502, Call("/once/x").status);
    const std::string counted = "peridotshelf_engine_crashes_total 1";
    const TimePoint deadline = SteadyClock().Now() + seconds(5);
    while (m_registry->Render().find(counted) == std::string::npos) {
      CPPUNIT_ASSERT(SteadyClock().Now() < deadline);
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

 private:
  static void RespondWithNextEvent(const ServerRequest& request,
                                   const ResponderPtr& responder) {
    responder->BeginStream(200, SignedHeaders(request));
    responder->Write(MakeEvent(1));
    responder->EndStream();
  }
  /// Configures streams that may wait for longer than the test's callers.
  void ConfigurePatientStreams() {
    Configure();
    routing::Route route =
        MakeRoute("/model/", "models", routing::RetrySafety::kStream);
    route.caller_timeout = Duration::zero();
    auto configuration = std::make_shared<const routing::Configuration>(
        routing::Configuration::Builder()
            .SetVersion(2)
            .AddService(*m_gateway->configuration()->FindService("models"))
            .AddRoute(route)
            .Build());
    RunOnLoop([&] { m_gateway->SetConfiguration(configuration); });
  }
  /// Starts a stream while other entries use all slots of two engines, for
  /// longer than a caller waits.
  void QueueStream() {
    RunOnLoop([this] {
      OccupySlots(0, 4, seconds(15));
      OccupySlots(1, 4, seconds(15));
    });
    m_queued = StartCall("/model/x");
    WaitForQueue();
  }

  std::future<std::optional<std::string>> m_queued;
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayEvacuationTest);

}  // namespace
}  // namespace peridotshelf::gateway
