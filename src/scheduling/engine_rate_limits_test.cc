#include "peridotshelf/scheduling/engine_rate_limits.h"

#include "limited_fleet.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

class EngineRateLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineRateLimitsTest);
  CPPUNIT_TEST(TryAdmit_SmallFleets_KeepTheLimitAndUseIt);
  CPPUNIT_TEST(TryAdmit_LargeFleets_KeepTheLimitAndUseIt);
  CPPUNIT_TEST(TryAdmit_NoLimit_AdmitsAll);
  CPPUNIT_TEST(TryAdmit_PeerStopped_GetsItsShareAfterTheWindow);
  CPPUNIT_TEST(NoteAnswer_WithoutLimit_EndsIt);
  CPPUNIT_TEST(NoteAnswer_EarlierRequestWithoutLimit_LeavesIt);
  CPPUNIT_TEST(ApplyReport_EngineNeverAsked_LearnsTheLimit);
  CPPUNIT_TEST(ApplyReport_OlderStatement_IsIgnored);
  CPPUNIT_TEST(ApplyReport_LimitEnded_EndsIt);
  CPPUNIT_TEST(ApplyReport_ReportLost_CountsItsRequestsWithTheNext);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Bounds: one and a half times the limit and 5 requests in 4 s; half of the
  // limit is used while callers want more.
  void TryAdmit_SmallFleets_KeepTheLimitAndUseIt() {
    for (const uint64_t seed : {1, 2, 3, 4, 5}) {
      for (const size_t entries : {1, 5, 23}) {
        for (const double limit : {0.5, 1.0, 1.7, 5.0, 20.0}) {
          for (const Demand demand :
               {Demand::kEverywhere, Demand::kSparse, Demand::kSparseWaiting,
                Demand::kOneEntry, Demand::kSurge}) {
            CheckFleet(entries, limit, demand, seed);
          }
        }
      }
    }
  }
  // Sparse demand without waiting is left out: a request that may not wait
  // until its entry's demand is reported is mostly refused in a large fleet.
  void TryAdmit_LargeFleets_KeepTheLimitAndUseIt() {
    for (const size_t entries : {100, 390}) {
      for (const double limit : {1.0, 5.0}) {
        for (const Demand demand : {Demand::kEverywhere, Demand::kSparseWaiting,
                                    Demand::kOneEntry, Demand::kSurge}) {
          CheckFleet(entries, limit, demand, /*seed=*/1);
        }
      }
    }
  }
  void TryAdmit_NoLimit_AdmitsAll() {
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(m_limits.TryAdmit(kEngine, kOnePeer, kNow));
      m_limits.NoteSent(kEngine, kNow);
    }
  }
  // Guards against a share that is lost with its entry.
  void TryAdmit_PeerStopped_GetsItsShareAfterTheWindow() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    RateLimitReport report = MakeReport(1.0, kNow);
    report.sent = report.recently_sent = 4;
    report.demand_per_second = 1000;
    m_limits.ApplyReport("p", kEngine, report, kNow);
    CPPUNIT_ASSERT(!m_limits.TryAdmit(kEngine, kOnePeer, kNow + seconds(3)));
    m_limits.RemovePeer("p");
    CPPUNIT_ASSERT_EQUAL(4, CountAdmitted(kNow + seconds(5), kNoPeers));
  }
  void NoteAnswer_WithoutLimit_EndsIt() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    CPPUNIT_ASSERT(m_limits.NoteAnswer(
        kEngine, std::nullopt, kNow + milliseconds(1), kNow + milliseconds(2)));
    CPPUNIT_ASSERT(!m_limits.FindLimit(kEngine));
  }
  void NoteAnswer_EarlierRequestWithoutLimit_LeavesIt() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    CPPUNIT_ASSERT(!m_limits.NoteAnswer(
        kEngine, std::nullopt, kNow - milliseconds(1), kNow + milliseconds(2)));
    CPPUNIT_ASSERT(m_limits.FindLimit(kEngine) == 1.0);
  }
  void ApplyReport_EngineNeverAsked_LearnsTheLimit() {
    CPPUNIT_ASSERT(
        m_limits.ApplyReport("p", kEngine, MakeReport(2.0, kNow), kNow));
    CPPUNIT_ASSERT(m_limits.FindLimit(kEngine) == 2.0);
  }
  void ApplyReport_OlderStatement_IsIgnored() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    m_limits.ApplyReport("p", kEngine, MakeReport(2.0, kNow - seconds(1)),
                         kNow);
    CPPUNIT_ASSERT(m_limits.FindLimit(kEngine) == 1.0);
  }
  void ApplyReport_LimitEnded_EndsIt() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    const TimePoint later = kNow + seconds(1);
    CPPUNIT_ASSERT(m_limits.ApplyReport(
        "p", kEngine, MakeReport(std::nullopt, later), later));
    CPPUNIT_ASSERT(!m_limits.FindLimit(kEngine));
  }
  void ApplyReport_ReportLost_CountsItsRequestsWithTheNext() {
    m_limits.NoteAnswer(kEngine, 1.0, kNow, kNow);
    RateLimitReport report = MakeReport(1.0, kNow);
    report.sent = report.recently_sent = 1;
    m_limits.ApplyReport("p", kEngine, report, kNow);
    report.sent = 4;
    m_limits.ApplyReport("p", kEngine, report, kNow);
    CPPUNIT_ASSERT_EQUAL(0, CountAdmitted(kNow, kOnePeer));
  }

 private:
  static constexpr LimitSharers kNoPeers{};
  static constexpr LimitSharers kOnePeer{1, milliseconds(50)};

  static RateLimitReport MakeReport(std::optional<double> limit,
                                    TimePoint stated_at) {
    RateLimitReport report;
    report.per_second = limit;
    report.stated_at = stated_at;
    return report;
  }
  /// Returns how many of ten requests at `now` are sent.
  int CountAdmitted(TimePoint now, const LimitSharers& sharers) {
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
      if (!m_limits.TryAdmit(kEngine, sharers, now)) continue;
      m_limits.NoteSent(kEngine, now);
      ++admitted;
    }
    return admitted;
  }
  EngineRateLimits m_limits{1};
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineRateLimitsTest);

}  // namespace
}  // namespace peridotshelf::scheduling
