#include "peridotshelf/ledger/admission.h"

#include <chrono>
#include <memory>
#include <string>

#include "admission_random_calls.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::ledger {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(Reserve_MemoryFree_IsGranted);
  CPPUNIT_TEST(Reserve_Repeated_KeepsOneHold);
  CPPUNIT_TEST(Reserve_HopelessWait_IsRefusedAtOnceWithRetryAfter);
  CPPUNIT_TEST(Reserve_AfterCancelArrivedFirst_NeverStarts);
  CPPUNIT_TEST(Reserve_WhileRebuilding_IsRefused);
  CPPUNIT_TEST(Commit_FrozenEntryWakesAfterLease_IsRefusedWithProof);
  CPPUNIT_TEST(Commit_OtherEpoch_IsRefusedWithoutProof);
  CPPUNIT_TEST(Cancel_Running_HoldsMemoryUntilEngineConfirms);
  CPPUNIT_TEST(Extend_AfterLeaseEnded_RevivesNothing);
  CPPUNIT_TEST(Tick_SilentEntry_FreesAllWithinFiveSeconds);
  CPPUNIT_TEST(Tick_UnconfirmedCancel_IsRepeated);
  CPPUNIT_TEST(Tick_HopeLost_RefusesWithinOneInterval);
  CPPUNIT_TEST(Tick_StreamOfMediums_CannotStarveALongOne);
  CPPUNIT_TEST(Rebuild_Orphans_AreCancelledUnlessClaimed);
  CPPUNIT_TEST(ApplyPreset_LowerLimits_EndsNothing);
  CPPUNIT_TEST(ApplyPreset_PriorityOffset_ReordersTeams);
  CPPUNIT_TEST(SetLeaving_WaitingAndNew_AreRefusedWithProof);
  CPPUNIT_TEST(AnySequence_OfCalls_KeepsSumsAndProofs);
  CPPUNIT_TEST_SUITE_END();

  ManualClock m_clock;
  Admission m_admission{Options(), false};

  ReserveRequest Request(const std::string& id, int64_t prompt_tokens,
                         Duration budget = seconds(60)) {
    ReserveRequest request;
    request.attempt = {RequestId(id), 1};
    request.owner = ProcessId("entry");
    request.team = TeamId("team");
    request.prompt_tokens = prompt_tokens;
    request.max_tokens = 100;
    request.size_class = policy::ClassifySize(prompt_tokens, 100, kMemory);
    request.budget = RequestDeadline::FromRemaining(m_clock.Now(), budget);
    return request;
  }
  AttemptId Start(const std::string& id, int64_t prompt_tokens) {
    const ReserveRequest request = Request(id, prompt_tokens);
    CPPUNIT_ASSERT(As<Granted>(m_admission.Reserve(request, m_clock.Now())) !=
                   nullptr);
    CPPUNIT_ASSERT(m_admission.Commit(request.attempt, kEpoch, m_clock.Now()));
    return request.attempt;
  }
  /// Lets time pass with ticks; the entry is heard from if `alive`.
  std::vector<Outcome> Pass(Duration span, bool alive = true) {
    std::vector<Outcome> all;
    for (Duration step{}; step < span; step += Admission::kTickInterval) {
      m_clock.Advance(Admission::kTickInterval);
      if (alive) m_admission.Extend(ProcessId("entry"), m_clock.Now());
      for (Outcome& outcome : m_admission.Tick(m_clock.Now())) {
        all.push_back(std::move(outcome));
      }
      CPPUNIT_ASSERT(m_admission.IsBalanced());
    }
    return all;
  }
  template <class T>
  static int CountOf(const std::vector<Outcome>& outcomes) {
    int count = 0;
    for (const Outcome& outcome : outcomes) {
      if (As<T>(outcome) != nullptr) ++count;
    }
    return count;
  }

 public:
  void Reserve_MemoryFree_IsGranted() {
    const Decision decision =
        m_admission.Reserve(Request("a", 1000), m_clock.Now());
    const Granted* granted = As<Granted>(decision);
    CPPUNIT_ASSERT(granted != nullptr && granted->epoch == kEpoch);
    CPPUNIT_ASSERT(m_admission.Held().tokens == 1100);
    CPPUNIT_ASSERT(m_admission.Load(m_clock.Now()).free_tokens ==
                   kMemory - 1100);
  }
  void Reserve_Repeated_KeepsOneHold() {
    const ReserveRequest request = Request("a", 1000);
    m_admission.Reserve(request, m_clock.Now());
    const Decision again = m_admission.Reserve(request, m_clock.Now());
    CPPUNIT_ASSERT(As<Granted>(again) != nullptr);
    CPPUNIT_ASSERT(m_admission.Held().tokens == 1100);
  }
  void Reserve_HopelessWait_IsRefusedAtOnceWithRetryAfter() {
    Start("a", 390'000);
    const Decision decision =
        m_admission.Reserve(Request("b", 300'000, seconds(30)), m_clock.Now());
    const Refused* refused = As<Refused>(decision);
    CPPUNIT_ASSERT(refused != nullptr);
    CPPUNIT_ASSERT(refused->error.code == ErrorCode::kOverloaded);
    CPPUNIT_ASSERT(refused->error.not_run);
    CPPUNIT_ASSERT(refused->error.retry_after > seconds(1));
  }
  void Reserve_AfterCancelArrivedFirst_NeverStarts() {
    const ReserveRequest request = Request("a", 1000);
    CPPUNIT_ASSERT(m_admission.Cancel(request.attempt, m_clock.Now()) ==
                   CancelResult::kUnknown);
    const Decision decision = m_admission.Reserve(request, m_clock.Now());
    const Refused* refused = As<Refused>(decision);
    CPPUNIT_ASSERT(refused != nullptr && refused->error.not_run);
    CPPUNIT_ASSERT(!m_admission.Commit(request.attempt, kEpoch, m_clock.Now()));
    CPPUNIT_ASSERT(m_admission.Held().tokens == 0);
  }
  void Reserve_WhileRebuilding_IsRefused() {
    Admission admission(Options(), true);
    const Decision decision =
        admission.Reserve(Request("a", 1000), m_clock.Now());
    CPPUNIT_ASSERT(As<Refused>(decision)->error.code == ErrorCode::kNotReady);
    admission.Rebuild({}, m_clock.Now());
    CPPUNIT_ASSERT(As<Granted>(admission.Reserve(Request("b", 1000),
                                                 m_clock.Now())) != nullptr);
  }
  void Commit_FrozenEntryWakesAfterLease_IsRefusedWithProof() {
    const ReserveRequest request = Request("a", 1000);
    m_admission.Reserve(request, m_clock.Now());
    m_clock.Advance(Options().reservation_lease);
    // No Tick ran since: the side's own clock decides.
    const auto result =
        m_admission.Commit(request.attempt, kEpoch, m_clock.Now());
    CPPUNIT_ASSERT(!result.has_value() && result.error().not_run);
    CPPUNIT_ASSERT(m_admission.Held().tokens == 0);
  }
  void Commit_OtherEpoch_IsRefusedWithoutProof() {
    const ReserveRequest request = Request("a", 1000);
    m_admission.Reserve(request, m_clock.Now());
    const auto result =
        m_admission.Commit(request.attempt, kEpoch - 1, m_clock.Now());
    CPPUNIT_ASSERT(!result.has_value() && !result.error().not_run);
  }
  void Cancel_Running_HoldsMemoryUntilEngineConfirms() {
    const AttemptId attempt = Start("a", 1000);
    CPPUNIT_ASSERT(m_admission.Cancel(attempt, m_clock.Now()) ==
                   CancelResult::kRunning);
    CPPUNIT_ASSERT(m_admission.Held().tokens == 1100);
    m_admission.Release(attempt, m_clock.Now());
    CPPUNIT_ASSERT(m_admission.Held().tokens == 0);
    CPPUNIT_ASSERT(m_admission.Cancel(attempt, m_clock.Now()) ==
                   CancelResult::kEnded);
  }
  void Extend_AfterLeaseEnded_RevivesNothing() {
    Start("a", 1000);
    m_clock.Advance(Options().entry_lease);
    m_admission.Extend(ProcessId("entry"), m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(
        1, CountOf<EngineCancellation>(m_admission.Tick(m_clock.Now())));
  }
  void Tick_SilentEntry_FreesAllWithinFiveSeconds() {
    const AttemptId running = Start("a", 390'000);
    m_admission.Reserve(Request("b", 2000), m_clock.Now());
    m_admission.Reserve(Request("c", 50'000), m_clock.Now());
    CPPUNIT_ASSERT(m_admission.Load(m_clock.Now()).queued == 1);
    const auto outcomes =
        Pass(Options().entry_lease + Admission::kTickInterval, false);
    CPPUNIT_ASSERT(Options().entry_lease + Admission::kTickInterval <
                   seconds(5));
    CPPUNIT_ASSERT_EQUAL(1, CountOf<EngineCancellation>(outcomes));
    m_admission.Release(running, m_clock.Now());
    CPPUNIT_ASSERT(m_admission.Held() == Capacity{});
    CPPUNIT_ASSERT(m_admission.Load(m_clock.Now()).queued == 0);
  }
  void Tick_UnconfirmedCancel_IsRepeated() {
    m_admission.Cancel(Start("a", 1000), m_clock.Now());
    const auto outcomes = Pass(milliseconds(3100));
    CPPUNIT_ASSERT_EQUAL(3, CountOf<EngineCancellation>(outcomes));
  }
  void Tick_HopeLost_RefusesWithinOneInterval() {
    Start("a", 390'000);
    // The running one is predicted to end in 30 s; it does not.
    m_admission.Reserve(Request("b", 50'000, seconds(50)), m_clock.Now());
    CPPUNIT_ASSERT(m_admission.Load(m_clock.Now()).queued == 1);
    const TimePoint deadline = m_clock.Now() + seconds(50);
    while (m_admission.Load(m_clock.Now()).queued == 1)
      Pass(Admission::kTickInterval);
    // Its prefill and decode need over two seconds.
    CPPUNIT_ASSERT(deadline - m_clock.Now() > seconds(2));
    CPPUNIT_ASSERT(deadline - m_clock.Now() < seconds(5));
  }
  void Tick_StreamOfMediums_CannotStarveALongOne() {
    Start("m0", 90'000);
    m_admission.Reserve(Request("long", 350'000, seconds(600)), m_clock.Now());
    std::vector<AttemptId> running{{RequestId("m0"), 1}};
    int64_t started_tokens = 0;
    bool long_started = false;
    for (int i = 1; i < 60 && !long_started; ++i) {
      const Decision decision = m_admission.Reserve(
          Request("m" + std::to_string(i), 90'000, seconds(600)),
          m_clock.Now());
      std::vector<Outcome> outcomes = Pass(Admission::kTickInterval);
      if (const Granted* now = As<Granted>(decision)) {
        outcomes.emplace_back(*now);
      }
      for (const Outcome& outcome : outcomes) {
        const Granted* granted = As<Granted>(outcome);
        if (granted == nullptr) continue;
        long_started = granted->attempt.request == RequestId("long");
        started_tokens += 90'000;
        running.push_back(granted->attempt);
        m_admission.Commit(granted->attempt, kEpoch, m_clock.Now());
      }
      // Never a moment without a medium one until the long one may start.
      if (running.size() > 1 || i > 20) {
        m_admission.Release(running.front(), m_clock.Now());
        running.erase(running.begin());
      }
    }
    CPPUNIT_ASSERT(long_started);
    CPPUNIT_ASSERT(started_tokens <= 2 * kMemory);
  }
  void Rebuild_Orphans_AreCancelledUnlessClaimed() {
    Admission admission(Options(), true);
    backend::EngineStream claimed;
    claimed.attempt = {RequestId("a"), 1};
    claimed.memory_tokens = 5000;
    backend::EngineStream orphan = claimed;
    orphan.attempt = {RequestId("b"), 1};
    const backend::EngineStream streams[] = {claimed, orphan};
    admission.Rebuild(streams, m_clock.Now());
    CPPUNIT_ASSERT(admission.Held().tokens == 10'000);
    CPPUNIT_ASSERT(admission.Claim(claimed.attempt, ProcessId("entry"),
                                   m_clock.Now() + seconds(1)));
    m_clock.Advance(Options().entry_lease);
    const auto outcomes = admission.Tick(m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, outcomes.size());
    CPPUNIT_ASSERT(As<EngineCancellation>(outcomes[0])->attempt ==
                   orphan.attempt);
  }
  void ApplyPreset_LowerLimits_EndsNothing() {
    Start("a", 150'000);
    control::Preset preset;
    preset.short_reserve = 0.9;
    preset.max_long_prefills = 0;
    m_admission.ApplyPreset(preset, {});
    CPPUNIT_ASSERT(Pass(seconds(1)).empty());
    CPPUNIT_ASSERT(m_admission.Held().tokens == 150'100);
    CPPUNIT_ASSERT(As<Granted>(m_admission.Reserve(Request("b", 120'000),
                                                   m_clock.Now())) == nullptr);
  }
  void ApplyPreset_PriorityOffset_ReordersTeams() {
    control::Preset preset;
    preset.priority_offsets[TeamId("audit")] = 10;
    m_admission.ApplyPreset(preset, {});
    const AttemptId running = Start("a", 390'000);
    m_admission.Reserve(Request("b", 90'000), m_clock.Now());
    ReserveRequest favoured = Request("c", 90'000);
    favoured.team = TeamId("audit");
    m_admission.Reserve(favoured, m_clock.Now());
    m_admission.Release(running, m_clock.Now());
    const auto outcomes = m_admission.Tick(m_clock.Now());
    CPPUNIT_ASSERT(As<Granted>(outcomes.at(0))->attempt == favoured.attempt);
  }
  void SetLeaving_WaitingAndNew_AreRefusedWithProof() {
    Start("a", 390'000);
    m_admission.Reserve(Request("b", 50'000), m_clock.Now());
    const auto outcomes = m_admission.SetLeaving(true, m_clock.Now());
    CPPUNIT_ASSERT(As<Refused>(outcomes.at(0))->error.not_run);
    const Decision later = m_admission.Reserve(Request("c", 10), m_clock.Now());
    CPPUNIT_ASSERT(As<Refused>(later)->error.code == ErrorCode::kLeaving);
    CPPUNIT_ASSERT(As<Refused>(later)->error.not_run);
    CPPUNIT_ASSERT(m_admission.Held().tokens == 390'100);
    m_admission.SetLeaving(false, m_clock.Now());
    CPPUNIT_ASSERT(As<Granted>(m_admission.Reserve(Request("d", 10),
                                                   m_clock.Now())) != nullptr);
  }
  void AnySequence_OfCalls_KeepsSumsAndProofs();
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

void AdmissionTest::AnySequence_OfCalls_KeepsSumsAndProofs() {
  testing::CheckProperty("calls", [] {
    RandomCalls calls;
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) calls.Step();
    calls.Finish();
  });
}

}  // namespace
}  // namespace peridotshelf::ledger
