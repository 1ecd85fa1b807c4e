#include <array>
#include <iostream>

#include "explore/runner.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::explore {
namespace {

using history::Invariant;

constexpr uint32_t kFirstSeed = 1;
constexpr int64_t kSeedsInCi = 600;
constexpr int64_t kSeedsForMutation = 200;

class ExploreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExploreTest);
  CPPUNIT_TEST(Schedules_OfFixedSeeds_KeepAllInvariants);
  CPPUNIT_TEST(Schedules_WithRandomFaults_KeepAllInvariants);
  CPPUNIT_TEST(Reservation_SentAsConnectionBreaks_GoesToAnotherSide);
  CPPUNIT_TEST(Schedule_WithoutFaults_AnswersMostAndLosesNone);
  CPPUNIT_TEST(EachMechanism_Disabled_IsDetectedByItsRule);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Schedules_OfFixedSeeds_KeepAllInvariants() {
    Totals totals;
    for (int64_t i = 0; i < kSeedsInCi; ++i) {
      const uint32_t seed = kFirstSeed + static_cast<uint32_t>(i);
      const ScheduleResult result = RunSchedule(MakeSchedule(seed));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), result.IsClean());
      totals.Add(result);
    }
    std::cout << totals;
    // The invariants are only tested if the schedules cover each outcome.
    CPPUNIT_ASSERT(totals.answered > 0 && totals.refused_not_run > 0);
    CPPUNIT_ASSERT(totals.refused_unknown > 0 && totals.connection_lost > 0);
    CPPUNIT_ASSERT(totals.hung_up > 0);
  }
  void Schedules_WithRandomFaults_KeepAllInvariants() {
    testing::CheckProperty("faults", [] {
      Schedule schedule;
      schedule.seed = *rc::gen::arbitrary<uint32_t>();
      schedule.faults =
          *rc::gen::container<std::vector<Fault>>(GenerateFault());
      RC_ASSERT(RunSchedule(schedule).IsClean());
    });
  }
  /// Guards against a reservation that is sent on a connection already lost: a
  /// short request then waited ten seconds for it.
  void Reservation_SentAsConnectionBreaks_GoesToAnotherSide() {
    CPPUNIT_ASSERT(RunSchedule(MakeSchedule(9'629)).IsClean());
  }
  void Schedule_WithoutFaults_AnswersMostAndLosesNone() {
    const ScheduleResult result = RunSchedule(Schedule{7, {}});
    CPPUNIT_ASSERT(result.IsClean());
    CPPUNIT_ASSERT(result.answered > result.refused_not_run);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, result.refused_unknown);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, result.connection_lost);
  }
  void EachMechanism_Disabled_IsDetectedByItsRule() {
    for (const auto& [mechanism, invariant] : kMutations) {
      int64_t detected = 0;
      for (int64_t i = 0; i < kSeedsForMutation; ++i) {
        const auto schedule =
            MakeSchedule(kFirstSeed + static_cast<uint32_t>(i));
        if (RunSchedule(schedule, {mechanism}).Violates(invariant)) ++detected;
      }
      std::cout << "without " << ToString(mechanism) << ": "
                << ToString(invariant) << " violated in " << detected << " of "
                << kSeedsForMutation << "\n";
      CPPUNIT_ASSERT_MESSAGE(std::string(ToString(mechanism)), detected > 0);
    }
  }

 private:
  struct Mutation {
    Mechanism mechanism;
    Invariant invariant;
  };
  /// Each mechanism and the invariant that is violated without it.
  static constexpr std::array kMutations = {
      Mutation{Mechanism::kChunkChecks, Invariant::kWholeAnswer},
      Mutation{Mechanism::kNotRunProof, Invariant::kNotRunTrue},
      Mutation{Mechanism::kProofBeforeRetry, Invariant::kAtMostOnce},
      Mutation{Mechanism::kRequestTimer, Invariant::kAnsweredInTime},
      Mutation{Mechanism::kOwnerLease, Invariant::kOrphansReleased},
      Mutation{Mechanism::kRebuild, Invariant::kNoMemoryHeld},
      Mutation{Mechanism::kResume, Invariant::kNoAnswerLost},
      Mutation{Mechanism::kLeaveRefusal, Invariant::kLeavingTakesNoWork},
      Mutation{Mechanism::kGracefulStop, Invariant::kStopCutsNothing},
      Mutation{Mechanism::kStopLinger, Invariant::kStopCutsNothing},
      Mutation{Mechanism::kSizeClasses, Invariant::kShortNotStarved},
      Mutation{Mechanism::kPromptRefusal, Invariant::kGivenUpAtOnce},
  };
  static_assert(kMutations.size() == kAllMechanisms.size());

  static rc::Gen<Fault> GenerateFault() {
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind,
                     rc::gen::elementOf(std::vector<FaultKind>(
                         kAllFaultKinds.begin(), kAllFaultKinds.end()))),
        rc::gen::set(&Fault::at_ms, rc::gen::inRange<int64_t>(0, 15'000)),
        rc::gen::set(&Fault::target, rc::gen::inRange<uint32_t>(0, 1'000)),
        rc::gen::set(&Fault::length_ms, rc::gen::inRange<int64_t>(1, 8'000)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ExploreTest);

}  // namespace
}  // namespace peridotshelf::explore
