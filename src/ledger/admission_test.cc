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
  CPPUNIT_TEST(Reserve_SameAttemptTwice_KeepsOneAllocation);
  CPPUNIT_TEST(Reserve_WaitExceedsDeadline_IsRefusedAtOnceWithRetryAfter);
  CPPUNIT_TEST(Reserve_CancelArrivedFirst_NeverStarts);
  CPPUNIT_TEST(Reserve_WhileRebuilding_IsRefused);
  CPPUNIT_TEST(Commit_AfterReservationLease_IsRefusedAsNotRun);
  CPPUNIT_TEST(Commit_OtherEpoch_IsRefusedWithoutNotRun);
  CPPUNIT_TEST(Cancel_Running_KeepsMemoryUntilEngineConfirms);
  CPPUNIT_TEST(Extend_AfterLeaseEnded_RenewsNothing);
  CPPUNIT_TEST(Tick_UnresponsiveEntry_FreesAllWithinFiveSeconds);
  CPPUNIT_TEST(Tick_UnconfirmedCancel_IsResent);
  CPPUNIT_TEST(Tick_DeadlineUnreachable_RefusesWithinOneInterval);
  CPPUNIT_TEST(Tick_SteadyMediumRequests_DoNotStarveLongRequest);
  CPPUNIT_TEST(Rebuild_Orphans_AreCancelledUnlessClaimed);
  CPPUNIT_TEST(ApplyPreset_LowerLimits_EndsNoRequest);
  CPPUNIT_TEST(ApplyPreset_PriorityOffset_ReordersTeams);
  CPPUNIT_TEST(SetLeaving_QueuedAndNewRequests_AreRefusedAsNotRun);
  CPPUNIT_TEST(RandomCalls_AnySequence_KeepTotalsAndNotRunGuarantees);
  CPPUNIT_TEST_SUITE_END();

  ManualClock m_clock;
  Admission m_admission{MakeOptions(), false};

  ReserveRequest MakeRequest(const std::string& id, int64_t prompt_tokens,
                             Duration remaining = seconds(60)) {
    ReserveRequest request;
    request.attempt = {RequestId(id), 1};
    request.owner = ProcessId("entry");
    request.team = TeamId("team");
    request.prompt_tokens = prompt_tokens;
    request.max_tokens = 100;
    request.size_class = policy::ClassifySize(prompt_tokens, 100, kMemory);
    request.deadline = RequestDeadline::FromRemaining(m_clock.Now(), remaining);
    return request;
  }
  AttemptId StartRequest(const std::string& id, int64_t prompt_tokens) {
    const ReserveRequest request = MakeRequest(id, prompt_tokens);
    CPPUNIT_ASSERT(As<Granted>(m_admission.Reserve(request, m_clock.Now())) !=
                   nullptr);
    CPPUNIT_ASSERT(m_admission.Commit(request.attempt, kEpoch, m_clock.Now()));
    return request.attempt;
  }
  /// Advances the clock in ticks; the entry renews its leases if
  /// `is_entry_alive`.
  std::vector<Outcome> AdvanceTime(Duration span, bool is_entry_alive = true) {
    std::vector<Outcome> all;
    for (Duration step{}; step < span; step += Admission::kTickInterval) {
      m_clock.Advance(Admission::kTickInterval);
      if (is_entry_alive) m_admission.Extend(ProcessId("entry"), m_clock.Now());
      for (Outcome& outcome : m_admission.Tick(m_clock.Now())) {
        all.push_back(std::move(outcome));
      }
      CPPUNIT_ASSERT(m_admission.IsBalanced());
    }
    return all;
  }
  template <class T>
  static int CountOutcomes(const std::vector<Outcome>& outcomes) {
    int count = 0;
    for (const Outcome& outcome : outcomes) {
      if (As<T>(outcome) != nullptr) ++count;
    }
    return count;
  }

 public:
  void Reserve_MemoryFree_IsGranted() {
    const Decision decision =
        m_admission.Reserve(MakeRequest("a", 1000), m_clock.Now());
    const Granted* granted = As<Granted>(decision);
    CPPUNIT_ASSERT(granted != nullptr && granted->epoch == kEpoch);
    CPPUNIT_ASSERT(m_admission.Allocated().tokens == 1100);
    CPPUNIT_ASSERT(m_admission.Load(m_clock.Now()).free_tokens ==
                   kMemory - 1100);
  }
  void Reserve_SameAttemptTwice_KeepsOneAllocation() {
    const ReserveRequest request = MakeRequest("a", 1000);
    m_admission.Reserve(request, m_clock.Now());
    const Decision again = m_admission.Reserve(request, m_clock.Now());
    CPPUNIT_ASSERT(As<Granted>(again) != nullptr);
    CPPUNIT_ASSERT(m_admission.Allocated().tokens == 1100);
  }
  void Reserve_WaitExceedsDeadline_IsRefusedAtOnceWithRetryAfter() {
    StartRequest("a", 390'000);
    const Decision decision = m_admission.Reserve(
        MakeRequest("b", 300'000, seconds(30)), m_clock.Now());
    const Refused* refused = As<Refused>(decision);
    CPPUNIT_ASSERT(refused != nullptr);
    CPPUNIT_ASSERT(refused->error.code == ErrorCode::kOverloaded);
    CPPUNIT_ASSERT(refused->error.not_run);
    CPPUNIT_ASSERT(refused->error.retry_after > seconds(1));
  }
  void Reserve_CancelArrivedFirst_NeverStarts() {
    const ReserveRequest request = MakeRequest("a", 1000);
    CPPUNIT_ASSERT(m_admission.Cancel(request.attempt, m_clock.Now()) ==
                   CancelResult::kUnknown);
    const Decision decision = m_admission.Reserve(request, m_clock.Now());
    const Refused* refused = As<Refused>(decision);
    CPPUNIT_ASSERT(refused != nullptr && refused->error.not_run);
    CPPUNIT_ASSERT(!m_admission.Commit(request.attempt, kEpoch, m_clock.Now()));
    CPPUNIT_ASSERT(m_admission.Allocated().tokens == 0);
  }
  void Reserve_WhileRebuilding_IsRefused() {
    Admission admission(MakeOptions(), true);
    const Decision decision =
        admission.Reserve(MakeRequest("a", 1000), m_clock.Now());
    CPPUNIT_ASSERT(As<Refused>(decision)->error.code == ErrorCode::kNotReady);
    admission.Rebuild({}, m_clock.Now());
    CPPUNIT_ASSERT(As<Granted>(admission.Reserve(MakeRequest("b", 1000),
                                                 m_clock.Now())) != nullptr);
  }
  void Commit_AfterReservationLease_IsRefusedAsNotRun() {
    const ReserveRequest request = MakeRequest("a", 1000);
    m_admission.Reserve(request, m_clock.Now());
    m_clock.Advance(MakeOptions().reservation_lease);
    // A frozen entry commits after its reservation has expired. No Tick has run
    // since, so Commit itself must compare the side's clock with the lease.
    const auto result =
        m_admission.Commit(request.attempt, kEpoch, m_clock.Now());
    CPPUNIT_ASSERT(!result.has_value() && result.error().not_run);
    CPPUNIT_ASSERT(m_admission.Allocated().tokens == 0);
  }
  void Commit_OtherEpoch_IsRefusedWithoutNotRun() {
    const ReserveRequest request = MakeRequest("a", 1000);
    m_admission.Reserve(request, m_clock.Now());
    const auto result =
        m_admission.Commit(request.attempt, kEpoch - 1, m_clock.Now());
    CPPUNIT_ASSERT(!result.has_value() && !result.error().not_run);
  }
  void Cancel_Running_KeepsMemoryUntilEngineConfirms() {
    const AttemptId attempt = StartRequest("a", 1000);
    CPPUNIT_ASSERT(m_admission.Cancel(attempt, m_clock.Now()) ==
                   CancelResult::kRunning);
    CPPUNIT_ASSERT(m_admission.Allocated().tokens == 1100);
    m_admission.Release(attempt, m_clock.Now());
    CPPUNIT_ASSERT(m_admission.Allocated().tokens == 0);
    CPPUNIT_ASSERT(m_admission.Cancel(attempt, m_clock.Now()) ==
                   CancelResult::kEnded);
  }
  void Extend_AfterLeaseEnded_RenewsNothing() {
    StartRequest("a", 1000);
    m_clock.Advance(MakeOptions().entry_lease);
    m_admission.Extend(ProcessId("entry"), m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(
        1, CountOutcomes<EngineCancellation>(m_admission.Tick(m_clock.Now())));
  }
  void Tick_UnresponsiveEntry_FreesAllWithinFiveSeconds() {
    const AttemptId running = StartRequest("a", 390'000);
    m_admission.Reserve(MakeRequest("b", 2000), m_clock.Now());
    m_admission.Reserve(MakeRequest("c", 50'000), m_clock.Now());
    CPPUNIT_ASSERT(m_admission.Load(m_clock.Now()).queued == 1);
    const auto outcomes = AdvanceTime(
        MakeOptions().entry_lease + Admission::kTickInterval, false);
    CPPUNIT_ASSERT(MakeOptions().entry_lease + Admission::kTickInterval <
                   seconds(5));
    CPPUNIT_ASSERT_EQUAL(1, CountOutcomes<EngineCancellation>(outcomes));
    m_admission.Release(running, m_clock.Now());
    CPPUNIT_ASSERT(m_admission.Allocated() == Capacity{});
    CPPUNIT_ASSERT(m_admission.Load(m_clock.Now()).queued == 0);
  }
  void Tick_UnconfirmedCancel_IsResent() {
    m_admission.Cancel(StartRequest("a", 1000), m_clock.Now());
    const auto outcomes = AdvanceTime(milliseconds(3100));
    CPPUNIT_ASSERT_EQUAL(3, CountOutcomes<EngineCancellation>(outcomes));
  }
  void Tick_DeadlineUnreachable_RefusesWithinOneInterval() {
    StartRequest("a", 390'000);
    // The running request does not end within the predicted 30 s.
    m_admission.Reserve(MakeRequest("b", 50'000, seconds(50)), m_clock.Now());
    CPPUNIT_ASSERT(m_admission.Load(m_clock.Now()).queued == 1);
    const TimePoint deadline = m_clock.Now() + seconds(50);
    while (m_admission.Load(m_clock.Now()).queued == 1)
      AdvanceTime(Admission::kTickInterval);
    // Prefill and decode of the queued request need more than two seconds.
    CPPUNIT_ASSERT(deadline - m_clock.Now() > seconds(2));
    CPPUNIT_ASSERT(deadline - m_clock.Now() < seconds(5));
  }
  void Tick_SteadyMediumRequests_DoNotStarveLongRequest() {
    StartRequest("m0", 90'000);
    m_admission.Reserve(MakeRequest("long", 350'000, seconds(600)),
                        m_clock.Now());
    std::vector<AttemptId> running{{RequestId("m0"), 1}};
    int64_t started_tokens = 0;
    bool has_long_started = false;
    for (int i = 1; i < 60 && !has_long_started; ++i) {
      const Decision decision = m_admission.Reserve(
          MakeRequest("m" + std::to_string(i), 90'000, seconds(600)),
          m_clock.Now());
      std::vector<Outcome> outcomes = AdvanceTime(Admission::kTickInterval);
      if (const Granted* now = As<Granted>(decision)) {
        outcomes.emplace_back(*now);
      }
      for (const Outcome& outcome : outcomes) {
        const Granted* granted = As<Granted>(outcome);
        if (granted == nullptr) continue;
        has_long_started = granted->attempt.request == RequestId("long");
        started_tokens += 90'000;
        running.push_back(granted->attempt);
        m_admission.Commit(granted->attempt, kEpoch, m_clock.Now());
      }
      // Keeps at least one medium request running until the long request
      // starts.
      if (running.size() > 1 || i > 20) {
        m_admission.Release(running.front(), m_clock.Now());
        running.erase(running.begin());
      }
    }
    CPPUNIT_ASSERT(has_long_started);
    CPPUNIT_ASSERT(started_tokens <= 2 * kMemory);
  }
  void Rebuild_Orphans_AreCancelledUnlessClaimed() {
    Admission admission(MakeOptions(), true);
    backend::EngineStream claimed;
    claimed.attempt = {RequestId("a"), 1};
    claimed.memory_tokens = 5000;
    backend::EngineStream orphan = claimed;
    orphan.attempt = {RequestId("b"), 1};
    const backend::EngineStream streams[] = {claimed, orphan};
    admission.Rebuild(streams, m_clock.Now());
    CPPUNIT_ASSERT(admission.Allocated().tokens == 10'000);
    CPPUNIT_ASSERT(admission.Claim(claimed.attempt, ProcessId("entry"),
                                   m_clock.Now() + seconds(1)));
    m_clock.Advance(MakeOptions().entry_lease);
    const auto outcomes = admission.Tick(m_clock.Now());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, outcomes.size());
    CPPUNIT_ASSERT(As<EngineCancellation>(outcomes[0])->attempt ==
                   orphan.attempt);
  }
  void ApplyPreset_LowerLimits_EndsNoRequest() {
    StartRequest("a", 150'000);
    control::Preset preset;
    preset.short_reserve = 0.9;
    preset.max_long_prefills = 0;
    m_admission.ApplyPreset(preset, {});
    CPPUNIT_ASSERT(AdvanceTime(seconds(1)).empty());
    CPPUNIT_ASSERT(m_admission.Allocated().tokens == 150'100);
    CPPUNIT_ASSERT(As<Granted>(m_admission.Reserve(MakeRequest("b", 120'000),
                                                   m_clock.Now())) == nullptr);
  }
  void ApplyPreset_PriorityOffset_ReordersTeams() {
    control::Preset preset;
    preset.priority_offsets[TeamId("audit")] = 10;
    m_admission.ApplyPreset(preset, {});
    const AttemptId running = StartRequest("a", 390'000);
    m_admission.Reserve(MakeRequest("b", 90'000), m_clock.Now());
    ReserveRequest prioritized = MakeRequest("c", 90'000);
    prioritized.team = TeamId("audit");
    m_admission.Reserve(prioritized, m_clock.Now());
    m_admission.Release(running, m_clock.Now());
    const auto outcomes = m_admission.Tick(m_clock.Now());
    CPPUNIT_ASSERT(As<Granted>(outcomes.at(0))->attempt == prioritized.attempt);
  }
  void SetLeaving_QueuedAndNewRequests_AreRefusedAsNotRun() {
    StartRequest("a", 390'000);
    m_admission.Reserve(MakeRequest("b", 50'000), m_clock.Now());
    const auto outcomes = m_admission.SetLeaving(true, m_clock.Now());
    CPPUNIT_ASSERT(As<Refused>(outcomes.at(0))->error.not_run);
    const Decision later =
        m_admission.Reserve(MakeRequest("c", 10), m_clock.Now());
    CPPUNIT_ASSERT(As<Refused>(later)->error.code == ErrorCode::kLeaving);
    CPPUNIT_ASSERT(As<Refused>(later)->error.not_run);
    CPPUNIT_ASSERT(m_admission.Allocated().tokens == 390'100);
    m_admission.SetLeaving(false, m_clock.Now());
    CPPUNIT_ASSERT(As<Granted>(m_admission.Reserve(MakeRequest("d", 10),
                                                   m_clock.Now())) != nullptr);
  }
  void RandomCalls_AnySequence_KeepTotalsAndNotRunGuarantees();
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

void AdmissionTest::RandomCalls_AnySequence_KeepTotalsAndNotRunGuarantees() {
  testing::CheckProperty("calls", [] {
    RandomCalls calls;
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) calls.MakeRandomCall();
    calls.ExpireAll();
  });
}

}  // namespace
}  // namespace peridotshelf::ledger
