#include "peridotshelf/gateway/peer_exchange.h"

#include <chrono>
#include <future>

#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PeerExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerExchangeTest);
  CPPUNIT_TEST(SetRecordsProgress_WithReadTime_ReachesPeer);
  CPPUNIT_TEST(SetRecordsProgress_BeforeFirstRead_ReachesPeerWithoutReadTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SetRecordsProgress_WithReadTime_ReachesPeer() {
    RecordsProgress progress;
    progress.engines_digest = kDigest;
    progress.engines_read_at = SteadyClock().Now() - seconds(5);
    const RecordsProgress received = Exchange(progress);
    CPPUNIT_ASSERT(received.engines_read_at.has_value());
    // The age is sent in whole milliseconds.
    CPPUNIT_ASSERT(*received.engines_read_at >= *progress.engines_read_at);
    CPPUNIT_ASSERT(*received.engines_read_at <
                   *progress.engines_read_at + seconds(4));
  }
  void SetRecordsProgress_BeforeFirstRead_ReachesPeerWithoutReadTime() {
    RecordsProgress progress;
    progress.engines_digest = kDigest;
    CPPUNIT_ASSERT(!Exchange(progress).engines_read_at);
  }

 private:
  static constexpr int64_t kDigest = 7;

  static std::unique_ptr<PeerExchange> CreateExchange(
      io::IoThreads& threads, scheduling::ActiveRequestTable& requests,
      const PeerAddress& address) {
    PeerExchangeOptions options;
    options.local_address = address;
    return std::move(*PeerExchange::Create(threads, requests, options));
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
      receiver->OnPeerRecordsProgress(
          [&received, is_done = false](const RecordsProgress& peer) mutable {
            if (peer.engines_digest != kDigest || is_done) return;
            is_done = true;
            received.set_value(peer);
          });
      sender->SetRecordsProgress(progress);
      receiver->AddPeer(address.ToString());
    });
    const RecordsProgress result = received.get_future().get();
    threads.Stop();
    return result;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerExchangeTest);

}  // namespace
}  // namespace peridotshelf::gateway
