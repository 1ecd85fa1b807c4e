#include "gateway_domains_fixture.h"

namespace peridotshelf::gateway {
namespace {

using Regions = std::vector<std::string>;

/// Engines in the failure domains "a" and "b" of the regions "east" and "west",
/// and "c", whose region is not known.
class GatewayHomesTest : public GatewayDomainsFixture {
  CPPUNIT_TEST_SUITE(GatewayHomesTest);
  CPPUNIT_TEST(Call_RouteWithHome_GoesOnlyThere);
  CPPUNIT_TEST(Call_TeamWithHome_GoesOnlyThere);
  CPPUNIT_TEST(Call_WithoutHomes_GoesToAnyDomain);
  CPPUNIT_TEST(Call_HomesWithoutCommonRegion_IsRefused);
  CPPUNIT_TEST(Call_HomeWithoutReadyEngine_IsRefused);
  CPPUNIT_TEST(Call_OnlyEngineInUnknownRegion_IsRefused);
  CPPUNIT_TEST(Call_HomeIsEvacuated_IsRefused);
  CPPUNIT_TEST(Call_RetriedInItsHome_LeavesItNot);
  CPPUNIT_TEST(Call_RegionsOfDomainsChange_FollowsThem);
  CPPUNIT_TEST(Stream_ResumedAfterALostConnection_StaysInItsHome);
  CPPUNIT_TEST(Stream_PromptWithHelpers_UsesOnlyItsHome);
  CPPUNIT_TEST(Stream_PromptLargerThanItsHome_ReservesNothingElsewhere);
  CPPUNIT_TEST(Stream_QueuedWhenItsHomeLosesItsEngines_IsRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    GatewayDomainsFixture::setUp();
    RunOnLoop([this] {
      m_gateway->SetRegions(
          {{FailureDomain("a"), "east"}, {FailureDomain("b"), "west"}});
    });
  }

