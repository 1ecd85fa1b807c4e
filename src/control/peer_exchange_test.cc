#include "peridotshelf/control/peer_exchange.h"

#include <set>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

using std::chrono::milliseconds;

class PeerExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerExchangeTest);
  CPPUNIT_TEST(Peers_NotNewer_AreNotAsked);
  CPPUNIT_TEST(Peer_Newer_IsAskedAfterGracePeriod);
  CPPUNIT_TEST(Log_DeliversVersionInTime_NoPeerIsAsked);
  CPPUNIT_TEST(Peer_Unresponsive_NextNewerPeerIsAsked);
  CPPUNIT_TEST(Peer_Disconnected_IsNotAsked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_clock = ManualClock();
    m_exchange = PeerExchange<int>();
  }
  void Peers_NotNewer_AreNotAsked() {
    m_exchange.NoteVersion(1, 5);
    m_exchange.NoteVersion(2, 3);
    CPPUNIT_ASSERT(AskedWithin(milliseconds(5000), 5).empty());
  }
  void Peer_Newer_IsAskedAfterGracePeriod() {
    m_exchange.NoteVersion(1, 5);
    m_exchange.NoteVersion(2, 6);
    CPPUNIT_ASSERT(AskedWithin(milliseconds(500), 5).empty());
    CPPUNIT_ASSERT(AskedWithin(milliseconds(200), 5) == std::vector<int>{2});
  }
  void Log_DeliversVersionInTime_NoPeerIsAsked() {
    m_exchange.NoteVersion(1, 6);
    CPPUNIT_ASSERT(AskedWithin(milliseconds(400), 5).empty());
    CPPUNIT_ASSERT(AskedWithin(milliseconds(400), 6).empty());
    m_exchange.NoteVersion(1, 7);
    CPPUNIT_ASSERT(AskedWithin(milliseconds(400), 6).empty());
  }
  void Peer_Unresponsive_NextNewerPeerIsAsked() {
    for (int peer : {1, 2, 3}) m_exchange.NoteVersion(peer, 6);
    m_exchange.NoteVersion(4, 5);
    const std::vector<int> asked = AskedWithin(milliseconds(3000), 5);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, asked.size());
    CPPUNIT_ASSERT(
        (std::set<int>(asked.begin(), asked.end()) == std::set<int>{1, 2, 3}));
  }
  void Peer_Disconnected_IsNotAsked() {
    m_exchange.NoteVersion(1, 6);
    m_exchange.RemovePeer(1);
    CPPUNIT_ASSERT(AskedWithin(milliseconds(2000), 5).empty());
  }

 private:
  /// Returns the peers asked within `span`, in order.
  std::vector<int> AskedWithin(Duration span, ControlVersion local_version) {
    constexpr Duration kStep = milliseconds(50);
    std::vector<int> asked;
    for (Duration passed{}; passed < span; passed += kStep) {
      const auto peer = m_exchange.ChoosePeer(local_version, m_clock.Now());
      if (peer) asked.push_back(*peer);
      m_clock.Advance(kStep);
    }
    return asked;
  }
  ManualClock m_clock;
  PeerExchange<int> m_exchange;
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerExchangeTest);

}  // namespace
}  // namespace peridotshelf::control
