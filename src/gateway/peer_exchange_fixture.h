/// Fixture with exchanges of several entries on loopback.
#pragma once

#include <chrono>
#include <future>
#include <memory>

#include "peridotshelf/gateway/peer_exchange.h"
#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PeerExchangeFixture : public CppUnit::TestFixture {
 protected:
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

}  // namespace peridotshelf::gateway
