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
  CPPUNIT_TEST(Schedules_OfFixedSeeds_KeepEveryInvariant);
  CPPUNIT_TEST(Schedules_OfAnyFaults_KeepEveryInvariant);
  CPPUNIT_TEST(Reservation_ChosenAsItsConnectionBreaks_GoesElsewhere);
  CPPUNIT_TEST(Schedule_WithoutFaults_AnswersMostAndCutsNone);
  CPPUNIT_TEST(EachMechanism_LeftOut_IsCaughtByItsRule);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Schedules_OfFixedSeeds_KeepEveryInvariant() {
    Totals totals;
    for (int64_t i = 0; i < kSeedsInCi; ++i) {
      const uint32_t seed = kFirstSeed + static_cast<uint32_t>(i);
      const ScheduleResult result = RunSchedule(MakeSchedule(seed));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), result.Clean());
      totals.Add(result);
    }
    std::cout << totals;
    // Each outcome must have come up, or the schedules prove nothing.
    CPPUNIT_ASSERT(totals.answered > 0 && totals.refused_not_run > 0);
    CPPUNIT_ASSERT(totals.refused_unknown > 0 && totals.connection_lost > 0);
    CPPUNIT_ASSERT(totals.hung_up > 0);
  }
  void Schedules_OfAnyFaults_KeepEveryInvariant() {
    testing::CheckProperty("faults", [] {
      Schedule schedule;
      schedule.seed = *rc::gen::arbitrary<uint32_t>();
      schedule.faults = *rc::gen::container<std::vector<Fault>>(AnyFault());
      RC_ASSERT(RunSchedule(schedule).Clean());
    });
  }
  /// Once a short request waited ten seconds for a reservation that was sent
  /// on a connection already lost.
  void Reservation_ChosenAsItsConnectionBreaks_GoesElsewhere() {
    CPPUNIT_ASSERT(RunSchedule(MakeSchedule(9'629)).Clean());
  }
  void Schedule_WithoutFaults_AnswersMostAndCutsNone() {
    const ScheduleResult result = RunSchedule(Schedule{7, {}});
    CPPUNIT_ASSERT(result.Clean());
    CPPUNIT_ASSERT(result.answered > result.refused_not_run);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, result.refused_unknown);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, result.connection_lost);
  }
  void EachMechanism_LeftOut_IsCaughtByItsRule() {
    for (const auto& [mechanism, invariant] : kMutations) {
      int64_t caught = 0;
      for (int64_t i = 0; i < kSeedsForMutation; ++i) {
        const auto schedule =
            MakeSchedule(kFirstSeed + static_cast<uint32_t>(i));
        if (RunSchedule(schedule, {mechanism}).Breaks(invariant)) ++caught;
      }
      std::cout << "without " << ToString(mechanism) << ": "
                << ToString(invariant) << " broken in " << caught << " of "
                << kSeedsForMutation << "\n";
      CPPUNIT_ASSERT_MESSAGE(std::string(ToString(mechanism)), caught > 0);
    }
  }

 private:
  struct Mutation {
    Mechanism mechanism;
    Invariant invariant;
  };
  /// Every mechanism, with the rule that must notice its absence.
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

  static rc::Gen<Fault> AnyFault() {
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
