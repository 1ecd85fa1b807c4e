#include "limited_fleet.h"
#include "peridotshelf/scheduling/engine_rate_limits.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr double kLimit = 32;
/// 32 x 1.5 + 5.
constexpr size_t kMostInASecond = 53;

enum class Check { kBoundAndUse, kBoundOnly };

/// Runs a fleet and asserts that the engine gets no more than the bound in any
/// second and that half of its limit, or of the demand if that is lower, is
/// used while the engine is cold, except for the first seconds.
void CheckColdFleet(size_t entries, Demand demand, uint64_t seed,
                    const FleetEvents& events, Check check) {
  LimitedFleet fleet(entries, kLimit, demand, seed, events);
  const double end = events.cold.back().until;
  fleet.Run(static_cast<int>(end));
  const size_t busiest = fleet.CountInBusiestWindow(seconds(1));
  const double used = fleet.UsedBetween(demand == Demand::kSurge ? 9 : 1, end);
  std::ostringstream text;
  text << entries << " entries, demand " << static_cast<int>(demand)
       << ", seed " << seed << ": " << busiest << " in 1 s, allowed "
       << kMostInASecond << "; used " << used;
  CPPUNIT_ASSERT_MESSAGE(text.str(), busiest <= kMostInASecond);
  CPPUNIT_ASSERT_MESSAGE(text.str(), check == Check::kBoundOnly || used >= 0.5);
}

class ColdRateLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdRateLimitsTest);
  CPPUNIT_TEST(TryAdmit_SmallFleets_KeepTheBoundAndUseTheLimit);
  CPPUNIT_TEST(TryAdmit_LargeFleets_KeepTheBoundAndUseTheLimit);
  CPPUNIT_TEST(TryAdmit_LostDatagrams_KeepTheBoundAndUseTheLimit);
  CPPUNIT_TEST(TryAdmit_EntriesCutOff_KeepTheBound);
  CPPUNIT_TEST(TryAdmit_SeparatedGroups_UseTheirParts);
  CPPUNIT_TEST(TryAdmit_EntriesStart_KeepTheBound);
  CPPUNIT_TEST(TryAdmit_AllEntriesStart_KeepTheBound);
  CPPUNIT_TEST(TryAdmit_NobodyHeardSinceTheStart_UsesLittle);
  CPPUNIT_TEST(TryAdmit_ColdAgain_KeepsTheBoundAndUsesTheLimit);
  CPPUNIT_TEST(TryAdmit_FarBelowTheLimitInSmallFleet_AdmitsAll);
  CPPUNIT_TEST(TryAdmit_ColdTimeOver_AdmitsAll);
  CPPUNIT_TEST(TryAdmit_StatedLimitIsStricter_Counts);
  CPPUNIT_TEST(TryAdmit_ColdLimitIsStricter_Counts);
  CPPUNIT_TEST(MayTryCold_AfterARefusal_WaitsForTheReportDelay);
  CPPUNIT_TEST(EnginesToReport_ColdEngineWithoutDemand_IsLeftOut);
  CPPUNIT_TEST(ApplyReport_ColdEngine_KeepsAStatedLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TryAdmit_SmallFleets_KeepTheBoundAndUseTheLimit() {
    for (const uint64_t seed : {1, 2, 3, 4, 5}) {
      for (const size_t entries : {1, 5, 26}) {
        for (const Demand demand :
             {Demand::kEverywhere, Demand::kSparse, Demand::kSparseWaiting,
              Demand::kOneEntry, Demand::kSurge, Demand::kRush}) {
          CheckColdFleet(entries, demand, seed, kLongCold, Check::kBoundAndUse);
        }
      }
    }
  }
  // For sparse demand without waiting only the bound is checked: in a large
  // fleet most requests come to an entry whose demand its peers do not know
  // yet, and are placed at other engines.
  void TryAdmit_LargeFleets_KeepTheBoundAndUseTheLimit() {
    for (const size_t entries : {100, 390}) {
      for (const Demand demand :
           {Demand::kEverywhere, Demand::kSparseWaiting, Demand::kOneEntry,
            Demand::kSurge, Demand::kRush}) {
        CheckColdFleet(entries, demand, /*seed=*/1, kLongCold,
                       Check::kBoundAndUse);
      }
      CheckColdFleet(entries, Demand::kSparse, /*seed=*/1, kLongCold,
                     Check::kBoundOnly);
    }
  }
  void TryAdmit_LostDatagrams_KeepTheBoundAndUseTheLimit() {
    FleetEvents events = kLongCold;
    events.loss = 0.2;
    for (const Demand demand : {Demand::kEverywhere, Demand::kSurge}) {
      for (const size_t entries : {5, 26, 100, 390}) {
        CheckColdFleet(entries, demand, /*seed=*/1, events,
                       Check::kBoundAndUse);
      }
    }
  }
  // Guards against an entry, or a group of them, that uses a whole limit since
  // it hears nothing of the others' requests.
  void TryAdmit_EntriesCutOff_KeepTheBound() {
    FleetEvents events = kLongCold;
    events.cut_from = 2;
    events.cut_until = 10;
    for (const Demand demand : {Demand::kEverywhere, Demand::kOneEntry,
                                Demand::kSurge, Demand::kRush}) {
      for (const size_t entries : {5, 26, 100}) {
        for (const size_t cut_off : {size_t{1}, entries / 2}) {
          events.cut_off = cut_off;
          for (const uint64_t seed : {1, 2, 3}) {
            CheckColdFleet(entries, demand, seed, events, Check::kBoundOnly);
          }
        }
      }
    }
    events.cut_off = 195;
    CheckColdFleet(390, Demand::kRush, /*seed=*/1, events, Check::kBoundOnly);
  }
  // Guards against groups that use next to nothing since each takes the other's
  // entries for more than the fleet has.
  void TryAdmit_SeparatedGroups_UseTheirParts() {
    FleetEvents events = kLongCold;
    events.cut_until = 12;
    for (const size_t entries : {26, 100, 390}) {
      events.cut_off = entries / 2;
      LimitedFleet fleet(entries, kLimit, Demand::kRush, /*seed=*/1, events);
      fleet.Run(12);
      CPPUNIT_ASSERT(fleet.UsedBetween(4, 12) >= 0.5);
    }
  }
  void TryAdmit_EntriesStart_KeepTheBound() {
    FleetEvents events = kLongCold;
    events.start_at = 4;
    for (const size_t entries : {5, 26, 100, 390}) {
      events.starting = entries / 2;
      CheckColdFleet(entries, Demand::kRush, /*seed=*/1, events,
                     Check::kBoundOnly);
    }
  }
  // Guards against entries that each use a whole limit since they know nobody.
  void TryAdmit_AllEntriesStart_KeepTheBound() {
    FleetEvents events = kLongCold;
    for (const size_t entries : {5, 26, 100, 390}) {
      events.starting = entries;
      CheckColdFleet(entries, Demand::kRush, /*seed=*/1, events,
                     Check::kBoundOnly);
    }
  }
  // Guards against an entry that takes itself for alone as it starts.
  void TryAdmit_NobodyHeardSinceTheStart_UsesLittle() {
    LimitSharers sharers{0, milliseconds(70)};
    sharers.is_starting = true;
    m_limits.SetColdLimit(kEngine, {kLimit, {}, kNow + seconds(3)});
    int admitted = 0;
    for (TimePoint at = kNow; at < kNow + seconds(2); at += milliseconds(10)) {
      if (!m_limits.TryAdmit(kEngine, sharers, at)) continue;
      m_limits.NoteSent(kEngine, at);
      ++admitted;
    }
    CPPUNIT_ASSERT(admitted <= 2);
  }
  void TryAdmit_ColdAgain_KeepsTheBoundAndUsesTheLimit() {
    FleetEvents events;
    events.cold = {{0, 3}, {3, 6}, {6, 9}};
    for (const size_t entries : {1, 5, 26, 100}) {
      CheckColdFleet(entries, Demand::kRush, /*seed=*/1, events,
                     Check::kBoundAndUse);
    }
  }
  // Guards against a cold engine that is left out, or delayed, without need.
  void TryAdmit_FarBelowTheLimitInSmallFleet_AdmitsAll() {
    for (const size_t peers : {0, 4, 25}) {
      EngineRateLimits limits(1);
      limits.SetColdLimit(kEngine, {kLimit, {}, kNow + seconds(100)});
      const LimitSharers sharers{peers, milliseconds(70)};
      for (int i = 0; i < 50; ++i) {
        const TimePoint at = kNow + i * seconds(1);
        CPPUNIT_ASSERT(limits.MayTryCold(kEngine, at));
        CPPUNIT_ASSERT(limits.TryAdmit(kEngine, sharers, at));
        limits.NoteSent(kEngine, at);
      }
    }
  }
  void TryAdmit_ColdTimeOver_AdmitsAll() {
    m_limits.SetColdLimit(kEngine, {1, {}, kNow + seconds(3)});
    CPPUNIT_ASSERT_EQUAL(1, CountAdmitted(kNow));
    CPPUNIT_ASSERT(m_limits.IsCold(kEngine, kNow + milliseconds(2999)));
    CPPUNIT_ASSERT_EQUAL(100, CountAdmitted(kNow + seconds(3)));
  }
  void TryAdmit_StatedLimitIsStricter_Counts() {
    m_limits.SetColdLimit(kEngine, {kLimit, {}, kNow + seconds(3)});
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    CPPUNIT_ASSERT_EQUAL(4, CountAdmitted(kNow));
  }
  void TryAdmit_ColdLimitIsStricter_Counts() {
    m_limits.SetColdLimit(kEngine, {2, {}, kNow + seconds(3)});
    m_limits.NoteAnswer(kEngine, 50.0, kNow, kNow);
    CPPUNIT_ASSERT_EQUAL(2, CountAdmitted(kNow));
  }
  void MayTryCold_AfterARefusal_WaitsForTheReportDelay() {
    m_limits.SetColdLimit(kEngine, {2, {}, kNow + seconds(3)});
    const LimitSharers sharers{4, milliseconds(70)};
    CountAdmitted(kNow);
    CPPUNIT_ASSERT(!m_limits.TryAdmit(kEngine, sharers, kNow));
    CPPUNIT_ASSERT(!m_limits.MayTryCold(kEngine, kNow + milliseconds(69)));
    CPPUNIT_ASSERT(m_limits.MayTryCold(kEngine, kNow + milliseconds(70)));
  }
  // Guards against reports on each cold engine by each entry of a large fleet.
  void EnginesToReport_ColdEngineWithoutDemand_IsLeftOut() {
    m_limits.SetColdLimit(kEngine, {kLimit, {}, kNow + seconds(3)});
    CPPUNIT_ASSERT(m_limits.EnginesToReport(kNow).empty());
    CountAdmitted(kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_limits.EnginesToReport(kNow).size());
  }
  // Guards against a report without a limit that ends the limit which the
  // engine stated to this entry.
  void ApplyReport_ColdEngine_KeepsAStatedLimit() {
    EngineRateLimits peer(2);
    peer.SetColdLimit(kEngine, {kLimit, {}, kNow + seconds(3)});
    m_limits.NoteAnswer(kEngine, 1.0, kNow - seconds(20), kNow - seconds(20));
    m_limits.ApplyReport("p", kEngine, *peer.MakeReport(kEngine, kNow), kNow);
    CPPUNIT_ASSERT(m_limits.FindLimit(kEngine) == 1.0);
  }

 private:
  inline static const FleetEvents kLongCold{{{0, 12}}};

  /// Returns how many of 100 requests of a lone entry at `now` are sent.
  int CountAdmitted(TimePoint now) {
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
      if (!m_limits.TryAdmit(kEngine, {}, now)) continue;
      m_limits.NoteSent(kEngine, now);
      ++admitted;
    }
    return admitted;
  }
  EngineRateLimits m_limits{1};
};
CPPUNIT_TEST_SUITE_REGISTRATION(ColdRateLimitsTest);

}  // namespace
}  // namespace peridotshelf::scheduling
