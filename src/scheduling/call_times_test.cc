#include "peridotshelf/scheduling/call_times.h"

#include <array>
#include <vector>

#include "peridotshelf/scheduling/service_placement.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegin{std::chrono::hours(1)};

/// Two servers that one entry calls, in virtual time.
class CallTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallTimesTest);
  CPPUNIT_TEST(NoteDuration_CallsInARow_IsAMovingAverage);
  CPPUNIT_TEST(NoteDuration_MeanIsOld_NewCallCountsMore);
  CPPUNIT_TEST(UnusedFor_NoCallHasEnded_IsZero);
  CPPUNIT_TEST(PlaceCall_ServerWasSlowOnce_IsUsedAgain);
  CPPUNIT_TEST(PlaceCall_ServerStaysSlow_GetsFewCalls);
  CPPUNIT_TEST(PlaceCall_CallAtSlowServerHangs_NoOtherFollowsSoon);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoteDuration_CallsInARow_IsAMovingAverage() {
    CallTimes calls;
    CPPUNIT_ASSERT_EQUAL(0.0, calls.mean());
    calls.NoteDuration(100, kBegin);
    calls.NoteDuration(200, kBegin);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(120, calls.mean(), 1e-9);
  }

  void NoteDuration_MeanIsOld_NewCallCountsMore() {
    CallTimes calls;
    calls.NoteDuration(500, kBegin);
    calls.NoteDuration(10, kBegin + seconds(20));
    CPPUNIT_ASSERT(calls.mean() < 11);
  }

  void UnusedFor_NoCallHasEnded_IsZero() {
    CallTimes calls;
    calls.NoteStart(kBegin);
    CPPUNIT_ASSERT(calls.UnusedFor(kBegin + seconds(9)) == Duration::zero());
    calls.NoteDuration(10, kBegin + seconds(9));
    CPPUNIT_ASSERT(calls.UnusedFor(kBegin + seconds(10)) == seconds(1));
  }

  // Guards against an entry that stays away from a server for ever because of
  // one slow call, since it renews the mean by calls only.
  void PlaceCall_ServerWasSlowOnce_IsUsedAgain() {
    m_calls[0].NoteDuration(500, kBegin);
    m_calls[1].NoteDuration(10, kBegin);
    const auto counts = RunCalls(seconds(60), {10, 10});
    CPPUNIT_ASSERT(counts[0] >= 50);
  }

  void PlaceCall_ServerStaysSlow_GetsFewCalls() {
    m_calls[0].NoteDuration(500, kBegin);
    m_calls[1].NoteDuration(10, kBegin);
    const auto counts = RunCalls(seconds(60), {500, 10});
    CPPUNIT_ASSERT(counts[0] >= 1);
    CPPUNIT_ASSERT(counts[0] <= counts[1] / 50);
  }

  void PlaceCall_CallAtSlowServerHangs_NoOtherFollowsSoon() {
    m_calls[0].NoteDuration(500, kBegin);
    m_calls[1].NoteDuration(10, kBegin + seconds(30));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Place(kBegin + seconds(30)));
    m_calls[0].NoteStart(kBegin + seconds(30));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Place(kBegin + seconds(30)));
    m_calls[1].NoteStart(kBegin + seconds(35));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Place(kBegin + seconds(35)));
  }

 private:
  size_t Place(TimePoint now) const {
    std::vector<ServiceCandidate> servers;
    for (const CallTimes& calls : m_calls) {
      ServiceCandidate server;
      server.slots = 8;
      server.call_ms = calls.mean();
      server.unused_for = calls.UnusedFor(now);
      servers.push_back(server);
    }
    return PlaceCall(servers).value();
  }

  /// Runs ten calls a second, one after the other, and returns how many each
  /// server gets.
  std::array<int, 2> RunCalls(Duration time, std::array<Millis, 2> durations) {
    std::array<int, 2> counts{};
    for (TimePoint now = kBegin; now < kBegin + time;
         now += milliseconds(100)) {
      const size_t server = Place(now);
      m_calls.at(server).NoteStart(now);
      m_calls.at(server).NoteDuration(durations.at(server), now);
      ++counts.at(server);
    }
    return counts;
  }

  std::array<CallTimes, 2> m_calls;
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallTimesTest);

}  // namespace
}  // namespace peridotshelf::scheduling
