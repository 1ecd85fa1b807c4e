#include "entry/placement.h"

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::entry {
namespace {

class PlacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacerTest);
  CPPUNIT_TEST(Place_HostLeavingOrUnlisted_IsNotChosen);
  CPPUNIT_TEST(Place_DrainingHost_IsNotChosen);
  CPPUNIT_TEST(Place_NoLiveHost_ReturnsNoBackend);
  CPPUNIT_TEST(Place_SideNotConnected_IsSkipped);
  CPPUNIT_TEST(Place_UnknownModel_ReturnsUnknownModel);
  CPPUNIT_TEST(Place_EngineRefused_IsAvoided);
  CPPUNIT_TEST(Admit_TeamOverLimit_IsRefusedUntilRelease);
  CPPUNIT_TEST_SUITE_END();

  Placer m_placer{FailureDomain("north")};
  std::shared_ptr<control::Configuration> m_configuration =
      std::make_shared<control::Configuration>();
  std::vector<platform::HostEntry> m_hosts;
  ReachabilityCheck m_is_reachable = [](const HostId&) { return true; };

  control::ControlStatePtr MakeState(std::set<HostId> draining = {}) const {
    auto state = std::make_shared<control::ControlState>();
    state->configuration = m_configuration;
    state->draining = std::move(draining);
    return state;
  }
  static CompletionRequest MakeRequest() {
    CompletionRequest request;
    request.model = "m";
    request.prompt_json = "\"text\"";
    request.prompt_tokens = 100;
    request.max_tokens = 20;
    request.options.team = TeamId("design");
    return request;
  }
  std::set<std::string> PlaceRepeatedly(const control::ControlStatePtr& state) {
    std::set<std::string> chosen;
    for (int i = 0; i < 40; ++i) {
      const auto result =
          m_placer.Place(state, MakeRequest(), {}, m_is_reachable);
      CPPUNIT_ASSERT(result.has_value());
      for (const auto& candidate : result->candidates) {
        chosen.insert(candidate.engine.value());
      }
    }
    return chosen;
  }

 public:
  void setUp() override {
    for (int i = 0; i < 3; ++i) {
      control::EngineConfig engine;
      engine.id = EngineId("e" + std::to_string(i));
      engine.host = HostId("h" + std::to_string(i));
      engine.model = "m";
      engine.memory_tokens = 100'000;
      engine.slots = 8;
      m_configuration->engines.push_back(engine);
      platform::HostEntry host;
      host.host = engine.host;
      host.failure_domain = FailureDomain("north");
      m_hosts.push_back(host);
    }
    control::ServiceConfig service;
    service.model = "m";
    service.teams.push_back({TeamId("design"), 4, 1.0, 240});
    m_configuration->services.push_back(service);
    m_placer.UpdateHosts(m_hosts);
  }

  void Place_HostLeavingOrUnlisted_IsNotChosen() {
    m_hosts[0].state = platform::HostState::kLeaving;
    m_hosts.pop_back();
    m_placer.UpdateHosts(m_hosts);
    CPPUNIT_ASSERT(PlaceRepeatedly(MakeState()) == std::set<std::string>{"e1"});
  }
  void Place_DrainingHost_IsNotChosen() {
    const std::set<std::string> expected{"e0", "e2"};
    CPPUNIT_ASSERT(PlaceRepeatedly(MakeState({HostId("h1")})) == expected);
  }
  void Place_NoLiveHost_ReturnsNoBackend() {
    m_placer.UpdateHosts({});
    const auto result =
        m_placer.Place(MakeState(), MakeRequest(), {}, m_is_reachable);
    CPPUNIT_ASSERT(result.error().code == ErrorCode::kNoBackend);
  }
  void Place_SideNotConnected_IsSkipped() {
    m_is_reachable = [](const HostId& host) { return host == HostId("h2"); };
    CPPUNIT_ASSERT(PlaceRepeatedly(MakeState()) == std::set<std::string>{"e2"});
  }
  void Place_UnknownModel_ReturnsUnknownModel() {
    CompletionRequest request = MakeRequest();
    request.model = "other";
    const auto result =
        m_placer.Place(MakeState(), request, {}, m_is_reachable);
    CPPUNIT_ASSERT(result.error().code == ErrorCode::kUnknownModel);
  }
  void Place_EngineRefused_IsAvoided() {
    const control::ControlStatePtr state = MakeState();
    CPPUNIT_ASSERT(PlaceRepeatedly(state).size() == 3);
    m_placer.OnRefused(EngineId("e0"), std::chrono::hours(1));
    const auto result =
        m_placer.Place(state, MakeRequest(), {}, m_is_reachable);
    CPPUNIT_ASSERT(result->candidates.at(0).engine != EngineId("e0"));
  }
  void Admit_TeamOverLimit_IsRefusedUntilRelease() {
    const control::ControlStatePtr state = MakeState();
    Result<TeamAllocationPtr> first = m_placer.Admit(*state, MakeRequest());
    Result<TeamAllocationPtr> second = m_placer.Admit(*state, MakeRequest());
    CPPUNIT_ASSERT(first.has_value() && second.has_value());
    const auto third = m_placer.Admit(*state, MakeRequest());
    CPPUNIT_ASSERT(third.error().code == ErrorCode::kTeamLimit);
    CPPUNIT_ASSERT(third.error().not_run);
    first->reset();
    CPPUNIT_ASSERT(m_placer.Admit(*state, MakeRequest()).has_value());
    CPPUNIT_ASSERT_EQUAL(4, FindTeamPriority(*state, "m", TeamId("design")));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlacerTest);

}  // namespace
}  // namespace peridotshelf::entry
