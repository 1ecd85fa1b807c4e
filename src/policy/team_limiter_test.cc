#include "peridotshelf/policy/team_limiter.h"

#include <algorithm>
#include <vector>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::policy {
namespace {

class TeamLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TeamLimiterTest);
  CPPUNIT_TEST(TryAcquire_AbovePortion_IsRefusedUntilReleased);
  CPPUNIT_TEST(TryAcquire_RequestLargerThanPortion_RunsAlone);
  CPPUNIT_TEST(TryAcquire_ManyEntries_StaysWithinBound);
  CPPUNIT_TEST_SUITE_END();

  const TeamId m_team{"team"};

 public:
  void TryAcquire_AbovePortion_IsRefusedUntilReleased() {
    TeamLimiter limiter;
    limiter.SetEntryCount(4);
    CPPUNIT_ASSERT(limiter.TryAcquire(m_team, 200, 1000));
    CPPUNIT_ASSERT(!limiter.TryAcquire(m_team, 51, 1000));
    CPPUNIT_ASSERT(limiter.TryAcquire(m_team, 50, 1000));
    limiter.Release(m_team, 200);
    CPPUNIT_ASSERT(limiter.TryAcquire(m_team, 51, 1000));
    CPPUNIT_ASSERT(limiter.RunningTokens(m_team) == 101);
  }
  void TryAcquire_RequestLargerThanPortion_RunsAlone() {
    TeamLimiter limiter;
    limiter.SetEntryCount(4);
    CPPUNIT_ASSERT(limiter.TryAcquire(m_team, 900, 1000));
    CPPUNIT_ASSERT(!limiter.TryAcquire(m_team, 1, 1000));
  }
  void TryAcquire_ManyEntries_StaysWithinBound() {
    testing::CheckProperty("bound", [this] {
      const auto entry_count = *rc::gen::inRange<int64_t>(1, 9);
      const auto stale_entries = *rc::gen::inRange<int64_t>(0, entry_count + 1);
      const auto stale_entry_count =
          *rc::gen::inRange<int64_t>(1, entry_count + 1);
      const int64_t limit = 100'000;
      int64_t running = 0;
      int64_t largest = 0;
      for (int64_t i = 0; i < entry_count; ++i) {
        TeamLimiter limiter;
        limiter.SetEntryCount(i < stale_entries ? stale_entry_count
                                                : entry_count);
        for (int request = 0; request < 200; ++request) {
          const auto tokens = *rc::gen::inRange<int64_t>(500, 30'000);
          largest = std::max(largest, tokens);
          limiter.TryAcquire(m_team, tokens, limit);
        }
        running += limiter.RunningTokens(m_team);
      }
      const int64_t bound =
          limit * (entry_count - stale_entries) / entry_count +
          limit * stale_entries / stale_entry_count + entry_count * largest;
      RC_ASSERT(running <= bound);
      if (stale_entries == 0 && limit / entry_count >= 30'000)
        RC_ASSERT(running <= limit);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TeamLimiterTest);

}  // namespace
}  // namespace peridotshelf::policy
