#include "peridotshelf/gateway/peer_exchange.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PeerExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerExchangeTest);
  CPPUNIT_TEST(SetRecordsProgress_WithReads_ReachesPeer);
  CPPUNIT_TEST(SetRecordsProgress_WithPosition_ReachesPeer);
  CPPUNIT_TEST(TopicPosition_LaterEpoch_IsFurtherThanAnyOffset);
  CPPUNIT_TEST(SetRecordsProgress_BeforeFirstRead_ReachesPeerWithoutReads);
  CPPUNIT_TEST(ShareRateLimits_PeerGreets_LearnsTheLimit);
  CPPUNIT_TEST(ShareColdEngines_PeerGreets_LearnsTheColdTime);
  CPPUNIT_TEST(ShareColdEngines_KnownEngineColdAgain_IsReportedOnce);
  CPPUNIT_TEST(ReportLeaving_PeerStartsLater_LearnsTheEngine);
  CPPUNIT_TEST(AddPeer_PeerHasRequests_LearnsThemAtOnce);
  CPPUNIT_TEST(ShareSuspects_PeerStartsLater_LearnsTheQuarantine);
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

  void ReportLeaving_PeerStartsLater_LearnsTheEngine() {
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    scheduling::ActiveRequestTable peer_requests;
    const PeerAddress address{"127.0.0.1", testing::FindFreePort()};
    auto informed = CreateExchange(threads, requests, address);
    auto starting = CreateExchange(threads, peer_requests,
                                   {"127.0.0.1", testing::FindFreePort()});
    std::promise<std::string> learned;
    bool is_set = false;
    threads.Post([&] {
      informed->ReportLeaving("e@1");
      starting->OnPeerLeaving([&](std::span<const std::string> leaving) {
        if (leaving.empty() || std::exchange(is_set, true)) return;
        learned.set_value(leaving[0]);
      });
      starting->AddPeer(address.ToString());
    });
    CPPUNIT_ASSERT_EQUAL(std::string("e@1"), learned.get_future().get());
    threads.Stop();
  }
  // Guards against an entry that starts and places at engines that others use,
  // until their next full reports.
  void AddPeer_PeerHasRequests_LearnsThemAtOnce() {
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    scheduling::ActiveRequestTable peer_requests;
    constexpr size_t kEngines = 150;
    scheduling::ActiveRequest request;
    request.end = SteadyClock().Now() + seconds(60);
    for (size_t i = 0; i < kEngines; ++i) {
      requests.Put("e" + std::to_string(i), request);
    }
    const PeerAddress address{"127.0.0.1", testing::FindFreePort()};
    auto informed = CreateExchange(threads, requests, address);
    auto starting = CreateExchange(threads, peer_requests,
                                   {"127.0.0.1", testing::FindFreePort()});
    const auto count_known = [&] {
      std::promise<size_t> known;
      threads.Post([&] {
        size_t engines = 0;
        for (size_t i = 0; i < kEngines; ++i) {
          const auto load = peer_requests.ComputeLoad("e" + std::to_string(i),
                                                      SteadyClock().Now());
          engines += static_cast<size_t>(load.running);
        }
        known.set_value(engines);
      });
      return known.get_future().get();
    };
    threads.Post([&] { starting->AddPeer(address.ToString()); });
    const TimePoint deadline = SteadyClock().Now() + seconds(5);
    while (count_known() < kEngines && SteadyClock().Now() < deadline) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    CPPUNIT_ASSERT_EQUAL(kEngines, count_known());
    threads.Stop();
  }
  // Guards against an entry that was restarted and sends what crashes engines.
  void ShareSuspects_PeerStartsLater_LearnsTheQuarantine() {
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    scheduling::ActiveRequestTable peer_requests;
    const PeerAddress address{"127.0.0.1", testing::FindFreePort()};
    auto informed = CreateExchange(threads, requests, address);
    auto starting = CreateExchange(threads, peer_requests,
                                   {"127.0.0.1", testing::FindFreePort()});
    quarantine::SuspectRecord record;
    record.id = ~uint64_t{0};
    record.service = ~uint64_t{0} - 1;
    const TimePoint now = SteadyClock().Now();
    record.quarantine = {1, now - seconds(1), now + seconds(59)};
    record.sightings = {{1, 2, now - seconds(3), now - seconds(2)}};
    auto known = std::make_shared<quarantine::CrashQuarantine>(
        quarantine::QuarantineOptions{});
    known->Apply({&record, 1}, now);
    auto learned = std::make_shared<quarantine::CrashQuarantine>(
        quarantine::QuarantineOptions{});
    std::promise<quarantine::SuspectId> quarantined;
    threads.Post([&] {
      informed->ShareSuspects(known, [](auto) {});
      starting->ShareSuspects(learned, [&quarantined](auto suspects) {
        if (!suspects.empty()) quarantined.set_value(suspects[0]);
      });
      starting->AddPeer(address.ToString());
    });
    CPPUNIT_ASSERT(quarantined.get_future().get() == record.id);
    std::promise<quarantine::SuspectRecord> received;
    threads.Post([&] { received.set_value(*learned->Find(record.id)); });
    const auto copy = received.get_future().get();
    CPPUNIT_ASSERT_EQUAL(record.service, copy.service);
    // Durations are sent in whole milliseconds.
    CPPUNIT_ASSERT(IsDelayed(record.quarantine->until - milliseconds(1),
                             copy.quarantine->until));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, copy.sightings.size());
    CPPUNIT_ASSERT(IsDelayed(record.sightings[0].crashed_at,
                             copy.sightings[0].crashed_at));
    threads.Stop();
  }
  // Guards against an entry that exceeds a limit which only others were told.
  void ShareRateLimits_PeerGreets_LearnsTheLimit() {
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    scheduling::ActiveRequestTable peer_requests;
    const PeerAddress address{"127.0.0.1", testing::FindFreePort()};
    auto informed = CreateExchange(threads, requests, address);
    auto starting = CreateExchange(threads, peer_requests,
                                   {"127.0.0.1", testing::FindFreePort()});
    auto limits = std::make_shared<scheduling::EngineRateLimits>(1);
    auto learned = std::make_shared<scheduling::EngineRateLimits>(2);
    const TimePoint now = SteadyClock().Now();
    limits->NoteAnswer("e@1", 1.7, now, now);
    std::promise<std::string> changed;
    threads.Post([&] {
      informed->ShareRateLimits(limits, [](const std::string&) {});
      starting->ShareRateLimits(learned, [&changed](const std::string& engine) {
        changed.set_value(engine);
      });
      starting->AddPeer(address.ToString());
    });
    CPPUNIT_ASSERT_EQUAL(std::string("e@1"), changed.get_future().get());
    threads.Stop();
    CPPUNIT_ASSERT(learned->FindLimit("e@1") == 1.7);
  }

  // Guards against a rush by an entry that has not read the registration yet.
  void ShareColdEngines_PeerGreets_LearnsTheColdTime() {
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    scheduling::ActiveRequestTable peer_requests;
    const PeerAddress address{"127.0.0.1", testing::FindFreePort()};
    auto informed = CreateExchange(threads, requests, address);
    auto starting = CreateExchange(threads, peer_requests,
                                   {"127.0.0.1", testing::FindFreePort()});
    auto known = std::make_shared<discovery::ColdEngines>();
    auto learned = std::make_shared<discovery::ColdEngines>();
    const TimePoint now = SteadyClock().Now();
    discovery::RegistrationRead read;
    read.engine = "e@1";
    read.at = now;
    read.cold_left = std::chrono::seconds(30);
    known->NoteRegistration(read);
    std::promise<std::string> changed;
    threads.Post([&] {
      const auto limits = std::make_shared<scheduling::EngineRateLimits>(1);
      informed->ShareRateLimits(limits, [](const std::string&) {});
      informed->ShareColdEngines(known, [](const std::string&) {});
      starting->ShareRateLimits(limits, [](const std::string&) {});
      starting->ShareColdEngines(
          learned,
          [&changed](const std::string& engine) { changed.set_value(engine); });
      starting->AddPeer(address.ToString());
    });
    CPPUNIT_ASSERT_EQUAL(std::string("e@1"), changed.get_future().get());
    threads.Stop();
    const discovery::ColdBelief* belief = learned->FindCold("e@1", now);
    CPPUNIT_ASSERT(belief != nullptr);
    // Durations are sent in whole milliseconds.
    CPPUNIT_ASSERT(
        IsDelayed(now + std::chrono::milliseconds(29999), belief->until));
  }

  // Guards against peers that learn of it only with their next read, and
  // against a report that is passed on from peer to peer.
  void ShareColdEngines_KnownEngineColdAgain_IsReportedOnce() {
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    scheduling::ActiveRequestTable peer_requests;
    const PeerAddress address{"127.0.0.1", testing::FindFreePort()};
    auto informed = CreateExchange(threads, requests, address);
    auto other = CreateExchange(threads, peer_requests,
                                {"127.0.0.1", testing::FindFreePort()});
    auto known = std::make_shared<discovery::ColdEngines>();
    auto learned = std::make_shared<discovery::ColdEngines>();
    std::promise<void> changed;
    std::atomic<int> passed_on = 0;
    const auto limits = std::make_shared<scheduling::EngineRateLimits>(1);
    threads.Post([&] {
      informed->ShareRateLimits(limits, [](const std::string&) {});
      informed->ShareColdEngines(known,
                                 [&](const std::string&) { ++passed_on; });
      other->ShareRateLimits(limits, [](const std::string&) {});
      other->ShareColdEngines(learned, [&](const std::string& engine) {
        // Requests at the engine are reported with what is known of it.
        other->NoteChange(engine);
        changed.set_value();
      });
      // Greets at once, so that both know each other.
      other->AddPeer(address.ToString());
    });
    threads.RunAfter(milliseconds(100), [&] {
      discovery::RegistrationRead read;
      read.engine = "e@1";
      read.at = SteadyClock().Now();
      read.cold_left = Duration::zero();
      known->NoteRegistration(read);
      read.cold_left = seconds(30);
      known->NoteRegistration(read);
      informed->NoteChange("e@1");
    });
    changed.get_future().get();
    std::this_thread::sleep_for(milliseconds(100));
    threads.Stop();
    CPPUNIT_ASSERT(learned->FindCold("e@1", SteadyClock().Now()) != nullptr);
    CPPUNIT_ASSERT_EQUAL(0, passed_on.load());
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

 private:
  static constexpr int64_t kDigest = 7;

  /// Returns whether `received` is `sent` plus the transfer time. Times are
  /// sent as ages in whole milliseconds.
  static bool IsDelayed(TimePoint sent, TimePoint received) {
    return received >= sent && received < sent + seconds(20);
  }

  static std::unique_ptr<PeerExchange> CreateExchange(
      io::IoThreads& threads, scheduling::ActiveRequestTable& requests,
      const PeerAddress& address, Duration batch_delay = milliseconds(20)) {
    PeerExchangeOptions options;
    options.local_address = address;
    options.batch_delay = batch_delay;
    // Only greetings are answered.
    options.full_report_interval = std::chrono::hours(1);
    auto exchange = PeerExchange::Create(threads, requests, options).value();
    exchange->Start();
    return exchange;
  }

  /// Makes `exchange` fulfil `received` with the first progress of kDigest.
  static void ExpectProgress(PeerExchange& exchange,
                             std::promise<RecordsProgress>& received) {
    exchange.OnPeerRecordsProgress(
        [&received, is_done = false](const RecordsProgress& peer) mutable {
          if (peer.engines_digest != kDigest || is_done) return;
          is_done = true;
          received.set_value(peer);
        });
  }

  /// Returns `progress` as another entry receives it.
  static RecordsProgress Exchange(const RecordsProgress& progress) {
    io::IoThreads threads(1);
    scheduling::ActiveRequestTable requests;
    scheduling::ActiveRequestTable peer_requests;
    const PeerAddress address{"127.0.0.1", testing::FindFreePort()};
    auto sender = CreateExchange(threads, requests, address);
    auto receiver = CreateExchange(threads, peer_requests,
                                   {"127.0.0.1", testing::FindFreePort()});
    std::promise<RecordsProgress> received;
    threads.Post([&] {
      ExpectProgress(*receiver, received);
      sender->SetRecordsProgress(progress);
      receiver->AddPeer(address.ToString());
    });
    RecordsProgress result = received.get_future().get();
    threads.Stop();
    return result;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerExchangeTest);

}  // namespace
}  // namespace peridotshelf::gateway
