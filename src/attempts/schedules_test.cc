#include <algorithm>
#include <iostream>

#include "fault_simulation.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::attempts {
namespace {

rc::Gen<Fault> AnyFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(
          &Fault::kind,
          rc::gen::element(
              FaultKind::kLoseConnection, FaultKind::kLoseConnectionKeepFrames,
              FaultKind::kRestartSide, FaultKind::kCrashEngine,
              FaultKind::kPauseEntry, FaultKind::kDisconnectCaller)),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange<int64_t>(0, 4000)),
      rc::gen::set(&Fault::target, rc::gen::inRange<size_t>(0, 8)),
      rc::gen::set(&Fault::length_ms, rc::gen::inRange<int64_t>(1, 30000)));
}

/// Number of requests by outcome, over all schedules.
struct Totals {
  int64_t schedules = 0;
  int64_t completed = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  int64_t retried = 0;
  int64_t dropped = 0;
};

void CheckRequest(const RequestRecord& record, Totals& totals) {
  RC_ASSERT(record.answers.size() == 1U);
  RC_ASSERT(!record.answered_late);
  const Result<Completion>& answer = record.answers.front();
  const auto& delivered = record.delivered;
  for (size_t i = 0; i < delivered.size(); ++i) {
    // The chunks must come from one attempt, in order and without gaps.
    const std::string attempt = delivered[0].substr(0, delivered[0].find(':'));
    RC_ASSERT(delivered[i] == attempt + ":" + std::to_string(i));
  }
  if (answer) {
    RC_ASSERT(static_cast<int64_t>(delivered.size()) ==
              FaultSimulation::kChunks);
    ++totals.completed;
  } else if (answer.error().not_run) {
    RC_ASSERT(record.executions.empty());
    ++totals.not_run;
  } else {
    ++totals.unknown;
  }
  if (!record.retryable) RC_ASSERT(record.executions.size() <= 1U);
  if (record.executions.size() > 1) ++totals.retried;
  totals.dropped += record.dropped;
}

class SchedulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulesTest);
  CPPUNIT_TEST(Requests_UnderAnySchedule_KeepInvariants);
  CPPUNIT_TEST(Requests_WithoutFaults_AllComplete);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Requests_UnderAnySchedule_KeepInvariants() {
    Totals totals;
    testing::CheckProperty("schedule", [&totals] {
      const auto seed = *rc::gen::arbitrary<uint32_t>();
      const auto faults = *rc::gen::container<std::vector<Fault>>(AnyFault());
      FaultSimulation simulation(MakeSchedule(seed, faults));
      simulation.Run();
      ++totals.schedules;
      for (const RequestRecord& record : simulation.records()) {
        CheckRequest(record, totals);
      }
      RC_ASSERT(simulation.DescribeUnreleased() == "");
    });
    // Each outcome must occur; otherwise the schedules do not cover it.
    CPPUNIT_ASSERT(totals.completed > 0 && totals.not_run > 0);
    CPPUNIT_ASSERT(totals.unknown > 0 && totals.retried > 0);
    CPPUNIT_ASSERT(totals.dropped > 0);
    std::cout << "schedules " << totals.schedules << " completed "
              << totals.completed << " not_run " << totals.not_run
              << " unknown " << totals.unknown << " retried " << totals.retried
              << " chunks dropped " << totals.dropped << "\n";
  }
  void Requests_WithoutFaults_AllComplete() {
    Schedule schedule;
    schedule.seed = 7;
    FaultSimulation simulation(schedule);
    simulation.Run();
    for (const RequestRecord& record : simulation.records()) {
      CPPUNIT_ASSERT(record.answers.size() == 1 && record.answers[0]);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, record.executions.size());
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.DescribeUnreleased());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SchedulesTest);

}  // namespace
}  // namespace peridotshelf::attempts
