#include "peridotshelf/gateway/peer_exchange.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

#include "peer_exchange_fixture.h"

namespace peridotshelf::gateway {
namespace {

class PeerExchangeTest : public PeerExchangeFixture {
  CPPUNIT_TEST_SUITE(PeerExchangeTest);
  CPPUNIT_TEST(SetRecordsProgress_WithReads_ReachesPeer);
  CPPUNIT_TEST(SetRecordsProgress_WithPosition_ReachesPeer);
  CPPUNIT_TEST(TopicPosition_LaterEpoch_IsFurtherThanAnyOffset);
  CPPUNIT_TEST(SetRecordsProgress_BeforeFirstRead_ReachesPeerWithoutReads);
  CPPUNIT_TEST(GreetLostPeers_PeerMissedTheFirstGreeting_ReportsAtOnce);
  CPPUNIT_TEST(NoteStart_FleetOfManyEntries_ReachesEachAtOnce);
  CPPUNIT_TEST(Start_ReportArrivedBefore_ReachesTheCallbacks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SetRecordsProgress_WithReads_ReachesPeer() {
    RecordsProgress progress;
    progress.engines_digest = kDigest;
    const TimePoint now = SteadyClock().Now();
    progress.registry_reads = {now - seconds(60), now - seconds(30)};
    const auto received = Exchange(progress).registry_reads;
    CPPUNIT_ASSERT(received.has_value());
    CPPUNIT_ASSERT(IsDelayed(progress.registry_reads->available_since,
                             received->available_since));
    CPPUNIT_ASSERT(IsDelayed(progress.registry_reads->last, received->last));
  }
  void SetRecordsProgress_WithPosition_ReachesPeer() {
    RecordsProgress progress;
    progress.engines_digest = kDigest;
    progress.engines_position = {3, 7};
    CPPUNIT_ASSERT(Exchange(progress).engines_position ==
                   progress.engines_position);
  }
  // Guards against offsets that are compared across a restore of the store.
  void TopicPosition_LaterEpoch_IsFurtherThanAnyOffset() {
    CPPUNIT_ASSERT(TopicPosition({1, 9}).IsBehind({2, 1}));
    CPPUNIT_ASSERT(!TopicPosition({2, 1}).IsBehind({1, 9}));
    CPPUNIT_ASSERT(TopicPosition({2, 1}).IsBehind({2, 2}));
    CPPUNIT_ASSERT(!TopicPosition({2, 2}).IsBehind({2, 2}));
  }
  void SetRecordsProgress_BeforeFirstRead_ReachesPeerWithoutReads() {
    RecordsProgress progress;
    progress.engines_digest = kDigest;
    CPPUNIT_ASSERT(!Exchange(progress).registry_reads);
  }

  void GreetLostPeers_PeerMissedTheFirstGreeting_ReportsAtOnce() {
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    scheduling::ActiveRequestTable peer_requests;
    const PeerAddress address{"127.0.0.1", testing::FindFreePort()};
    auto receiver = CreateExchange(threads, requests,
                                   {"127.0.0.1", testing::FindFreePort()});
    std::promise<RecordsProgress> received;
    std::promise<void> greeted;
    threads.Post([&] {
      ExpectProgress(*receiver, received);
      receiver->AddPeer(address.ToString());
      greeted.set_value();
    });
    greeted.get_future().get();
    auto sender = CreateExchange(threads, peer_requests, address);
    threads.Post([&] {
      RecordsProgress progress;
      progress.engines_digest = kDigest;
      sender->SetRecordsProgress(progress);
      receiver->GreetLostPeers();
    });
    const auto status = received.get_future().wait_for(seconds(20));
    threads.Stop();
    CPPUNIT_ASSERT(status == std::future_status::ready);
  }

  // Guards against entries that place requests at the same engine because they
  // learn of each other's with the next full report only.
  void NoteStart_FleetOfManyEntries_ReachesEachAtOnce() {
    constexpr size_t kPeers = 40;
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    const PeerAddress address{"127.0.0.1", testing::FindFreePort()};
    // Nothing but starts is sent during the test.
    auto sender =
        CreateExchange(threads, requests, address, std::chrono::hours(1));
    std::vector<scheduling::ActiveRequestTable> tables(kPeers);
    std::vector<std::unique_ptr<PeerExchange>> peers;
    peers.reserve(kPeers);
    for (scheduling::ActiveRequestTable& table : tables) {
      peers.push_back(CreateExchange(threads, table,
                                     {"127.0.0.1", testing::FindFreePort()}));
    }
    const auto count_informed = [&] {
      std::promise<int64_t> counted;
      threads.Post([&] {
        counted.set_value(
            std::count_if(tables.begin(), tables.end(), [](const auto& table) {
              return table.ComputeLoad("e@1", SteadyClock().Now()).running == 1;
            }));
      });
      return static_cast<size_t>(counted.get_future().get());
    };
    std::promise<void> connected;
    threads.Post([&] {
      sender->OnPeerChange([&, is_done = false]() mutable {
        if (is_done || sender->CountLiveEntries() != kPeers + 1) return;
        is_done = true;
        connected.set_value();
      });
      for (auto& peer : peers) peer->AddPeer(address.ToString());
    });
    connected.get_future().get();
    threads.Post([&] {
      scheduling::ActiveRequest request;
      request.id = 1;
      request.end = SteadyClock().Now() + seconds(60);
      requests.Put("e@1", request);
      sender->NoteStart("e@1");
    });
    const TimePoint deadline = SteadyClock().Now() + seconds(20);
    while (count_informed() < kPeers && SteadyClock().Now() < deadline) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    const size_t informed = count_informed();
    threads.Stop();
    CPPUNIT_ASSERT_EQUAL(kPeers, informed);
  }

  // Guards against reports that are handled while the callbacks are being set.
  void Start_ReportArrivedBefore_ReachesTheCallbacks() {
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    scheduling::ActiveRequestTable peer_requests;
    PeerExchangeOptions options;
    options.local_address = {"127.0.0.1", testing::FindFreePort()};
    // The report is not repeated.
    options.full_report_interval = std::chrono::hours(1);
    auto receiver = PeerExchange::Create(threads, requests, options).value();
    auto sender = CreateExchange(threads, peer_requests,
                                 {"127.0.0.1", testing::FindFreePort()});
    std::promise<void> sent;
    threads.Post([&] {
      RecordsProgress progress;
      progress.engines_digest = kDigest;
      sender->SetRecordsProgress(progress);
      sender->AddPeer(options.local_address.ToString());
      sent.set_value();
    });
    sent.get_future().get();
    std::this_thread::sleep_for(milliseconds(100));
    std::promise<RecordsProgress> received;
    ExpectProgress(*receiver, received);
    receiver->Start();
    const auto status = received.get_future().wait_for(seconds(10));
    threads.Stop();
    CPPUNIT_ASSERT(status == std::future_status::ready);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerExchangeTest);

}  // namespace
}  // namespace peridotshelf::gateway
