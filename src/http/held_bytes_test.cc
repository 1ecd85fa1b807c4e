#include "peridotshelf/http/held_bytes.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf::http {
namespace {

using std::chrono::seconds;

constexpr size_t kLimit = 800000;

class HeldBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldBytesTest);
  CPPUNIT_TEST(TryAdd_LargeBodies_LeaveRoomForSmallOnes);
  CPPUNIT_TEST(TryAdd_OverLimit_AddsNothing);
  CPPUNIT_TEST(Lease_EndOrMove_GivesEachByteBackOnce);
  CPPUNIT_TEST(PredictWait_BytesRemoved_FollowsTheirRate);
  CPPUNIT_TEST(TryAddAndRemove_AnySteps_KeepToTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TryAdd_LargeBodies_LeaveRoomForSmallOnes() {
    HeldBytes held(kLimit);
    CPPUNIT_ASSERT(held.TryAdd(0, kLimit / 8 * 7));
    CPPUNIT_ASSERT(!held.TryAdd(kLimit / 8 * 7, 1));
    CPPUNIT_ASSERT(held.TryAdd(0, 1000));
    CPPUNIT_ASSERT(held.TryAdd(1000, 1000));
  }
  void TryAdd_OverLimit_AddsNothing() {
    HeldBytes held(1000);
    CPPUNIT_ASSERT(!held.TryAdd(0, 1001));
    held.Add(2000);
    CPPUNIT_ASSERT(!held.TryAdd(0, 1));
    CPPUNIT_ASSERT_EQUAL(size_t{2000}, held.bytes());
  }
  void Lease_EndOrMove_GivesEachByteBackOnce() {
    const auto held = std::make_shared<HeldBytes>(1000);
    {
      HeldBytesLease first(held);
      CPPUNIT_ASSERT(first.TryAdd(300));
      HeldBytesLease second(std::move(first));
      second.Add(100);
      first = HeldBytesLease(held);
      CPPUNIT_ASSERT(first.TryAdd(50));
      second.Remove(1000);
      CPPUNIT_ASSERT_EQUAL(size_t{50}, held->bytes());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, held->bytes());
  }
  void PredictWait_BytesRemoved_FollowsTheirRate() {
    const TimePoint now = SteadyClock().Now();
    HeldBytes held(kLimit);
    CPPUNIT_ASSERT(held.PredictWait(now) == Duration(seconds(5)));
    held.Add(2 * kLimit);
    held.Remove(kLimit, now);
    const Duration wait = held.PredictWait(now + seconds(2));
    CPPUNIT_ASSERT(wait >= seconds(1) && wait < seconds(2));
  }
  void TryAddAndRemove_AnySteps_KeepToTheLimit() {
    testing::CheckProperty("limit", [](const std::vector<uint16_t>& steps) {
      const auto held = std::make_shared<HeldBytes>(kLimit);
      std::vector<HeldBytesLease> leases;
      for (const uint16_t step : steps) {
        leases.emplace_back(held);
        leases.back().TryAdd(size_t{step} * 8);
        if (step % 3 == 0) leases.erase(leases.begin());
        RC_ASSERT(held->bytes() <= kLimit);
      }
      leases.clear();
      RC_ASSERT(held->bytes() == 0U);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HeldBytesTest);

}  // namespace
}  // namespace peridotshelf::http
