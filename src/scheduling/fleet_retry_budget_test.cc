#include "peridotshelf/scheduling/fleet_retry_budget.h"

#include <vector>

#include "peridotshelf/scheduling/fleet_view.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};
/// The only entry of a fleet.
constexpr double kAll = 1;

class FleetRetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRetryBudgetTest);
  CPPUNIT_TEST(TryClaim_ProcessStarted_IsRefused);
  CPPUNIT_TEST(TryClaim_TimePassed_AllowsRetriesOfTheSlack);
  CPPUNIT_TEST(TryClaim_RequestsArrived_AllowsTheirRetries);
  CPPUNIT_TEST(TryClaim_NoPartOfTheSlack_AllowsRetriesOfRequests);
  CPPUNIT_TEST(TryClaim_SlackOfOneRetry_AllowsIt);
  CPPUNIT_TEST(TryClaim_WindowWithoutRequests_ForgetsThem);
  CPPUNIT_TEST(TryClaim_BucketEmptyForAWindow_LendsItsRoom);
  CPPUNIT_TEST(TryClaim_BucketFullInTheWindow_LendsNothing);
  CPPUNIT_TEST(TrySend_RequestsTooOldMeanwhile_IsRefused);
  CPPUNIT_TEST(Release_ClaimNotSent_MayBeClaimedAgain);
  CPPUNIT_TEST(Return_RetryReachedNoEngine_MayBeClaimedAgain);
  CPPUNIT_TEST(TrySend_AnyInterleaving_KeepsSharedLimitInEachWindow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TryClaim_ProcessStarted_IsRefused() {
    FleetRetryBudget budget({0.2, 100, seconds(10)}, kNow);
    CPPUNIT_ASSERT(!budget.TryClaim(kNow, kAll));
  }
  void TryClaim_TimePassed_AllowsRetriesOfTheSlack() {
    FleetRetryBudget budget({0, 20, seconds(10)}, kNow);
    const int after_a_second = ClaimAll(budget, kNow + seconds(1), kAll);
    CPPUNIT_ASSERT(after_a_second >= 0 && after_a_second <= 2);
    const int after_minutes = ClaimAll(budget, kNow + seconds(120), kAll);
    CPPUNIT_ASSERT(after_minutes >= 8 && after_minutes <= 20);
    CPPUNIT_ASSERT_EQUAL(0, ClaimAll(budget, kNow + seconds(120), kAll));
  }
  void TryClaim_RequestsArrived_AllowsTheirRetries() {
    FleetRetryBudget budget({0.2, 0, seconds(10)}, kNow);
    for (int i = 0; i < 100; ++i) budget.NoteRequest(kNow, kAll);
    const int retries = ClaimAll(budget, kNow, kAll);
    CPPUNIT_ASSERT(retries >= 8 && retries <= 20);
  }
  void TryClaim_NoPartOfTheSlack_AllowsRetriesOfRequests() {
    FleetRetryBudget budget({0.2, 100, seconds(10)}, kNow);
    for (int i = 0; i < 100; ++i) budget.NoteRequest(kNow + seconds(9), 0);
    const int retries = ClaimAll(budget, kNow + seconds(9), 0);
    CPPUNIT_ASSERT(retries >= 8 && retries <= 20);
  }
  void TryClaim_SlackOfOneRetry_AllowsIt() {
    FleetRetryBudget budget({0, 48, seconds(10)}, kNow);
    constexpr double kPart = 1.0 / 40;
    CPPUNIT_ASSERT_EQUAL(1, ClaimAll(budget, kNow + seconds(600), kPart));
  }
  void TryClaim_WindowWithoutRequests_ForgetsThem() {
    FleetRetryBudget budget({0.2, 0, seconds(10)}, kNow);
    for (int i = 0; i < 100; ++i) budget.NoteRequest(kNow, kAll);
    CPPUNIT_ASSERT_EQUAL(0, ClaimAll(budget, kNow + seconds(10), kAll));
  }
  void TryClaim_BucketEmptyForAWindow_LendsItsRoom() {
    FleetRetryBudget budget({0, 40, seconds(10)}, kNow);
    int added = 0;
    for (int i = 1; i < 10; ++i) {
      added += ClaimAll(budget, kNow + seconds(i), kAll);
    }
    CPPUNIT_ASSERT(added <= 20);
    const int lent = ClaimAll(budget, kNow + seconds(10), kAll);
    CPPUNIT_ASSERT(lent > 10 && lent <= 20);
  }
  void TryClaim_BucketFullInTheWindow_LendsNothing() {
    FleetRetryBudget budget({0, 40, seconds(10)}, kNow);
    const TimePoint full = kNow + seconds(60);
    const int held = ClaimAll(budget, full, kAll);
    CPPUNIT_ASSERT(held >= 16 && held <= 20);
    CPPUNIT_ASSERT(ClaimAll(budget, full + seconds(9), kAll) <= 20);
    CPPUNIT_ASSERT_EQUAL(0, ClaimAll(budget, full + seconds(9), kAll));
  }
  void TrySend_RequestsTooOldMeanwhile_IsRefused() {
    FleetRetryBudget budget({0.2, 0, seconds(10)}, kNow);
    for (int i = 0; i < 100; ++i) budget.NoteRequest(kNow, kAll);
    CPPUNIT_ASSERT(budget.TryClaim(kNow, kAll));
    CPPUNIT_ASSERT(budget.TryClaim(kNow, kAll));
    CPPUNIT_ASSERT(budget.TrySend(kNow + seconds(9), kAll));
    CPPUNIT_ASSERT(!budget.TrySend(kNow + seconds(10), kAll));
  }
  void Release_ClaimNotSent_MayBeClaimedAgain() {
    FleetRetryBudget budget = MakeWithOneRetry();
    CPPUNIT_ASSERT(budget.TryClaim(kNow, kAll));
    CPPUNIT_ASSERT(!budget.TryClaim(kNow, kAll));
    budget.Release();
    CPPUNIT_ASSERT(budget.TryClaim(kNow, kAll));
  }
  void Return_RetryReachedNoEngine_MayBeClaimedAgain() {
    FleetRetryBudget budget = MakeWithOneRetry();
    CPPUNIT_ASSERT(budget.TryClaim(kNow, kAll));
    CPPUNIT_ASSERT(budget.TrySend(kNow, kAll));
    CPPUNIT_ASSERT(!budget.TryClaim(kNow, kAll));
    budget.Return(kNow, kAll);
    CPPUNIT_ASSERT(budget.TryClaim(kNow, kAll));
  }
  /// For any interleaving of requests and retries at three entries, the retries
  /// of every window stay within the shared limit.
  void TrySend_AnyInterleaving_KeepsSharedLimitInEachWindow() {
    testing::CheckProperty("shared limit", [] {
      const RetryLimits limits{0.2, 30, seconds(10)};
      constexpr double kPart = 1.0 / 3;
      std::vector<FleetRetryBudget> entries(
          3, FleetRetryBudget(limits, kNow - seconds(60)));
      std::vector<std::pair<TimePoint, bool>> history;
      TimePoint now = kNow;
      const auto steps =
          *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 100));
      for (const int step : steps) {
        now += milliseconds(step);
        FleetRetryBudget& entry = entries[static_cast<size_t>(step) % 3];
        if (step % 5 < 2) {
          entry.NoteRequest(now, kPart);
          history.emplace_back(now, false);
        } else if (entry.TryClaim(now, kPart) && entry.TrySend(now, kPart)) {
          history.emplace_back(now, true);
        }
      }
      for (const auto& [end, unused] : history) {
        double requests = 0;
        double retries = 0;
        for (const auto& [time, is_retry] : history) {
          if (time > end || time < end - limits.window) continue;
          (is_retry ? retries : requests) += 1;
        }
        RC_ASSERT(retries <= limits.ratio * requests + limits.slack);
      }
    });
  }

 private:
  static int ClaimAll(FleetRetryBudget& budget, TimePoint now, double part) {
    int claims = 0;
    while (budget.TryClaim(now, part)) {
      CPPUNIT_ASSERT(budget.TrySend(now, part));
      ++claims;
    }
    return claims;
  }
  static FleetRetryBudget MakeWithOneRetry() {
    FleetRetryBudget budget({0.2, 0, seconds(10)}, kNow);
    for (int i = 0; i < 15; ++i) budget.NoteRequest(kNow, kAll);
    return budget;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetRetryBudgetTest);

class LimitPartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitPartTest);
  CPPUNIT_TEST(ComputeLimitPart_ListNotRead_IsZero);
  CPPUNIT_TEST(ComputeLimitPart_AloneInTheList_IsAll);
  CPPUNIT_TEST(ComputeLimitPart_AllPeersHeard_IsEqualPart);
  CPPUNIT_TEST(ComputeLimitPart_PeerNeverHeard_IsZero);
  CPPUNIT_TEST(ComputeLimitPart_KnownToAllBefore_IsEqualPart);
  CPPUNIT_TEST(ComputeLimitPart_AnyEntriesUnheard_PartsAddUpToOneAtMost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ComputeLimitPart_ListNotRead_IsZero() {
    CPPUNIT_ASSERT_EQUAL(0.0, ComputeLimitPart({false, false, 0, 0}));
    CPPUNIT_ASSERT_EQUAL(0.0, ComputeLimitPart({false, true, 4, 4}));
  }
  void ComputeLimitPart_AloneInTheList_IsAll() {
    CPPUNIT_ASSERT_EQUAL(1.0, ComputeLimitPart({true, false, 0, 0}));
  }
  void ComputeLimitPart_AllPeersHeard_IsEqualPart() {
    CPPUNIT_ASSERT_EQUAL(0.2, ComputeLimitPart({true, false, 4, 4}));
  }
  void ComputeLimitPart_PeerNeverHeard_IsZero() {
    CPPUNIT_ASSERT_EQUAL(0.0, ComputeLimitPart({true, false, 4, 3}));
  }
  void ComputeLimitPart_KnownToAllBefore_IsEqualPart() {
    CPPUNIT_ASSERT_EQUAL(0.2, ComputeLimitPart({true, true, 4, 0}));
  }
  /// Entries come one after the other. Each reads the list of those before it
  /// and is heard by some. Those that hear it know it from then on, and only
  /// those send it reports.
  void ComputeLimitPart_AnyEntriesUnheard_PartsAddUpToOneAtMost() {
    testing::CheckProperty("parts", [] {
      const size_t count = *rc::gen::inRange<size_t>(1, 12);
      const auto hears = *rc::gen::container<std::vector<bool>>(
          count * count, rc::gen::arbitrary<bool>());
      double sum = 0;
      for (size_t entry = 0; entry < count; ++entry) {
        KnownPeers peers{true, false, 0, 0};
        for (size_t peer = 0; peer < count; ++peer) {
          if (peer == entry) continue;
          const bool is_known_to_peer =
              entry < peer || hears[peer * count + entry];
          const bool is_heard = is_known_to_peer && hears[entry * count + peer];
          if (peer < entry || is_heard) ++peers.known;
          if (is_heard) ++peers.heard;
        }
        sum += ComputeLimitPart(peers);
      }
      RC_ASSERT(sum <= 1 + 1e-9);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LimitPartTest);

}  // namespace
}  // namespace peridotshelf::scheduling
