#include "peridotshelf/policy/placement.h"

#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>

#include "peridotshelf/policy/prefix.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kMemory = 400'000;

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(Place_UnknownModel_Fails);
  CPPUNIT_TEST(Place_LargerThanAnyEngine_IsTooLarge);
  CPPUNIT_TEST(Place_SamePrefix_GoesToOneEngine);
  CPPUNIT_TEST(Place_PrefixEngineOverBound_GoesElsewhereAndSaysSo);
  CPPUNIT_TEST(Place_OwnDomainHasRoom_StaysThere);
  CPPUNIT_TEST(Place_OwnDomainFull_LeavesIt);
  CPPUNIT_TEST(Place_ShortAndLong_UseTheirOwnPools);
  CPPUNIT_TEST(Place_GeneralPoolNearItsThreshold_DoesNotAlternate);
  CPPUNIT_TEST(OnRefused_ThenOlderReport_StillAvoided);
  CPPUNIT_TEST(OnRefused_TimePassed_IsUsedAgain);
  CPPUNIT_TEST(OnLoad_Leaving_IsAvoidedUntilTheHintIsOld);
  CPPUNIT_TEST(OnLoad_OldHint_FadesToTheMean);
  CPPUNIT_TEST(Place_NoPrefix_SpreadsEvenly);
  CPPUNIT_TEST(Update_EngineJoins_MovesFewPrefixes);
  CPPUNIT_TEST(PrefixHashes_SharedStart_ShareTheirFirstHashes);
  CPPUNIT_TEST_SUITE_END();

  ManualClock m_clock;
  std::mt19937_64 m_random{1};
  Placement m_placement{FailureDomain("d0")};

  static std::vector<EngineLocation> Engines(int count) {
    std::vector<EngineLocation> engines;
    for (int i = 0; i < count; ++i) {
      EngineLocation engine;
      engine.config.id = EngineId("e" + std::to_string(i));
      engine.config.host = HostId("h" + std::to_string(i));
      engine.config.model = "m";
      engine.config.memory_tokens = kMemory;
      engine.config.slots = 32;
      engine.failure_domain = FailureDomain("d" + std::to_string(i % 3));
      engines.push_back(engine);
    }
    return engines;
  }
  static control::Preset PresetOf(double long_fraction) {
    control::Preset preset;
    preset.long_engine_fraction = long_fraction;
    return preset;
  }
  PlacementResult Place(int64_t prompt_tokens,
                        std::vector<uint64_t> hashes = {}) {
    PlacementRequest request;
    request.model = "m";
    request.prompt_tokens = prompt_tokens;
    request.max_tokens = 10;
    request.prefix_hashes = hashes;
    auto result = m_placement.Place(request, m_clock.Now(), m_random);
    CPPUNIT_ASSERT(result.has_value());
    return *result;
  }
  EngineId First(int64_t prompt_tokens, std::vector<uint64_t> hashes = {}) {
    return Place(prompt_tokens, std::move(hashes)).candidates.at(0).engine;
  }
  void ReportUsed(const EngineId& engine, double used) {
    EngineLoad load;
    load.free_tokens = static_cast<int64_t>((1 - used) * kMemory);
    load.free_slots = 32;
    m_placement.OnLoad(engine, load, m_clock.Now());
  }
  void ReportAll(const std::vector<EngineLocation>& engines, double used) {
    for (const auto& engine : engines) ReportUsed(engine.config.id, used);
  }
  std::set<EngineId> FirstsOf(int64_t prompt_tokens, int count) {
    std::set<EngineId> firsts;
    for (int i = 0; i < count; ++i) firsts.insert(First(prompt_tokens));
    return firsts;
  }

 public:
  void setUp() override { m_placement.Update(Engines(12), PresetOf(0)); }

  void Place_UnknownModel_Fails() {
    PlacementRequest request;
    request.model = "other";
    const auto result = m_placement.Place(request, m_clock.Now(), m_random);
    CPPUNIT_ASSERT(result.error().code == ErrorCode::kUnknownModel);
  }
  void Place_LargerThanAnyEngine_IsTooLarge() {
    PlacementRequest request;
    request.model = "m";
    request.prompt_tokens = kMemory;
    request.max_tokens = 1;
    const auto result = m_placement.Place(request, m_clock.Now(), m_random);
    CPPUNIT_ASSERT(result.error().code == ErrorCode::kTooLarge);
  }
  void Place_SamePrefix_GoesToOneEngine() {
    const EngineId first = First(1000, {1, 99});
    for (int i = 0; i < 5; ++i) {
      ReportAll(Engines(12), 0.1);
      CPPUNIT_ASSERT(First(1000, {1, 99}) == first);
    }
    std::set<EngineId> others;
    for (uint64_t i = 0; i < 50; ++i) {
      ReportAll(Engines(12), 0.1);
      others.insert(First(1000, {1, i << 56}));
    }
    CPPUNIT_ASSERT(others.size() > 6);
  }
  void Place_PrefixEngineOverBound_GoesElsewhereAndSaysSo() {
    ReportAll(Engines(12), 0.1);
    const EngineId first = First(1000, {1, 99});
    ReportUsed(first, 0.9);
    const PlacementResult result = Place(1000, {1, 99});
    CPPUNIT_ASSERT(result.candidates.at(0).engine != first);
    CPPUNIT_ASSERT(result.trace.at(0).engine == first);
    CPPUNIT_ASSERT(result.trace.at(0).verdict == CandidateVerdict::kOverBound);
  }
  void Place_OwnDomainHasRoom_StaysThere() {
    for (const EngineId& engine : FirstsOf(1000, 50)) {
      CPPUNIT_ASSERT(std::stoi(engine.value().substr(1)) % 3 == 0);
    }
  }
  void Place_OwnDomainFull_LeavesIt() {
    for (int i = 0; i < 12; i += 3) {
      ReportUsed(EngineId("e" + std::to_string(i)), 0.99);
    }
    const PlacementResult result = Place(1000);
    CPPUNIT_ASSERT(result.reason == PlacementReason::kOtherDomain);
    CPPUNIT_ASSERT(
        std::stoi(result.candidates.at(0).engine.value().substr(1)) % 3 != 0);
  }
  void Place_ShortAndLong_UseTheirOwnPools() {
    m_placement.Update(Engines(12), PresetOf(0.25));
    std::set<EngineId> shorts;
    std::set<EngineId> longs;
    for (int i = 0; i < 100; ++i) {
      ReportAll(Engines(12), 0.1);
      shorts.insert(First(1000));
      ReportAll(Engines(12), 0.1);
      longs.insert(First(200'000));
    }
    for (const EngineId& engine : longs) {
      CPPUNIT_ASSERT(!shorts.contains(engine));
    }
    CPPUNIT_ASSERT(longs.size() <= 3);
  }
  void Place_GeneralPoolNearItsThreshold_DoesNotAlternate() {
    const auto engines = Engines(12);
    m_placement.Update(engines, PresetOf(0.25));
    std::set<EngineId> longs;
    for (int i = 0; i < 100; ++i) {
      ReportAll(engines, 0);
      longs.insert(First(200'000));
    }
    const auto spills = [&](double general_load) {
      bool spilled = false;
      for (int i = 0; i < 20; ++i) {
        for (const auto& engine : engines) {
          const bool is_long = longs.contains(engine.config.id);
          ReportUsed(engine.config.id, is_long ? 0.0 : general_load);
        }
        spilled = spilled || longs.contains(First(1000));
      }
      return spilled;
    };
    CPPUNIT_ASSERT(!spills(0.8));
    CPPUNIT_ASSERT(spills(0.95));
    CPPUNIT_ASSERT(spills(0.8));
    CPPUNIT_ASSERT(!spills(0.6));
    CPPUNIT_ASSERT(!spills(0.8));
  }
  void OnRefused_ThenOlderReport_StillAvoided() {
    m_placement.Update(Engines(2), PresetOf(0));
    const TimePoint before = m_clock.Now();
    m_clock.Advance(milliseconds(10));
    m_placement.OnRefused(EngineId("e0"), m_clock.Now(), seconds(1));
    ReportUsed(EngineId("e1"), 0.8);
    // A report from before the refusal claims that all is free.
    EngineLoad idle;
    idle.free_tokens = kMemory;
    idle.free_slots = 32;
    m_placement.OnLoad(EngineId("e0"), idle, before);
    CPPUNIT_ASSERT(FirstsOf(10, 20) == std::set<EngineId>{EngineId("e1")});
  }
  void OnRefused_TimePassed_IsUsedAgain() {
    for (const auto& engine : Engines(12)) {
      m_placement.OnRefused(engine.config.id, m_clock.Now(), seconds(1));
    }
    CPPUNIT_ASSERT(Place(10).reason == PlacementReason::kAllRefused);
    m_clock.Advance(seconds(1));
    CPPUNIT_ASSERT(Place(10).reason == PlacementReason::kTwoChoices);
  }
  void OnLoad_Leaving_IsAvoidedUntilTheHintIsOld() {
    EngineLoad leaving;
    leaving.leaving = true;
    for (int i = 1; i < 12; ++i) {
      m_placement.OnLoad(EngineId("e" + std::to_string(i)), leaving,
                         m_clock.Now());
    }
    CPPUNIT_ASSERT(FirstsOf(10, 30) == std::set<EngineId>{EngineId("e0")});
    m_clock.Advance(seconds(2));
    CPPUNIT_ASSERT(FirstsOf(10, 100).size() > 1);
  }
  void OnLoad_OldHint_FadesToTheMean() {
    m_placement.Update(Engines(2), PresetOf(0));
    ReportUsed(EngineId("e0"), 0.8);
    m_clock.Advance(seconds(60));
    ReportUsed(EngineId("e1"), 0.5);
    // e0's hint is a minute old: it is taken to be as loaded as the mean.
    const PlacementResult result = Place(10);
    for (const Considered& line : result.trace) {
      if (line.engine != EngineId("e0")) continue;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0.65, line.load, 0.01);
    }
  }
  void Place_NoPrefix_SpreadsEvenly() {
    Placement placement{FailureDomain("none")};
    placement.Update(Engines(12), PresetOf(0));
    std::map<EngineId, int> counts;
    PlacementRequest request;
    request.model = "m";
    request.prompt_tokens = 1000;
    for (int i = 0; i < 1200; ++i) {
      const auto result = placement.Place(request, m_clock.Now(), m_random);
      counts[result->candidates.at(0).engine] += 1;
    }
    for (const auto& [engine, count] : counts) CPPUNIT_ASSERT(count < 110);
  }
  void Update_EngineJoins_MovesFewPrefixes() {
    const auto owners = [this](int engines) {
      m_placement.Update(Engines(engines), PresetOf(0));
      std::map<uint64_t, EngineId> owner_of;
      for (uint64_t i = 0; i < 400; ++i) {
        ReportAll(Engines(engines), 0.1);
        const uint64_t hash = i * 0x9E3779B97F4A7C15U;
        owner_of[hash] = First(1, {hash});
      }
      return owner_of;
    };
    const auto before = owners(11);
    const auto after = owners(12);
    int moved = 0;
    for (const auto& [hash, engine] : after) {
      if (before.at(hash) != engine) ++moved;
    }
    CPPUNIT_ASSERT(moved > 0);
    CPPUNIT_ASSERT(moved < 400 / 5);
  }
  void PrefixHashes_SharedStart_ShareTheirFirstHashes() {
    std::string a(5 * kPrefixBlockBytes, 'x');
    std::string b = a;
    b[3 * kPrefixBlockBytes] = 'y';
    const auto of_a = HashPrefixBlocks(a);
    const auto of_b = HashPrefixBlocks(b);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, of_a.size());
    CPPUNIT_ASSERT(of_a[1] == of_b[1]);
    CPPUNIT_ASSERT(of_a[2] != of_b[2]);
    CPPUNIT_ASSERT(HashPrefixBlocks("short").empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace
}  // namespace peridotshelf::policy
