#include "history/history_builder.h"
#include "peridotshelf/history/rules.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::history {
namespace {

constexpr size_t kOneViolation = 1;

class OneControlOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OneControlOrderTest);
  CPPUNIT_TEST(Versions_InOneOrder_Pass);
  CPPUNIT_TEST(Version_BelowThePrevious_Fails);
  CPPUNIT_TEST(Version_WithTwoPresets_Fails);
  CPPUNIT_TEST(Version_NeverAccepted_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Versions_InOneOrder_Pass() {
    HistoryBuilder history = MakeAcceptedVersions();
    history.By("e1").Add(ControlInForce{3, "day"});
    history.By("e2").Add(ControlInForce{5, "peak"});
    history.By("e1").Add(ControlInForce{5, "peak"});
    CPPUNIT_ASSERT(history.Check<OneControlOrder>().empty());
  }
  void Version_BelowThePrevious_Fails() {
    HistoryBuilder history = MakeAcceptedVersions();
    history.By("e1").Add(ControlInForce{5, "peak"});
    history.Add(ControlInForce{3, "day"});
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<OneControlOrder>().size());
  }
  void Version_WithTwoPresets_Fails() {
    HistoryBuilder history;
    history.By("e1").Add(ControlInForce{5, "peak"});
    history.By("e2").Add(ControlInForce{5, "day"});
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<OneControlOrder>().size());
  }
  void Version_NeverAccepted_Fails() {
    HistoryBuilder history = MakeAcceptedVersions();
    history.By("e1").Add(ControlInForce{4, "day"});
    CPPUNIT_ASSERT_EQUAL(kOneViolation,
                         history.Check<OneControlOrder>().size());
  }

 private:
  static HistoryBuilder MakeAcceptedVersions() {
    HistoryBuilder history;
    history.Add(ChangeAccepted{3, "day"}).Add(ChangeAccepted{5, "peak"});
    return history;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OneControlOrderTest);

class ChangeInForceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeInForceTest);
  CPPUNIT_TEST(Process_ApplyingChangeInTime_Passes);
  CPPUNIT_TEST(Process_FrozenOrWithoutLog_Passes);
  CPPUNIT_TEST(Process_NeverApplyingChange_Fails);
  CPPUNIT_TEST(Process_NotApplyingChangeAfterOutage_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Process_ApplyingChangeInTime_Passes() {
    HistoryBuilder history = MakeChangedHistory();
    history.At(3'900).By("e1").Add(ControlInForce{5, "peak"});
    CPPUNIT_ASSERT(ExtendTo20Seconds(history).Check<ChangeInForce>().empty());
  }
  void Process_FrozenOrWithoutLog_Passes() {
    HistoryBuilder frozen = MakeChangedHistory();
    frozen.Add(ProcessFrozen{ProcessId("e1"), {}});
    CPPUNIT_ASSERT(ExtendTo20Seconds(frozen).Check<ChangeInForce>().empty());
    HistoryBuilder without_log = MakeChangedHistory();
    without_log.Add(LogAvailability{false});
    CPPUNIT_ASSERT(
        ExtendTo20Seconds(without_log).Check<ChangeInForce>().empty());
  }
  void Process_NeverApplyingChange_Fails() {
    HistoryBuilder history = MakeChangedHistory();
    CPPUNIT_ASSERT_EQUAL(
        kOneViolation,
        ExtendTo20Seconds(history).Check<ChangeInForce>().size());
  }
  void Process_NotApplyingChangeAfterOutage_Fails() {
    HistoryBuilder history = MakeChangedHistory();
    history.Add(LogAvailability{false});
    history.At(4'000).Add(LogAvailability{true});
    CPPUNIT_ASSERT_EQUAL(
        kOneViolation,
        ExtendTo20Seconds(history).Check<ChangeInForce>().size());
  }

 private:
  /// Version 5 is accepted at 1,000 ms.
  static HistoryBuilder MakeChangedHistory() {
    HistoryBuilder history;
    history.Add(ChangeAccepted{3, "day"});
    history.By("e1").Add(ControlInForce{3, "day"});
    history.At(1'000).By("log").Add(ChangeAccepted{5, "peak"});
    return history;
  }
  static HistoryBuilder& ExtendTo20Seconds(HistoryBuilder& history) {
    return history.At(20'000).By("bench").Add(LogAvailability{true});
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChangeInForceTest);

}  // namespace
}  // namespace peridotshelf::history
