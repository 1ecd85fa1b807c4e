#include "membership/virtual_fleet.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::membership {
namespace {

using std::chrono::seconds;
using wire::MemberState;

constexpr size_t kMembers = 40;

/// How many of the members but `i` hold it to be in `state`.
size_t CountBelievers(VirtualFleet& fleet, size_t members, size_t i,
                      MemberState::type state) {
  size_t count = 0;
  for (size_t other = 0; other < members; ++other) {
    if (other == i) continue;
    if (fleet.at(other).StateOf(fleet.host(i)) == state) ++count;
  }
  return count;
}

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(Death_OfOneMember_ReachesAll);
  CPPUNIT_TEST(Quiet_LongRun_SuspectsNobody);
  CPPUNIT_TEST(Pause_ShorterThanSuspicion_IsRefuted);
  CPPUNIT_TEST(Pause_TakenForDeath_EndsWhenMemberWakes);
  CPPUNIT_TEST(Cut_BetweenHalves_HealsCompletely);
  CPPUNIT_TEST(Leaving_OneMember_IsKnownToAll);
  CPPUNIT_TEST(Version_NewerAtOne_IsHeardByAll);
  CPPUNIT_TEST(Bytes_At990Members_StayUnderLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Death_OfOneMember_ReachesAll() {
    VirtualFleet fleet(kMembers);
    fleet.Run(seconds(5));
    fleet.SetStopped(7, true);
    const Duration taken = fleet.RunUntil(
        [&] {
          return CountBelievers(fleet, kMembers, 7, MemberState::DEAD) ==
                 kMembers - 1;
        },
        seconds(60));
    // One round of pings, the suspicion, and the time for the news to spread.
    const Duration limit = fleet.at(0).SuspicionTime() + seconds(10);
    CPPUNIT_ASSERT(taken < limit);
  }
  void Quiet_LongRun_SuspectsNobody() {
    VirtualFleet fleet(kMembers);
    fleet.Run(seconds(120));
    for (size_t i = 0; i < kMembers; ++i) {
      CPPUNIT_ASSERT(fleet.at(i).TakeChanges().empty());
    }
  }
  void Pause_ShorterThanSuspicion_IsRefuted() {
    VirtualFleet fleet(kMembers);
    fleet.SetStopped(3, true);
    fleet.RunUntil(
        [&] {
          return CountBelievers(fleet, kMembers, 3, MemberState::SUSPECT) > 0;
        },
        seconds(30));
    fleet.SetStopped(3, false);
    fleet.Run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(
        kMembers - 1, CountBelievers(fleet, kMembers, 3, MemberState::ALIVE));
    for (size_t i = 0; i < kMembers; ++i) {
      for (const MemberChange& change : fleet.at(i).TakeChanges()) {
        CPPUNIT_ASSERT(change.state != MemberState::DEAD);
      }
    }
  }
  void Pause_TakenForDeath_EndsWhenMemberWakes() {
    VirtualFleet fleet(kMembers);
    fleet.SetStopped(3, true);
    fleet.Run(seconds(30));
    CPPUNIT_ASSERT_EQUAL(kMembers - 1,
                         CountBelievers(fleet, kMembers, 3, MemberState::DEAD));
    fleet.SetStopped(3, false);
    fleet.Run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(
        kMembers - 1, CountBelievers(fleet, kMembers, 3, MemberState::ALIVE));
  }
  void Cut_BetweenHalves_HealsCompletely() {
    VirtualFleet fleet(kMembers);
    fleet.Cut(kMembers / 2);
    fleet.Run(seconds(120));
    CPPUNIT_ASSERT(fleet.at(0).StateOf(fleet.host(kMembers - 1)) ==
                   MemberState::DEAD);
    fleet.Cut(0);
    fleet.Run(seconds(60));
    for (size_t i = 0; i < kMembers; ++i) {
      CPPUNIT_ASSERT_EQUAL(
          kMembers - 1, CountBelievers(fleet, kMembers, i, MemberState::ALIVE));
    }
  }
  void Leaving_OneMember_IsKnownToAll() {
    VirtualFleet fleet(kMembers);
    fleet.at(5).StartLeaving();
    fleet.Run(seconds(15));
    CPPUNIT_ASSERT_EQUAL(
        kMembers - 1, CountBelievers(fleet, kMembers, 5, MemberState::LEAVING));
  }
  void Version_NewerAtOne_IsHeardByAll() {
    VirtualFleet fleet(kMembers);
    fleet.at(0).SetControlVersion(9);
    // Whoever hears of a version pulls it and then tells of it in turn. Three
    // seconds are allowed until a change is in force everywhere.
    fleet.RunUntil([&] { return !SpreadVersions(fleet); }, seconds(3));
    CPPUNIT_ASSERT(!SpreadVersions(fleet));
  }
  void Bytes_At990Members_StayUnderLimit() {
    constexpr size_t kLargeFleet = 990;
    constexpr size_t kLimitPerSecond = 3 * 1024;
    // Each datagram also carries UDP and IP headers.
    constexpr size_t kHeaderBytes = 28;
    constexpr size_t kDatagramsPerSecond = 4;
    VirtualFleet fleet(kLargeFleet);
    fleet.Run(seconds(3));
    // The rate while changes spread: one death each second.
    fleet.ResetBytes();
    for (size_t i = 0; i < 10; ++i) {
      fleet.SetStopped(i, true);
      fleet.Run(seconds(1));
    }
    size_t total = 0;
    for (size_t i = 10; i < kLargeFleet; ++i) total += fleet.bytes(i);
    const size_t mean = total / (kLargeFleet - 10) / 10;
    CPPUNIT_ASSERT(mean + kHeaderBytes * kDatagramsPerSecond < kLimitPerSecond);
    CPPUNIT_ASSERT(mean > 0);
  }

 private:
  /// Passes heard versions on; whether any member lacks the newest.
  static bool SpreadVersions(VirtualFleet& fleet) {
    bool lacking = false;
    for (size_t i = 1; i < kMembers; ++i) {
      const ControlVersion heard = fleet.at(i).newest_version();
      if (heard < 9) lacking = true;
      fleet.at(i).SetControlVersion(heard);
    }
    return lacking;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace peridotshelf::membership
