#include "peridotshelf/discovery/shared_polling.h"

#include <algorithm>
#include <random>
#include <vector>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::discovery {
namespace {

constexpr uint32_t kSeed = 20261204;
constexpr Duration kLeaveBound = std::chrono::seconds(2);

class SharedPollingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedPollingTest);
  CPPUNIT_TEST(MakeRegistrationTiming_OneEntry_PollsTwiceASecond);
  CPPUNIT_TEST(MakeRegistrationTiming_AfterSimultaneousPolls_LeavesNoLongGap);
  CPPUNIT_TEST(MakeRegistrationTiming_MoreEntries_MakeFewCalls);
  CPPUNIT_TEST(MakeRegistrationTiming_PeersDoNotRead_BoundsTheAge);
  CPPUNIT_TEST(MakeConfigurationTiming_AnswerLost_FindsChangesWithinTheBound);
  CPPUNIT_TEST(MakeConfigurationTiming_LargeFleet_MakesFewCallsWithinTheBound);
  CPPUNIT_TEST(ShareRetryPause_SmallFleetOrNewEntry_IsNotLonger);
  CPPUNIT_TEST(ShareRetryPause_LargeFleet_MakesFewCallsAndIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an entry that cannot serve yet and waits for its peers.
  void ShareRetryPause_SmallFleetOrNewEntry_IsNotLonger() {
    for (const size_t entries : {1, 5, 8}) {
      CPPUNIT_ASSERT(ShareRetryPause(entries, true) == kMaxRetryPause);
    }
    CPPUNIT_ASSERT(ShareRetryPause(390, false) == kMaxRetryPause);
  }

  // Target: also in an outage below one call per second and entry. Guards
  // against entries that find its end only after their bounds hold again.
  void ShareRetryPause_LargeFleet_MakesFewCallsAndIsBounded() {
    constexpr double kEarliestBoundSeconds = 3;
    for (const size_t entries : {22, 26, 390}) {
      CPPUNIT_ASSERT(1 / ToSeconds(ShareRetryPause(entries, true)) < 1);
    }
    CPPUNIT_ASSERT(ToSeconds(ShareRetryPause(390, true)) <
                   kEarliestBoundSeconds);
  }

  void MakeRegistrationTiming_OneEntry_PollsTwiceASecond() {
    CPPUNIT_ASSERT(MakeRegistrationTiming(1, kLeaveBound).pause ==
                   std::chrono::milliseconds(500));
  }

  // A leaving engine may receive requests for 2 s. All entries have polled at
  // the same time, as after a notification of the same change.
  void MakeRegistrationTiming_AfterSimultaneousPolls_LeavesNoLongGap() {
    constexpr int kRuns = 1000;
    constexpr double kLeaveBoundSeconds = 2;
    std::mt19937 random(kSeed);
    for (const size_t entries : {1, 2, 5, 8, 9, 12, 23, 100, 390}) {
      int long_gaps = 0;
      for (int i = 0; i < kRuns; ++i) {
        long_gaps += LongestGap(entries, random) > kLeaveBoundSeconds ? 1 : 0;
      }
      CPPUNIT_ASSERT(long_gaps <= 1);
    }
  }

  // Target: calls to the store do not grow with the square of the fleet's size
  // and stay below one call per second and entry.
  void MakeRegistrationTiming_MoreEntries_MakeFewCalls() {
    for (const size_t entries : {5, 8, 23, 100, 390}) {
      const double calls_per_second =
          1 / ToSeconds(MakeRegistrationTiming(entries, kLeaveBound).pause);
      CPPUNIT_ASSERT(calls_per_second < 1);
      if (entries >= 23) CPPUNIT_ASSERT(calls_per_second <= 0.25);
    }
  }

  // Live peers that the store turns away do not replace an entry's own polls.
  void MakeRegistrationTiming_PeersDoNotRead_BoundsTheAge() {
    constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
    for (const int bound_ms : {1600, 2000, 3000, 10000}) {
      const Duration bound = std::chrono::milliseconds(bound_ms);
      for (const size_t entries : {1, 2, 5, 8, 9, 23, 100, 390}) {
        const PollTiming timing = MakeRegistrationTiming(entries, bound);
        CPPUNIT_ASSERT(timing.max_age > Duration::zero());
        CPPUNIT_ASSERT(timing.max_age <= bound - kConnectTimeout);
        CPPUNIT_ASSERT(timing.max_age <= kLeaveBound - kConnectTimeout);
      }
    }
  }

  // Guards against changes that no entry is notified of, so that none can
  // announce them to its peers.
  void MakeConfigurationTiming_AnswerLost_FindsChangesWithinTheBound() {
    constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
    for (const int bound_ms : {1500, 2000, 3000, 10000}) {
      const Duration bound = std::chrono::milliseconds(bound_ms);
      const PollTiming timing = MakeConfigurationTiming(bound, kAnswerTimeout);
      CPPUNIT_ASSERT(timing.wait + kAnswerTimeout + timing.retry_pause < bound);
      CPPUNIT_ASSERT(timing.pause == Duration::zero());
    }
    // At most two calls per second and entry.
    CPPUNIT_ASSERT(
        MakeConfigurationTiming(std::chrono::seconds(2), kAnswerTimeout).wait >=
        std::chrono::milliseconds(500));
  }

  // Guards against calls that grow with the fleet, and against an entry that
  // trusts its peers for longer than it would wait for an answer of its own.
  void MakeConfigurationTiming_LargeFleet_MakesFewCallsWithinTheBound() {
    constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
    const Duration bound = std::chrono::seconds(3);
    for (const size_t entries : {1, 5, 8}) {
      const PollTiming timing =
          MakeConfigurationTiming(bound, kAnswerTimeout, entries);
      CPPUNIT_ASSERT(timing.pause == Duration::zero());
      CPPUNIT_ASSERT(timing.max_age == Duration::zero());
    }
    for (const size_t entries : {22, 26, 68, 100}) {
      const PollTiming timing =
          MakeConfigurationTiming(bound, kAnswerTimeout, entries);
      CPPUNIT_ASSERT(timing.max_age > Duration::zero());
      CPPUNIT_ASSERT(timing.max_age + kAnswerTimeout + timing.retry_pause <
                     bound);
      // An entry alone makes a call each 1.75 s.
      CPPUNIT_ASSERT(ToSeconds(timing.wait + timing.pause) > 3);
    }
  }

 private:
  static double ToSeconds(Duration span) {
    return std::chrono::duration<double>(span).count();
  }

  /// Returns the longest time between two polls by any entries, in seconds,
  /// within the 10 s after all entries polled at once.
  static double LongestGap(size_t entries, std::mt19937& random) {
    constexpr double kSimulatedSeconds = 10;
    const double pause =
        ToSeconds(MakeRegistrationTiming(entries, kLeaveBound).pause);
    std::uniform_real_distribution<double> first(0, pause);
    std::vector<double> polls = {0};
    for (size_t i = 0; i < entries; ++i) {
      for (double at = first(random); at < kSimulatedSeconds; at += pause) {
        polls.push_back(at);
      }
    }
    std::sort(polls.begin(), polls.end());
    double longest = 0;
    for (size_t i = 1; i < polls.size(); ++i) {
      longest = std::max(longest, polls[i] - polls[i - 1]);
    }
    return longest;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedPollingTest);

}  // namespace
}  // namespace peridotshelf::discovery
