#include "peer_messages.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf::gateway {
namespace {

using std::chrono::milliseconds;

class PeerMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMessagesTest);
  CPPUNIT_TEST(ToWire_OverdueFirstEvent_KeepsHowLongItIsOverdue);
  CPPUNIT_TEST(ToWire_NoPredictedFirstEvent_StatesNone);
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

 private:
  static constexpr TimePoint kNow{std::chrono::hours(1)};
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessagesTest);

}  // namespace
}  // namespace peridotshelf::gateway
