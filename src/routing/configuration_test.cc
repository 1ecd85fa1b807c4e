#include "peridotshelf/routing/configuration.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf::routing {
namespace {

Route MakeRoute(std::string host, std::string prefix, std::string service) {
  Route route;
  route.name = prefix;
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.services = {{std::move(service), 1}};
  return route;
}

class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(FindRoute_SeveralPrefixesMatch_ReturnsTheLongestPrefix);
  CPPUNIT_TEST(FindRoute_OtherHostOrPrefix_ReturnsNull);
  CPPUNIT_TEST(FindTeam_AnyOfItsKeys_ReturnsTheTeam);
  CPPUNIT_TEST(FindTeam_UnknownKey_ReturnsNull);
  CPPUNIT_TEST(PickService_DifferentDraws_FollowsTheWeights);
  CPPUNIT_TEST(PickService_AllSkipped_ReturnsNull);
  CPPUNIT_TEST(FindAllowedRegions_NobodyRestricts_IsAny);
  CPPUNIT_TEST(FindAllowedRegions_RouteOrTeamRestricts_IsItsList);
  CPPUNIT_TEST(FindAllowedRegions_BothRestrict_IsWhatBothAllow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindAllowedRegions_NobodyRestricts_IsAny() {
    const Team team;
    CPPUNIT_ASSERT(!FindAllowedRegions(Route(), nullptr));
    CPPUNIT_ASSERT(!FindAllowedRegions(Route(), &team));
  }
  void FindAllowedRegions_RouteOrTeamRestricts_IsItsList() {
    Route route;
    Team team;
    const std::vector<std::string> regions = {"east", "west"};
    team.allowed_regions = regions;
    CPPUNIT_ASSERT(FindAllowedRegions(route, &team) == regions);
    team.allowed_regions.clear();
    route.allowed_regions = regions;
    CPPUNIT_ASSERT(FindAllowedRegions(route, &team) == regions);
    CPPUNIT_ASSERT(FindAllowedRegions(route, nullptr) == regions);
  }
  // Guards against an empty intersection that is taken for no restriction.
  void FindAllowedRegions_BothRestrict_IsWhatBothAllow() {
    Route route;
    Team team;
    route.allowed_regions = {"east", "west"};
    team.allowed_regions = {"north", "west"};
    CPPUNIT_ASSERT(FindAllowedRegions(route, &team) ==
                   std::vector<std::string>({"west"}));
    team.allowed_regions = {"north"};
    CPPUNIT_ASSERT(FindAllowedRegions(route, &team) ==
                   std::vector<std::string>());
  }
  void FindRoute_SeveralPrefixesMatch_ReturnsTheLongestPrefix() {
    const Configuration configuration =
        Configuration::Builder()
            .AddRoute(MakeRoute("h", "/a/", "outer"))
            .AddRoute(MakeRoute("h", "/a/b/", "inner"))
            .Build();
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"),
                         configuration.FindRoute("h", "/a/b/c")->path_prefix);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/"),
                         configuration.FindRoute("h", "/a/bc")->path_prefix);
  }
  void FindRoute_OtherHostOrPrefix_ReturnsNull() {
    const Configuration configuration =
        Configuration::Builder().AddRoute(MakeRoute("h", "/a/", "s")).Build();
    CPPUNIT_ASSERT(configuration.FindRoute("other", "/a/") == nullptr);
    CPPUNIT_ASSERT(configuration.FindRoute("h", "/a") == nullptr);
  }
  void FindTeam_AnyOfItsKeys_ReturnsTheTeam() {
    const Configuration configuration =
        Configuration::Builder()
            .AddTeam({TeamId("one"), {"k1", "k2"}, {}})
            .AddTeam({TeamId("two"), {"k3"}, 4})
            .Build();
    CPPUNIT_ASSERT_EQUAL(TeamId("one"), configuration.FindTeam("k2")->id);
    CPPUNIT_ASSERT_EQUAL(4, configuration.FindTeam("k3")->priority.value());
  }
  void FindTeam_UnknownKey_ReturnsNull() {
    const Configuration configuration = Configuration::Builder().Build();
    CPPUNIT_ASSERT(configuration.FindTeam("k1") == nullptr);
  }
  void PickService_DifferentDraws_FollowsTheWeights() {
    Route route;
    route.services = {{"a", 90}, {"b", 10}, {"c", 0}};
    CPPUNIT_ASSERT_EQUAL(std::string("a"), PickService(route, 0.89)->service);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), PickService(route, 0.91)->service);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         PickService(route, 0.1, {"a"})->service);
  }
  void PickService_AllSkipped_ReturnsNull() {
    Route route;
    route.services = {{"a", 1}};
    CPPUNIT_ASSERT(PickService(route, 0.5, {"a"}) == nullptr);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

}  // namespace
}  // namespace peridotshelf::routing
