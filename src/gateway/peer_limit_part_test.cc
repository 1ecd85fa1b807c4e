#include <future>
#include <thread>
#include <type_traits>

#include "peridotshelf/gateway/peer_exchange.h"
#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two entries of a fleet.
class PeerLimitPartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLimitPartTest);
  CPPUNIT_TEST(LimitPart_ListNotRead_IsZero);
  CPPUNIT_TEST(LimitPart_AloneInTheList_IsAll);
  CPPUNIT_TEST(LimitPart_PeerNeverHeard_IsZero);
  CPPUNIT_TEST(LimitPart_PeerHeard_IsHalf);
  CPPUNIT_TEST(LimitPart_PeerStopped_StaysHalf);
  CPPUNIT_TEST(LimitPart_PeerUnheardForLong_IsAll);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_threads = std::make_unique<io::IoThreads>(1);
    m_entry = Create(m_address);
  }
  void tearDown() override { m_threads->Stop(); }

  void LimitPart_ListNotRead_IsZero() {
    CPPUNIT_ASSERT_EQUAL(0.0, ReadPart());
    CPPUNIT_ASSERT(!IsKnownToAll());
  }
  void LimitPart_AloneInTheList_IsAll() {
    List(/*is_known_to_all=*/false);
    CPPUNIT_ASSERT_EQUAL(1.0, ReadPart());
  }
  void LimitPart_PeerNeverHeard_IsZero() {
    AddAbsentPeer();
    List(/*is_known_to_all=*/false);
    CPPUNIT_ASSERT_EQUAL(0.0, ReadPart());
    CPPUNIT_ASSERT(!IsKnownToAll());
  }
  void LimitPart_PeerHeard_IsHalf() {
    Meet();
    CPPUNIT_ASSERT_EQUAL(0.5, ReadPart());
    CPPUNIT_ASSERT(IsKnownToAll());
  }
  // Guards against an entry that takes the parts of others as it is cut off.
  void LimitPart_PeerStopped_StaysHalf() {
    m_options.peer_timeout = milliseconds(50);
    m_options.full_report_interval = milliseconds(20);
    Recreate();
    Meet();
    ReadOnLoop([this] {
      m_peer.reset();
      return true;
    });
    const TimePoint deadline = SteadyClock().Now() + seconds(5);
    while (ReadOnLoop([this] { return m_entry->CountLiveEntries(); }) > 1 &&
           SteadyClock().Now() < deadline) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, ReadOnLoop([this] { return m_entry->CountLiveEntries(); }));
    CPPUNIT_ASSERT_EQUAL(0.5, ReadPart());
  }
  void LimitPart_PeerUnheardForLong_IsAll() {
    m_options.forget_time = milliseconds(50);
    m_options.full_report_interval = milliseconds(20);
    Recreate();
    AddAbsentPeer();
    List(/*is_known_to_all=*/false);
    CPPUNIT_ASSERT_EQUAL(1.0, WaitForPart(1.0));
  }

 private:
  /// Replaces the entry by one with the present options.
  void Recreate() {
    auto entry = Create(m_address);
    ReadOnLoop([&] {
      m_entry = std::move(entry);
      return true;
    });
  }
  std::unique_ptr<PeerExchange> Create(PeerAddress& address) {
    address = {"127.0.0.1", testing::FindFreePort()};
    m_options.local_address = address;
    auto created = PeerExchange::Create(*m_threads, m_requests, m_options);
    (*created)->Start();
    return std::move(*created);
  }
  template <class Read>
  std::invoke_result_t<Read> ReadOnLoop(Read read) {
    std::promise<std::invoke_result_t<Read>> value;
    m_threads->Post([&] { value.set_value(read()); });
    return value.get_future().get();
  }
  double ReadPart() {
    return ReadOnLoop([this] { return m_entry->LimitPart(); });
  }
  bool IsKnownToAll() {
    return ReadOnLoop([this] { return m_entry->IsKnownToAll(); });
  }
  double WaitForPart(double expected) {
    const TimePoint deadline = SteadyClock().Now() + seconds(5);
    while (ReadPart() != expected && SteadyClock().Now() < deadline) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    return ReadPart();
  }
  void List(bool is_known_to_all) {
    m_threads->Post([this, is_known_to_all] {
      m_entry->NoteEntriesListed(is_known_to_all);
    });
  }
  void AddAbsentPeer() {
    const PeerAddress absent{"127.0.0.1", testing::FindFreePort()};
    m_threads->Post([this, absent] { m_entry->AddPeer(absent.ToString()); });
  }
  /// Starts a peer and waits until the entry has heard it.
  void Meet() {
    PeerAddress address;
    m_peer = Create(address);
    m_threads->Post([this, address] { m_entry->AddPeer(address.ToString()); });
    List(/*is_known_to_all=*/false);
    CPPUNIT_ASSERT_EQUAL(0.5, WaitForPart(0.5));
  }

  PeerExchangeOptions m_options;
  scheduling::ActiveRequestTable m_requests;
  std::unique_ptr<io::IoThreads> m_threads;
  PeerAddress m_address;
  std::unique_ptr<PeerExchange> m_entry;
  std::unique_ptr<PeerExchange> m_peer;
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerLimitPartTest);

}  // namespace
}  // namespace peridotshelf::gateway
