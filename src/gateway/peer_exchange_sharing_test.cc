// What entries tell those that start later or greet them.
#include <future>
#include <thread>
#include <vector>

#include "peer_exchange_fixture.h"

namespace peridotshelf::gateway {
namespace {

class PeerExchangeSharingTest : public PeerExchangeFixture {
  CPPUNIT_TEST_SUITE(PeerExchangeSharingTest);
  CPPUNIT_TEST(ReportLeaving_PeerStartsLater_LearnsTheEngine);
  CPPUNIT_TEST(AddPeer_PeerHasRequests_LearnsThemAtOnce);
  CPPUNIT_TEST(ShareSuspects_PeerStartsLater_LearnsTheQuarantine);
  CPPUNIT_TEST(ShareRateLimits_PeerGreets_LearnsTheLimit);
  CPPUNIT_TEST(ShareColdEngines_PeerGreets_LearnsTheColdTime);
  CPPUNIT_TEST(ShareColdEngines_KnownEngineColdAgain_IsReportedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
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
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerExchangeSharingTest);

}  // namespace
}  // namespace peridotshelf::gateway
