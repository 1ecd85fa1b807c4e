#include "peridotshelf/scheduling/fleet_view.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

class FleetViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetViewTest);
  CPPUNIT_TEST(CountSilent_SomePeersSilent_AreCounted);
  CPPUNIT_TEST(CountSilent_AllPeersLost_AreCountedForGood);
  CPPUNIT_TEST(CountSilent_FleetShrank_IsBelievedLater);
  CPPUNIT_TEST(CountSilent_NeverHeardAPeer_CountsAddresses);
  CPPUNIT_TEST(CountSilent_NoOtherEntry_IsZero);
  CPPUNIT_TEST(CountSilent_JustStarted_CountsAddresses);
  CPPUNIT_TEST(IsStarting_PeerHeardOrTimeOver_Ends);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountSilent_SomePeersSilent_AreCounted() {
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_view.CountSilent({4, 4, 9}, kNow));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_view.CountSilent({4, 3, 9}, kNow));
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         m_view.CountSilent({2, 2, 9}, kNow + seconds(4)));
  }
  // Guards against an entry that uses a whole limit since it is cut off.
  void CountSilent_AllPeersLost_AreCountedForGood() {
    m_view.CountSilent({4, 4, 9}, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{4},
                         m_view.CountSilent({0, 0, 9}, kNow + minutes(60)));
  }
  // Guards against a limit of which a part stays unused after entries stopped.
  void CountSilent_FleetShrank_IsBelievedLater() {
    m_view.CountSilent({4, 4, 9}, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         m_view.CountSilent({2, 2, 9}, kNow + minutes(1)));
    CPPUNIT_ASSERT_EQUAL(size_t{0},
                         m_view.CountSilent({2, 2, 9}, kNow + minutes(3)));
  }
  void CountSilent_NeverHeardAPeer_CountsAddresses() {
    CPPUNIT_ASSERT_EQUAL(size_t{9}, m_view.CountSilent({0, 0, 9}, kNow));
  }
  void CountSilent_NoOtherEntry_IsZero() {
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_view.CountSilent({}, kNow));
  }
  // Guards against an entry that shares with the first peer that it hears only.
  void CountSilent_JustStarted_CountsAddresses() {
    FleetView view(kNow, seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, view.CountSilent({1, 1, 9}, kNow));
    CPPUNIT_ASSERT_EQUAL(size_t{0},
                         view.CountSilent({1, 1, 9}, kNow + seconds(2)));
  }
  void IsStarting_PeerHeardOrTimeOver_Ends() {
    const FleetView view(kNow, seconds(2));
    CPPUNIT_ASSERT(view.IsStarting({0, 0, 9}, kNow));
    CPPUNIT_ASSERT(!view.IsStarting({1, 1, 9}, kNow));
    CPPUNIT_ASSERT(!view.IsStarting({0, 0, 9}, kNow + seconds(2)));
  }

 private:
  FleetView m_view{kNow - minutes(1), seconds(2)};
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);

}  // namespace
}  // namespace peridotshelf::scheduling
