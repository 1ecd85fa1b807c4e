#include "peridotshelf/policy/team_limiter.h"

#include <algorithm>
#include <vector>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::policy {
namespace {

class TeamLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TeamLimiterTest);
  CPPUNIT_TEST(TryAcquire_OverItsPart_IsRefusedUntilReleased);
  CPPUNIT_TEST(TryAcquire_RequestAboveItsPart_RunsAlone);
  CPPUNIT_TEST(TryAcquire_ManyEntries_StaysWithinTheBound);
  CPPUNIT_TEST_SUITE_END();

  const TeamId m_team{"team"};

 public:
  void TryAcquire_OverItsPart_IsRefusedUntilReleased() {
    TeamLimiter limiter;
    limiter.SetEntryCount(4);
    CPPUNIT_ASSERT(limiter.TryAcquire(m_team, 200, 1000));
    CPPUNIT_ASSERT(!limiter.TryAcquire(m_team, 51, 1000));
    CPPUNIT_ASSERT(limiter.TryAcquire(m_team, 50, 1000));
    limiter.Release(m_team, 200);
    CPPUNIT_ASSERT(limiter.TryAcquire(m_team, 51, 1000));
    CPPUNIT_ASSERT(limiter.Running(m_team) == 101);
  }
  void TryAcquire_RequestAboveItsPart_RunsAlone() {
    TeamLimiter limiter;
    limiter.SetEntryCount(4);
    CPPUNIT_ASSERT(limiter.TryAcquire(m_team, 900, 1000));
    CPPUNIT_ASSERT(!limiter.TryAcquire(m_team, 1, 1000));
  }
  void TryAcquire_ManyEntries_StaysWithinTheBound() {
    testing::CheckProperty("bound", [this] {
      const auto entries = *rc::gen::inRange<int64_t>(1, 9);
      const auto stale = *rc::gen::inRange<int64_t>(0, entries + 1);
      const auto believed = *rc::gen::inRange<int64_t>(1, entries + 1);
      const int64_t limit = 100'000;
      int64_t running = 0;
      int64_t largest = 0;
      for (int64_t i = 0; i < entries; ++i) {
        TeamLimiter limiter;
        limiter.SetEntryCount(i < stale ? believed : entries);
        for (int request = 0; request < 200; ++request) {
          const auto tokens = *rc::gen::inRange<int64_t>(500, 30'000);
          largest = std::max(largest, tokens);
          limiter.TryAcquire(m_team, tokens, limit);
        }
        running += limiter.Running(m_team);
      }
      const int64_t bound = limit * (entries - stale) / entries +
                            limit * stale / believed + entries * largest;
      RC_ASSERT(running <= bound);
      if (stale == 0 && limit / entries >= 30'000) RC_ASSERT(running <= limit);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TeamLimiterTest);

}  // namespace
}  // namespace peridotshelf::policy
