#include "peer_messages.h"

#include <limits>
#include <string>
#include <vector>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::gateway {
namespace {

using std::chrono::milliseconds;

class PeerMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMessagesTest);
  CPPUNIT_TEST(ToWire_OverdueFirstEvent_KeepsHowLongItIsOverdue);
  CPPUNIT_TEST(ToWire_NoPredictedFirstEvent_StatesNone);
  CPPUNIT_TEST(IsEngineKey_EachOddKey_IsNone);
  CPPUNIT_TEST(ParsePeerAddress_EachOddAddress_IsNone);
  CPPUNIT_TEST(FromWire_AnyNumbers_StayInBounds);
  CPPUNIT_TEST(ReadProgress_AnyAges_AreNotInTheFuture);
  CPPUNIT_TEST(Decode_AnyBytes_IsAnErrorOrADatagram);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against peers that take an overdue first event for one that is due.
  void ToWire_OverdueFirstEvent_KeepsHowLongItIsOverdue() {
    scheduling::ActiveRequest request;
    request.first_event_at = kNow - milliseconds(700);
    const auto received = FromWire(ToWire(request, kNow), kNow);
    CPPUNIT_ASSERT(received.first_event_at == request.first_event_at);
  }

  void ToWire_NoPredictedFirstEvent_StatesNone() {
    const auto received =
        FromWire(ToWire(scheduling::ActiveRequest(), kNow), kNow);
    CPPUNIT_ASSERT(!received.first_event_at);
  }

  void IsEngineKey_EachOddKey_IsNone() {
    for (const std::string& key :
         {std::string(), std::string("i 1@5"), std::string("i-1@5\r\n"),
          std::string("i\0@5", 4), std::string("i\xFF@5"),
          std::string(200, 'i') + "@5"}) {
      CPPUNIT_ASSERT_MESSAGE(key, !IsEngineKey(key));
    }
    CPPUNIT_ASSERT(IsEngineKey("i-7f3a91c2@0"));
    CPPUNIT_ASSERT(IsEngineKey(std::string(128, 'i') + "@253402300799999"));
  }

  // Guards against datagrams to other addresses, and one entry that counts as
  // two.
  void ParsePeerAddress_EachOddAddress_IsNone() {
    for (const char* text :
         {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
          "10.0.0.1:-1", "10.0.0.1:7x", "10.0.0.1: 7", ":7340", "host:7340",
          "0.0.0.0:7340", "224.0.0.1:7340"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParsePeerAddress(text));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7340"),
                         ParsePeerAddress("10.0.0.1:07340")->ToString());
  }

  void FromWire_AnyNumbers_StayInBounds() {
    testing::CheckProperty("any numbers", &CheckNumbers);
  }

  // Guards against a datagram after which registrations never look old, so that
  // they are not read again.
  void ReadProgress_AnyAges_AreNotInTheFuture() {
    testing::CheckProperty("any ages", [] {
      wire::EntryLoad load;
      load.__set_engines_age_ms(DrawNumber());
      load.__set_engines_available_ms(DrawNumber());
      wire::TopicRead read;
      read.age_ms = DrawNumber();
      load.__set_operator_read(read);
      load.departed_engines = {"i-1@5", "odd key", ""};
      const auto progress = ReadProgress(load, kNow);
      RC_ASSERT(progress.registry_reads->last <= kNow);
      RC_ASSERT(progress.registry_reads->available_since <= kNow);
      RC_ASSERT(progress.operator_read->at <= kNow);
      RC_ASSERT(progress.departed_engines == std::vector<std::string>{"i-1@5"});
    });
  }

  void Decode_AnyBytes_IsAnErrorOrADatagram() {
    testing::CheckProperty("any bytes", [](const std::string& bytes) {
      const auto load = Decode(bytes);
      RC_ASSERT(load || load.error().code == ErrorCode::kProtocol);
      std::string changed = Encode(MakeLoad());
      const auto at = *rc::gen::inRange<size_t>(0, changed.size());
      changed[at] = *rc::gen::arbitrary<char>();
      const auto other = Decode(changed);
      RC_ASSERT(other || other.error().code == ErrorCode::kProtocol);
    });
  }

 private:
  static int64_t DrawNumber() {
    return *rc::gen::oneOf(
        rc::gen::arbitrary<int64_t>(),
        rc::gen::element<int64_t>(std::numeric_limits<int64_t>::max(),
                                  std::numeric_limits<int64_t>::min(), 0,
                                  int64_t{1} << 62, -(int64_t{1} << 62)));
  }

  static wire::EntryLoad MakeLoad() {
    wire::EntryLoad load;
    load.process_id = "p";
    load.engines.emplace_back().engine = "i-1@5";
    load.engines.back().works.emplace_back();
    load.limits.emplace_back().engine = "i-1@5";
    load.suspects.emplace_back().sightings.emplace_back();
    return load;
  }

  static void CheckNumbers() {
    wire::EngineLimit limit;
    limit.__set_per_second_thousandths(DrawNumber());
    limit.stated_age_ms = DrawNumber();
    limit.sent = DrawNumber();
    limit.recently_sent = DrawNumber();
    limit.demand_thousandths = DrawNumber();
    const auto report = FromWire(limit, kNow);
    RC_ASSERT(*report.per_second >= 0);
    RC_ASSERT(report.stated_at <= kNow);
    RC_ASSERT(report.sent >= 0 && report.recently_sent >= 0);
    RC_ASSERT(report.demand_per_second >= 0);
    wire::CrashSuspect suspect;
    suspect.__set_completed_age_ms(DrawNumber());
    suspect.__set_quarantine_level(1);
    suspect.quarantine_age_ms = DrawNumber();
    suspect.quarantine_left_ms = DrawNumber();
    const auto record = FromWire(suspect, kNow);
    RC_ASSERT(*record.completed_at <= kNow);
    RC_ASSERT(record.quarantine->since <= kNow);
    RC_ASSERT((record.quarantine->until > kNow) ==
              (suspect.quarantine_left_ms > 0));
    wire::EngineWork work;
    work.memory_tokens = DrawNumber();
    RC_ASSERT(FromWire(work, kNow).memory_tokens >= 0);
  }

  static constexpr TimePoint kNow{std::chrono::hours(1)};
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessagesTest);

}  // namespace
}  // namespace peridotshelf::gateway
