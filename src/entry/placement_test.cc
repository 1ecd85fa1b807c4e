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
  CPPUNIT_TEST(Place_NoHostLive_IsNoBackend);
  CPPUNIT_TEST(Place_SideNotConnected_IsPassedOver);
  CPPUNIT_TEST(Place_UnknownModel_SaysSo);
  CPPUNIT_TEST(Place_EngineRefused_IsAvoided);
  CPPUNIT_TEST(Admit_TeamOverItsPart_IsRefusedUntilHoldEnds);
  CPPUNIT_TEST_SUITE_END();

  Placer m_placer{FailureDomain("north")};
  std::shared_ptr<control::Configuration> m_configuration =
      std::make_shared<control::Configuration>();
  std::vector<platform::HostEntry> m_hosts;
  Reachable m_reachable = [](const HostId&) { return true; };

  control::ControlStatePtr State(std::set<HostId> draining = {}) const {
    auto state = std::make_shared<control::ControlState>();
    state->configuration = m_configuration;
    state->draining = std::move(draining);
    return state;
  }
  static CompletionRequest Request() {
    CompletionRequest request;
    request.model = "m";
    request.prompt_json = "\"text\"";
    request.prompt_tokens = 100;
    request.max_tokens = 20;
    request.terms.team = TeamId("design");
    return request;
  }
  std::set<std::string> Chosen(const control::ControlStatePtr& state) {
    std::set<std::string> chosen;
    for (int i = 0; i < 40; ++i) {
      const auto placed = m_placer.Place(state, Request(), {}, m_reachable);
      CPPUNIT_ASSERT(placed.has_value());
      for (const auto& candidate : placed->candidates) {
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
    CPPUNIT_ASSERT(Chosen(State()) == std::set<std::string>{"e1"});
  }
  void Place_DrainingHost_IsNotChosen() {
    const std::set<std::string> expected{"e0", "e2"};
    CPPUNIT_ASSERT(Chosen(State({HostId("h1")})) == expected);
  }
  void Place_NoHostLive_IsNoBackend() {
    m_placer.UpdateHosts({});
    const auto placed = m_placer.Place(State(), Request(), {}, m_reachable);
    CPPUNIT_ASSERT(placed.error().code == ErrorCode::kNoBackend);
  }
  void Place_SideNotConnected_IsPassedOver() {
    m_reachable = [](const HostId& host) { return host == HostId("h2"); };
    CPPUNIT_ASSERT(Chosen(State()) == std::set<std::string>{"e2"});
  }
  void Place_UnknownModel_SaysSo() {
    CompletionRequest request = Request();
    request.model = "other";
    const auto placed = m_placer.Place(State(), request, {}, m_reachable);
    CPPUNIT_ASSERT(placed.error().code == ErrorCode::kUnknownModel);
  }
  void Place_EngineRefused_IsAvoided() {
    const control::ControlStatePtr state = State();
    CPPUNIT_ASSERT(Chosen(state).size() == 3);
    m_placer.OnRefused(EngineId("e0"), std::chrono::hours(1));
    const auto placed = m_placer.Place(state, Request(), {}, m_reachable);
    CPPUNIT_ASSERT(placed->candidates.at(0).engine != EngineId("e0"));
  }
  void Admit_TeamOverItsPart_IsRefusedUntilHoldEnds() {
    const control::ControlStatePtr state = State();
    Result<TeamHoldPtr> first = m_placer.Admit(*state, Request());
    Result<TeamHoldPtr> second = m_placer.Admit(*state, Request());
    CPPUNIT_ASSERT(first.has_value() && second.has_value());
    const auto third = m_placer.Admit(*state, Request());
    CPPUNIT_ASSERT(third.error().code == ErrorCode::kTeamLimit);
    CPPUNIT_ASSERT(third.error().not_run);
    first->reset();
    CPPUNIT_ASSERT(m_placer.Admit(*state, Request()).has_value());
    CPPUNIT_ASSERT_EQUAL(4, PriorityOf(*state, "m", TeamId("design")));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlacerTest);

}  // namespace
}  // namespace peridotshelf::entry
