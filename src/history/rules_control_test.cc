#include "history/history_builder.h"
#include "peridotshelf/history/rules.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::history {
namespace {

constexpr size_t kOne = 1;

class OneControlOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OneControlOrderTest);
  CPPUNIT_TEST(Versions_InOneOrder_Pass);
  CPPUNIT_TEST(Version_GoingBack_Fails);
  CPPUNIT_TEST(Version_WithTwoPresets_Fails);
  CPPUNIT_TEST(Version_NeverAccepted_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Versions_InOneOrder_Pass() {
    HistoryBuilder history = Accepted();
    history.By("e1").Add(ControlInForce{3, "day"});
    history.By("e2").Add(ControlInForce{5, "peak"});
    history.By("e1").Add(ControlInForce{5, "peak"});
    CPPUNIT_ASSERT(history.Check<OneControlOrder>().empty());
  }
  void Version_GoingBack_Fails() {
    HistoryBuilder history = Accepted();
    history.By("e1").Add(ControlInForce{5, "peak"});
    history.Add(ControlInForce{3, "day"});
    CPPUNIT_ASSERT_EQUAL(kOne, history.Check<OneControlOrder>().size());
  }
  void Version_WithTwoPresets_Fails() {
    HistoryBuilder history;
    history.By("e1").Add(ControlInForce{5, "peak"});
    history.By("e2").Add(ControlInForce{5, "day"});
    CPPUNIT_ASSERT_EQUAL(kOne, history.Check<OneControlOrder>().size());
  }
  void Version_NeverAccepted_Fails() {
    HistoryBuilder history = Accepted();
    history.By("e1").Add(ControlInForce{4, "day"});
    CPPUNIT_ASSERT_EQUAL(kOne, history.Check<OneControlOrder>().size());
  }

 private:
  static HistoryBuilder Accepted() {
    HistoryBuilder history;
    history.Add(ChangeAccepted{3, "day"}).Add(ChangeAccepted{5, "peak"});
    return history;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OneControlOrderTest);

class ChangeInForceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeInForceTest);
  CPPUNIT_TEST(Process_ThatFollowsInTime_Passes);
  CPPUNIT_TEST(Process_ThatWasFrozenOrCutFromTheLog_Passes);
  CPPUNIT_TEST(Process_ThatNeverFollows_Fails);
  CPPUNIT_TEST(Process_ThatDoesNotFollowAfterAnOutage_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Process_ThatFollowsInTime_Passes() {
    HistoryBuilder history = Changed();
    history.At(3'900).By("e1").Add(ControlInForce{5, "peak"});
    CPPUNIT_ASSERT(Ended(history).Check<ChangeInForce>().empty());
  }
  void Process_ThatWasFrozenOrCutFromTheLog_Passes() {
    HistoryBuilder frozen = Changed();
    frozen.Add(ProcessFrozen{ProcessId("e1"), {}});
    CPPUNIT_ASSERT(Ended(frozen).Check<ChangeInForce>().empty());
    HistoryBuilder cut = Changed();
    cut.Add(LogAvailability{false});
    CPPUNIT_ASSERT(Ended(cut).Check<ChangeInForce>().empty());
  }
  void Process_ThatNeverFollows_Fails() {
    HistoryBuilder history = Changed();
    CPPUNIT_ASSERT_EQUAL(kOne, Ended(history).Check<ChangeInForce>().size());
  }
  void Process_ThatDoesNotFollowAfterAnOutage_Fails() {
    HistoryBuilder history = Changed();
    history.Add(LogAvailability{false});
    history.At(4'000).Add(LogAvailability{true});
    CPPUNIT_ASSERT_EQUAL(kOne, Ended(history).Check<ChangeInForce>().size());
  }

 private:
  /// Version 5 is accepted after a second.
  static HistoryBuilder Changed() {
    HistoryBuilder history;
    history.Add(ChangeAccepted{3, "day"});
    history.By("e1").Add(ControlInForce{3, "day"});
    history.At(1'000).By("log").Add(ChangeAccepted{5, "peak"});
    return history;
  }
  static HistoryBuilder& Ended(HistoryBuilder& history) {
    return history.At(20'000).By("bench").Add(LogAvailability{true});
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChangeInForceTest);

}  // namespace
}  // namespace peridotshelf::history