  void Call_RouteWithHome_GoesOnlyThere() {
    for (const char* domain : {"a", "b", "c"}) AddEngineIn(domain, &RespondOk);
    ConfigureHomes({"west"}, {});
    Call("/call/x", 8);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, EngineAt(1).Count());
  }
  void Call_TeamWithHome_GoesOnlyThere() {
    for (const char* domain : {"a", "b", "c"}) AddEngineIn(domain, &RespondOk);
    ConfigureHomes({}, {"east"});
    Call("/call/x", 8);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, EngineAt(0).Count());
  }
  void Call_WithoutHomes_GoesToAnyDomain() {
    AddEngineIn("c", &RespondOk);
    ConfigureHomes({}, {});
    Call("/call/x", 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, EngineAt(0).Count());
  }
  void Call_HomesWithoutCommonRegion_IsRefused() {
    for (const char* domain : {"a", "b"}) AddEngineIn(domain, &RespondOk);
    ConfigureHomes({"east"}, {"west"});
    ExpectRefusal();
  }
  void Call_HomeWithoutReadyEngine_IsRefused() {
    AddEngineIn("a", &RespondOk);
    ConfigureHomes({"west", "north"}, {});
    ExpectRefusal();
  }
  void Call_OnlyEngineInUnknownRegion_IsRefused() {
    AddEngineIn("c", &RespondOk);
    ConfigureHomes({"east"}, {});
    ExpectRefusal();
  }
  void Call_HomeIsEvacuated_IsRefused() {
    for (const char* domain : {"a", "b"}) AddEngineIn(domain, &RespondOk);
    ConfigureHomes({"west"}, {});
    Evacuate({"b"});
    ExpectRefusal();
  }
  // Guards against retries that fall back to any engine.
  void Call_RetriedInItsHome_LeavesItNot() {
    AddEngineIn("a", &RespondOk);
    AddEngineIn("b", &RespondNotRun);
    ConfigureHomes({"west"}, {});
    CPPUNIT_ASSERT_EQUAL(503, GatewayFixture::Call("/call/x").status);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, EngineAt(0).Count());
    CPPUNIT_ASSERT(EngineAt(1).Count() > 1);
  }
  void Call_RegionsOfDomainsChange_FollowsThem() {
    AddEngineIn("c", &RespondOk);
    ConfigureHomes({"east"}, {});
    RunOnLoop([this] {
      m_gateway->SetRegions({{FailureDomain("c"), "east"}});
    });
    Call("/call/x", 1);
  }

  void Stream_ResumedAfterALostConnection_StaysInItsHome() {
    const auto handler = [](const ServerRequest& request,
                            const ResponderPtr& responder) {
      responder->BeginStream(200, SignedHeaders(request));
      if (request.FindHeader("After")) {
        responder->Write(MakeEvent(1));
        responder->EndStream();
        return;
      }
      responder->Write(MakeEvent(0));
      responder->Abort();
    };
    for (const char* domain : {"a", "b", "b"}) AddEngineIn(domain, handler);
    ConfigureHomes({"west"}, {});
    // The engine outside is the least loaded one.
    RunOnLoop([this] {
      OccupySlots(1, 2);
      OccupySlots(2, 2);
    });
    const auto served = GatewayFixture::Call("/stream/x");
    CPPUNIT_ASSERT(served.body.ends_with(MakeEvent(1)));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, EngineAt(0).Count());
  }
  void Stream_PromptWithHelpers_UsesOnlyItsHome() {
    for (const char* domain : {"a", "a", "a", "b", "b"}) {
      AddEngineIn(domain, &RespondWithEvent, "models");
    }
    ConfigureHomes({"west"}, {});
    CPPUNIT_ASSERT_EQUAL(200, CallWithLongPrompt());
    ExpectNothingAt({0, 1, 2});
  }
  void Stream_PromptLargerThanItsHome_ReservesNothingElsewhere() {
    for (const char* domain : {"a", "a", "b"}) {
      AddEngineIn(domain, &RespondWithEvent, "models");
    }
    ConfigureHomes({"west"}, {});
    CPPUNIT_ASSERT_EQUAL(503, CallWithLongPrompt());
    ExpectNothingAt({0, 1, 2});
  }
  // Guards against requests that wait for their deadline although no engine can
  // take them; the caller here gives up long before.
  void Stream_QueuedWhenItsHomeLosesItsEngines_IsRefusedAtOnce() {
    AddEngineIn("a", &RespondWithEvent, "models");
    AddEngineIn("b", &RespondWithEvent, "models");
    ConfigureHomes({"west"}, {});
    RunOnLoop([this] { OccupySlots(1, 4, seconds(15)); });
    auto queued = StartCall("/model/x");
    WaitForQueue();
    Evacuate({"b"});
    // An empty body is a refusal, none a caller that gave up.
    CPPUNIT_ASSERT(queued.get() == std::string());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, EngineAt(0).Count());
  }

 private:
  /// Configures routes and a team with these homes; streams may wait for longer
  /// than the test's callers.
  void ConfigureHomes(const Regions& of_routes, const Regions& of_team) {
    using routing::RetrySafety;
    Configure();
    routing::Configuration::Builder builder;
    builder.SetVersion(2)
        .AddService(*m_gateway->configuration()->FindService("models"))
        .AddTeam({TeamId("team"), {"right"}, {}, of_team});
    for (routing::Route route :
         {MakeRoute("/call/", "calls", RetrySafety::kIdempotent),
          MakeRoute("/stream/", "calls", RetrySafety::kStream, true),
          MakeRoute("/model/", "models", RetrySafety::kStream)}) {
      route.allowed_regions = of_routes;
      route.caller_timeout = Duration::zero();
      builder.AddRoute(route);
    }
    auto configuration =
        std::make_shared<const routing::Configuration>(builder.Build());
    RunOnLoop([&] { m_gateway->SetConfiguration(configuration); });
  }
  void Call(const std::string& target, int count) {
    for (int i = 0; i < count; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, GatewayFixture::Call(target).status);
    }
  }
  int CallWithLongPrompt() {
    return GatewayFixture::Call("/model/x",
                                {{"Tokens", "15000"}, {"Left", "3000"}})
        .status;
  }
  void ExpectRefusal() {
    CPPUNIT_ASSERT_EQUAL(503, GatewayFixture::Call("/call/x").status);
    CPPUNIT_ASSERT(!m_retry_after.empty());
    for (const auto& engine : m_engines) {
      CPPUNIT_ASSERT_EQUAL(size_t{0}, engine->Count());
    }
  }
  void ExpectNothingAt(const std::vector<size_t>& engines) {
    for (const size_t index : engines) {
      std::scoped_lock lock(EngineAt(index).mutex);
      CPPUNIT_ASSERT(EngineAt(index).requests.empty());
      CPPUNIT_ASSERT(EngineAt(index).reserved.empty());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayHomesTest);

}  // namespace
}  // namespace peridotshelf::gateway
