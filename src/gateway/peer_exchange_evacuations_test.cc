#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <future>
#include <optional>

#include "peer_messages.h"
#include "peridotshelf/gateway/peer_exchange.h"
#include "peridotshelf/testing/free_port.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::gateway {
namespace {

using discovery::Evacuations;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHoldTime = seconds(5);
/// Much longer than any message takes.
constexpr Duration kMaxWait = seconds(10);
constexpr Duration kNever = std::chrono::hours(1);
const FailureDomain kDomain("zone");

/// Two entries that know each other.
class PeerExchangeEvacuationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerExchangeEvacuationsTest);
  CPPUNIT_TEST(ReportEvacuations_NewEvacuation_ReachesPeerAtOnce);
  CPPUNIT_TEST(AddPeer_PeerKnowsEvacuations_LearnsThem);
  CPPUNIT_TEST(FullReport_WithEvacuations_MakesUpForALostOne);
  CPPUNIT_TEST(ReadEvacuations_DatagramOfOlderEntry_HasNone);
  CPPUNIT_TEST(WriteEvacuations_ShortHold_StaysAHold);
  CPPUNIT_TEST(ReadEvacuations_NegativeOrEndlessHold_IsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    m_threads.Stop();
    m_sender.reset();
    m_receiver.reset();
  }

  void ReportEvacuations_NewEvacuation_ReachesPeerAtOnce() {
    Start(kNever);
    m_threads.Post([this] { m_receiver->AddPeer(m_address.ToString()); });
    // The answer to the greeting has the position without evacuations.
    WaitForPosition({1, 10});
    m_threads.Post([this] {
      const discovery::EvacuationRecord record{kDomain};
      m_known->ApplyChanges({1, 11}, {&record, 1}, SteadyClock().Now());
      m_sender->ReportEvacuations();
    });
    CPPUNIT_ASSERT(WaitForChange().domain == kDomain);
  }
  // Guards against an entry that starts during an evacuation.
  void AddPeer_PeerKnowsEvacuations_LearnsThem() {
    m_known->ApplyFullRead({1, 11}, {&kDomain, 1}, SteadyClock().Now());
    Start(kNever);
    m_threads.Post([this] { m_receiver->AddPeer(m_address.ToString()); });
    const auto change = WaitForChange();
    CPPUNIT_ASSERT(change.has_started);
    CPPUNIT_ASSERT(change.source == discovery::EvacuationSource::kPeer);
    CPPUNIT_ASSERT(change.position == TopicPosition({1, 11}));
  }
  void FullReport_WithEvacuations_MakesUpForALostOne() {
    Start(milliseconds(20));
    m_threads.Post([this] { m_receiver->AddPeer(m_address.ToString()); });
    WaitForPosition({1, 10});
    // It is reported with no call, as after a lost datagram.
    m_threads.Post([this] {
      m_known->ApplyFullRead({1, 11}, {&kDomain, 1}, SteadyClock().Now());
    });
    CPPUNIT_ASSERT(WaitForChange().domain == kDomain);
  }
  // Guards against an older entry whose datagrams end all evacuations.
  void ReadEvacuations_DatagramOfOlderEntry_HasNone() {
    using apache::thrift::protocol::T_I64;
    using apache::thrift::protocol::T_STRING;
    using apache::thrift::transport::TMemoryBuffer;
    auto buffer = std::make_shared<TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> out(buffer);
    out.writeStructBegin("EntryLoad");
    out.writeFieldBegin("process_id", T_STRING, 1);
    out.writeString(std::string("older"));
    out.writeFieldEnd();
    out.writeFieldBegin("sequence", T_I64, 2);
    out.writeI64(7);
    out.writeFieldEnd();
    out.writeFieldStop();
    out.writeStructEnd();
    const auto load = Decode(buffer->getBufferAsString());
    CPPUNIT_ASSERT(load.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("older"), load->process_id);
    CPPUNIT_ASSERT(!ReadEvacuations(*load));
  }
  // Guards against a hold that becomes an evacuation without end.
  void WriteEvacuations_ShortHold_StaysAHold() {
    const auto read = Transfer({{2, 8}, {{kDomain, Duration(1)}}});
    CPPUNIT_ASSERT(read.evacuations[0].hold_left > Duration::zero());
    const auto recorded = Transfer({{2, 8}, {{kDomain, Duration::zero()}}});
    CPPUNIT_ASSERT(recorded.evacuations[0].hold_left == Duration::zero());
    CPPUNIT_ASSERT(recorded.position == TopicPosition({2, 8}));
  }
  void ReadEvacuations_NegativeOrEndlessHold_IsBounded() {
    wire::EntryLoad load;
    load.__set_operator_epoch(1);
    load.__set_operator_offset(1);
    load.evacuations.resize(2);
    load.evacuations[0].hold_left_ms = -5;
    load.evacuations[1].hold_left_ms = std::numeric_limits<int64_t>::max();
    const auto read = ReadEvacuations(load);
    CPPUNIT_ASSERT(read->evacuations[0].hold_left == Duration::zero());
    CPPUNIT_ASSERT(read->evacuations[1].hold_left < std::chrono::hours(2));
  }

 private:
  static discovery::EvacuationReport Transfer(
      const discovery::EvacuationReport& report) {
    wire::EntryLoad load;
    WriteEvacuations(report, load);
    return *ReadEvacuations(*Decode(Encode(load)));
  }

  void Start(Duration full_report_interval) {
    if (!m_known->position()) {
      m_known->ApplyFullRead({1, 10}, {}, SteadyClock().Now());
    }
    PeerExchangeOptions options;
    options.full_report_interval = full_report_interval;
    options.local_address = m_address;
    m_sender = PeerExchange::Create(m_threads, m_requests, options).value();
    options.local_address = {"127.0.0.1", testing::FindFreePort()};
    m_receiver =
        PeerExchange::Create(m_threads, m_peer_requests, options).value();
    m_sender->ShareEvacuations(m_known, [](const Evacuations::Changes&) {});
    m_receiver->ShareEvacuations(
        m_learned, [this](const Evacuations::Changes& changes) {
          if (changes.empty() || std::exchange(m_has_changed, true)) return;
          m_changed.set_value(changes[0]);
        });
    m_sender->Start();
    m_receiver->Start();
  }
  discovery::EvacuationChange WaitForChange() {
    auto changed = m_changed.get_future();
    CPPUNIT_ASSERT(changed.wait_for(kMaxWait) == std::future_status::ready);
    return changed.get();
  }
  void WaitForPosition(const TopicPosition& position) {
    const TimePoint deadline = SteadyClock().Now() + kMaxWait;
    bool is_reached = false;
    while (!is_reached) {
      CPPUNIT_ASSERT(SteadyClock().Now() < deadline);
      std::promise<bool> result;
      m_threads.Post(
          [&] { result.set_value(m_learned->position() == position); });
      is_reached = result.get_future().get();
    }
  }

  io::IoThreads m_threads{1};
  scheduling::ActiveRequestTable m_requests;
  scheduling::ActiveRequestTable m_peer_requests;
  PeerAddress m_address{"127.0.0.1", testing::FindFreePort()};
  std::shared_ptr<Evacuations> m_known =
      std::make_shared<Evacuations>(kHoldTime);
  std::shared_ptr<Evacuations> m_learned =
      std::make_shared<Evacuations>(kHoldTime);
  std::unique_ptr<PeerExchange> m_sender;
  std::unique_ptr<PeerExchange> m_receiver;
  std::promise<discovery::EvacuationChange> m_changed;
  bool m_has_changed = false;
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerExchangeEvacuationsTest);

}  // namespace
}  // namespace peridotshelf::gateway
