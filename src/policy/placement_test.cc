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
  CPPUNIT_TEST(Place_SamePrefix_ChoosesSameEngine);
  CPPUNIT_TEST(Place_PrefixEngineOverBound_ChoosesAnotherAndRecordsIt);
  CPPUNIT_TEST(Place_LocalDomainHasRoom_StaysLocal);
  CPPUNIT_TEST(Place_LocalDomainFull_UsesOtherDomain);
  CPPUNIT_TEST(Place_ShortAndLong_UseSeparatePools);
  CPPUNIT_TEST(Place_GeneralPoolNearSpillThreshold_DoesNotAlternate);
  CPPUNIT_TEST(OnRefused_OlderReportFollows_IsStillAvoided);
  CPPUNIT_TEST(OnRefused_TimePassed_IsUsedAgain);
  CPPUNIT_TEST(OnLoad_Leaving_IsAvoidedUntilReportIsOld);
  CPPUNIT_TEST(OnLoad_OldReport_DecaysToMean);
  CPPUNIT_TEST(Place_NoPrefix_SpreadsEvenly);
  CPPUNIT_TEST(Update_EngineJoins_MovesFewPrefixes);
  CPPUNIT_TEST(HashPrefixBlocks_SharedPrefix_ShareFirstHashes);
  CPPUNIT_TEST_SUITE_END();

  ManualClock m_clock;
  std::mt19937_64 m_random{1};
  Placement m_placement{FailureDomain("d0")};

  static std::vector<EngineLocation> MakeEngines(int count) {
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
  static control::Preset MakePreset(double long_fraction) {
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
  EngineId PlaceFirst(int64_t prompt_tokens,
                      std::vector<uint64_t> hashes = {}) {
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
  std::set<EngineId> PlaceMany(int64_t prompt_tokens, int count) {
    std::set<EngineId> chosen_engines;
    for (int i = 0; i < count; ++i)
      chosen_engines.insert(PlaceFirst(prompt_tokens));
    return chosen_engines;
  }

 public:
  void setUp() override { m_placement.Update(MakeEngines(12), MakePreset(0)); }

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
  void Place_SamePrefix_ChoosesSameEngine() {
    const EngineId first = PlaceFirst(1000, {1, 99});
    for (int i = 0; i < 5; ++i) {
      ReportAll(MakeEngines(12), 0.1);
      CPPUNIT_ASSERT(PlaceFirst(1000, {1, 99}) == first);
    }
    std::set<EngineId> others;
    for (uint64_t i = 0; i < 50; ++i) {
      ReportAll(MakeEngines(12), 0.1);
      others.insert(PlaceFirst(1000, {1, i << 56}));
    }
    CPPUNIT_ASSERT(others.size() > 6);
  }
  void Place_PrefixEngineOverBound_ChoosesAnotherAndRecordsIt() {
    ReportAll(MakeEngines(12), 0.1);
    const EngineId first = PlaceFirst(1000, {1, 99});
    ReportUsed(first, 0.9);
    const PlacementResult result = Place(1000, {1, 99});
    CPPUNIT_ASSERT(result.candidates.at(0).engine != first);
    CPPUNIT_ASSERT(result.trace.at(0).engine == first);
    CPPUNIT_ASSERT(result.trace.at(0).verdict == CandidateVerdict::kOverBound);
  }
  void Place_LocalDomainHasRoom_StaysLocal() {
    for (const EngineId& engine : PlaceMany(1000, 50)) {
      CPPUNIT_ASSERT(std::stoi(engine.value().substr(1)) % 3 == 0);
    }
  }
  void Place_LocalDomainFull_UsesOtherDomain() {
    for (int i = 0; i < 12; i += 3) {
      ReportUsed(EngineId("e" + std::to_string(i)), 0.99);
    }
    const PlacementResult result = Place(1000);
    CPPUNIT_ASSERT(result.reason == PlacementReason::kOtherDomain);
    CPPUNIT_ASSERT(
        std::stoi(result.candidates.at(0).engine.value().substr(1)) % 3 != 0);
  }
  void Place_ShortAndLong_UseSeparatePools() {
    m_placement.Update(MakeEngines(12), MakePreset(0.25));
    std::set<EngineId> short_engines;
    std::set<EngineId> long_engines;
    for (int i = 0; i < 100; ++i) {
      ReportAll(MakeEngines(12), 0.1);
      short_engines.insert(PlaceFirst(1000));
      ReportAll(MakeEngines(12), 0.1);
      long_engines.insert(PlaceFirst(200'000));
    }
    for (const EngineId& engine : long_engines) {
      CPPUNIT_ASSERT(!short_engines.contains(engine));
    }
    CPPUNIT_ASSERT(long_engines.size() <= 3);
  }
  void Place_GeneralPoolNearSpillThreshold_DoesNotAlternate() {
    const auto engines = MakeEngines(12);
    m_placement.Update(engines, MakePreset(0.25));
    std::set<EngineId> long_engines;
    for (int i = 0; i < 100; ++i) {
      ReportAll(engines, 0);
      long_engines.insert(PlaceFirst(200'000));
    }
    const auto spills = [&](double general_load) {
      bool spilled = false;
      for (int i = 0; i < 20; ++i) {
        for (const auto& engine : engines) {
          const bool is_long = long_engines.contains(engine.config.id);
          ReportUsed(engine.config.id, is_long ? 0.0 : general_load);
        }
        spilled = spilled || long_engines.contains(PlaceFirst(1000));
      }
      return spilled;
    };
    CPPUNIT_ASSERT(!spills(0.8));
    CPPUNIT_ASSERT(spills(0.95));
    CPPUNIT_ASSERT(spills(0.8));
    CPPUNIT_ASSERT(!spills(0.6));
    CPPUNIT_ASSERT(!spills(0.8));
  }
  void OnRefused_OlderReportFollows_IsStillAvoided() {
    m_placement.Update(MakeEngines(2), MakePreset(0));
    const TimePoint before = m_clock.Now();
    m_clock.Advance(milliseconds(10));
    m_placement.OnRefused(EngineId("e0"), m_clock.Now(), seconds(1));
    ReportUsed(EngineId("e1"), 0.8);
    // A report from before the refusal shows the engine as idle.
    EngineLoad idle;
    idle.free_tokens = kMemory;
    idle.free_slots = 32;
    m_placement.OnLoad(EngineId("e0"), idle, before);
    CPPUNIT_ASSERT(PlaceMany(10, 20) == std::set<EngineId>{EngineId("e1")});
  }
  void OnRefused_TimePassed_IsUsedAgain() {
    for (const auto& engine : MakeEngines(12)) {
      m_placement.OnRefused(engine.config.id, m_clock.Now(), seconds(1));
    }
    CPPUNIT_ASSERT(Place(10).reason == PlacementReason::kAllRefused);
    m_clock.Advance(seconds(1));
    CPPUNIT_ASSERT(Place(10).reason == PlacementReason::kTwoChoices);
  }
  void OnLoad_Leaving_IsAvoidedUntilReportIsOld() {
    EngineLoad leaving;
    leaving.leaving = true;
    for (int i = 1; i < 12; ++i) {
      m_placement.OnLoad(EngineId("e" + std::to_string(i)), leaving,
                         m_clock.Now());
    }
    CPPUNIT_ASSERT(PlaceMany(10, 30) == std::set<EngineId>{EngineId("e0")});
    m_clock.Advance(seconds(2));
    CPPUNIT_ASSERT(PlaceMany(10, 100).size() > 1);
  }
  void OnLoad_OldReport_DecaysToMean() {
    m_placement.Update(MakeEngines(2), MakePreset(0));
    ReportUsed(EngineId("e0"), 0.8);
    m_clock.Advance(seconds(60));
    ReportUsed(EngineId("e1"), 0.5);
    // The report of e0 is a minute old, so its load is assumed to be the mean.
    const PlacementResult result = Place(10);
    for (const ConsideredEngine& considered : result.trace) {
      if (considered.engine != EngineId("e0")) continue;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0.65, considered.load, 0.01);
    }
  }
  void Place_NoPrefix_SpreadsEvenly() {
    Placement placement{FailureDomain("none")};
    placement.Update(MakeEngines(12), MakePreset(0));
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
    const auto place_prefixes = [this](int engines) {
      m_placement.Update(MakeEngines(engines), MakePreset(0));
      std::map<uint64_t, EngineId> engine_by_prefix;
      for (uint64_t i = 0; i < 400; ++i) {
        ReportAll(MakeEngines(engines), 0.1);
        const uint64_t hash = i * 0x9E3779B97F4A7C15U;
        engine_by_prefix[hash] = PlaceFirst(1, {hash});
      }
      return engine_by_prefix;
    };
    const auto before = place_prefixes(11);
    const auto after = place_prefixes(12);
    int moved = 0;
    for (const auto& [hash, engine] : after) {
      if (before.at(hash) != engine) ++moved;
    }
    CPPUNIT_ASSERT(moved > 0);
    CPPUNIT_ASSERT(moved < 400 / 5);
  }
  void HashPrefixBlocks_SharedPrefix_ShareFirstHashes() {
    std::string a(5 * kPrefixBlockBytes, 'x');
    std::string b = a;
    b[3 * kPrefixBlockBytes] = 'y';
    const auto hashes_a = HashPrefixBlocks(a);
    const auto hashes_b = HashPrefixBlocks(b);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, hashes_a.size());
    CPPUNIT_ASSERT(hashes_a[1] == hashes_b[1]);
    CPPUNIT_ASSERT(hashes_a[2] != hashes_b[2]);
    CPPUNIT_ASSERT(HashPrefixBlocks("short").empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace
}  // namespace peridotshelf::policy
