#include "peridotshelf/ledger/fair_queue.h"

#include <chrono>
#include <map>
#include <string>

#include "peridotshelf/testing/test.h"

namespace peridotshelf::ledger {
namespace {

using std::chrono::seconds;

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(Pop_HigherPriority_ComesFirst);
  CPPUNIT_TEST(Pop_OneTeam_OrdersByDeadline);
  CPPUNIT_TEST(Pop_TeamsOfUnequalShares_DivideTokensByShare);
  CPPUNIT_TEST(Pop_TeamWithLargeRequests_GetsEqualTokens);
  CPPUNIT_TEST(Peek_AnySequence_AgreesWithPop);
  CPPUNIT_TEST_SUITE_END();

  FairQueue m_queue;
  int m_number = 0;

  int Push(const std::string& team, int32_t priority, int64_t tokens,
           int deadline) {
    WaitingRequest waiting;
    waiting.request.attempt = {RequestId("r"), ++m_number};
    waiting.request.team = TeamId(team);
    waiting.request.priority = priority;
    waiting.request.prompt_tokens = tokens;
    waiting.request.deadline =
        RequestDeadline::FromRemaining({}, seconds(deadline));
    m_queue.Push(waiting);
    return m_number;
  }
  int PopNumber() { return m_queue.Pop()->request.attempt.number; }
  std::map<std::string, int64_t> PopTokens(int64_t total) {
    std::map<std::string, int64_t> tokens;
    while (total > 0) {
      const ReserveRequest request = m_queue.Pop()->request;
      tokens[request.team.value()] += request.tokens();
      total -= request.tokens();
    }
    return tokens;
  }

 public:
  void Pop_HigherPriority_ComesFirst() {
    const int low = Push("a", 0, 10, 1);
    const int high = Push("b", 5, 10, 9);
    CPPUNIT_ASSERT_EQUAL(high, PopNumber());
    CPPUNIT_ASSERT_EQUAL(low, PopNumber());
    CPPUNIT_ASSERT(!m_queue.Pop().has_value());
  }
  void Pop_OneTeam_OrdersByDeadline() {
    const int late = Push("a", 0, 10, 9);
    const int early = Push("a", 0, 10, 1);
    CPPUNIT_ASSERT_EQUAL(early, PopNumber());
    CPPUNIT_ASSERT_EQUAL(late, PopNumber());
  }
  void Pop_TeamsOfUnequalShares_DivideTokensByShare() {
    m_queue.SetShare(TeamId("a"), 3);
    for (int i = 0; i < 2000; ++i) {
      Push("a", 0, 1000, i);
      Push("b", 0, 1000, i);
    }
    auto tokens = PopTokens(1'600'000);
    const double ratio =
        static_cast<double>(tokens["a"]) / static_cast<double>(tokens["b"]);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, ratio, 0.2);
  }
  void Pop_TeamWithLargeRequests_GetsEqualTokens() {
    for (int i = 0; i < 100; ++i) Push("large", 0, 50'000, i);
    for (int i = 0; i < 5000; ++i) Push("small", 0, 1000, i);
    auto tokens = PopTokens(4'000'000);
    const double ratio = static_cast<double>(tokens["large"]) /
                         static_cast<double>(tokens["small"]);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ratio, 0.1);
  }
  void Peek_AnySequence_AgreesWithPop() {
    testing::CheckProperty("peek", [] {
      FairQueueTest test;
      const int count = *rc::gen::inRange(1, 40);
      for (int i = 0; i < count; ++i) {
        test.Push(std::string(1, *rc::gen::element('a', 'b', 'c')),
                  *rc::gen::inRange(0, 3), *rc::gen::inRange(1, 90'000),
                  *rc::gen::inRange(0, 50));
      }
      for (int i = 0; i < count; ++i) {
        const AttemptId first = test.m_queue.Peek()->request.attempt;
        RC_ASSERT(test.m_queue.Pop()->request.attempt == first);
      }
      RC_ASSERT(test.m_queue.size() == 0U);
      RC_ASSERT(test.m_queue.tokens() == 0);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace
}  // namespace peridotshelf::ledger
