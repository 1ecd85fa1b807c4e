/// Fixtures of the admission tests, and random sequences of Admission calls.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <set>
#include <string>
#include <variant>

#include "peridotshelf/ledger/admission.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::ledger {

inline constexpr int64_t kMemory = 400'000;
inline constexpr int64_t kEpoch = 7;

inline AdmissionOptions MakeOptions() {
  AdmissionOptions options;
  options.capacity = {kMemory, 8};
  options.epoch = kEpoch;
  return options;
}

template <class T, class V>
const T* As(const V& variant) {
  return std::get_if<T>(&variant);
}

/// Makes random calls to an Admission and checks that no attempt is started
/// twice, or started when it is reported as not run.
class RandomCalls {
 public:
  void MakeRandomCall() {
    const TimePoint now = m_clock.Now();
    const AttemptId attempt{RequestId(std::to_string(*rc::gen::inRange(0, 12))),
                            1};
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
      case 1:
        CheckOutcome(m_admission.Reserve(MakeRequest(attempt), now));
        break;
      case 2:
        if (m_admission.Commit(attempt, kEpoch, now)) RecordStart(attempt);
        break;
      case 3:
        if (m_at_engine.contains(attempt)) EndAtEngine(attempt);
        break;
      case 4:
        RecordCancel(attempt, m_admission.Cancel(attempt, now));
        break;
      case 5:
        m_admission.Extend(ProcessId("entry"), now);
        break;
      case 6:
        m_admission.EndPrefill(attempt, now);
        break;
      default:
        m_clock.Advance(std::chrono::milliseconds(*rc::gen::inRange(1, 3000)));
        Tick();
    }
    RC_ASSERT(m_admission.IsBalanced());
    RC_ASSERT(m_admission.Allocated().tokens <= kMemory);
    RC_ASSERT(m_admission.Allocated().slots <= 8);
  }
  /// Lets all leases expire and confirms every cancel; checks that nothing
  /// stays allocated or queued.
  void ExpireAll() {
    for (int i = 0; i < 3; ++i) {
      m_clock.Advance(std::chrono::seconds(5));
      Tick();
      for (const AttemptId& attempt : std::set<AttemptId>(m_pending_cancels)) {
        EndAtEngine(attempt);
      }
    }
    RC_ASSERT(m_admission.Allocated() == Capacity{});
    RC_ASSERT(m_admission.Load(m_clock.Now()).queued == 0);
    RC_ASSERT(m_at_engine.empty());
  }

 private:
  ReserveRequest MakeRequest(const AttemptId& attempt) {
    ReserveRequest request;
    request.attempt = attempt;
    request.owner = ProcessId("entry");
    request.team = TeamId(std::string(1, *rc::gen::element('a', 'b')));
    request.priority = *rc::gen::inRange(0, 2);
    request.prompt_tokens = *rc::gen::inRange<int64_t>(1, 410'000);
    request.max_tokens = 50;
    request.size_class =
        policy::ClassifySize(request.prompt_tokens, 50, kMemory);
    request.deadline = RequestDeadline::FromRemaining(
        m_clock.Now(), std::chrono::seconds(*rc::gen::inRange(1, 60)));
    return request;
  }
  template <class V>
  void CheckOutcome(const V& outcome) {
    if (const Granted* granted = As<Granted>(outcome)) {
      RC_ASSERT(!m_not_run.contains(granted->attempt));
    }
    if (const Refused* refused = As<Refused>(outcome)) {
      if (refused->error.not_run) RecordNotRun(refused->attempt);
    }
  }
  void RecordCancel(const AttemptId& attempt, CancelResult result) {
    if (result == CancelResult::kNeverStarted) RecordNotRun(attempt);
    if (result == CancelResult::kRunning) m_pending_cancels.insert(attempt);
  }
  void Tick() {
    for (const Outcome& outcome : m_admission.Tick(m_clock.Now())) {
      CheckOutcome(outcome);
      if (const auto* cancel = As<EngineCancellation>(outcome)) {
        m_pending_cancels.insert(cancel->attempt);
      }
    }
  }
  void RecordNotRun(const AttemptId& attempt) {
    RC_ASSERT(!m_started.contains(attempt));
    m_not_run.insert(attempt);
  }
  void RecordStart(const AttemptId& attempt) {
    RC_ASSERT(!m_not_run.contains(attempt));
    RC_ASSERT(m_started.insert(attempt).second);
    m_at_engine.insert(attempt);
  }
  void EndAtEngine(const AttemptId& attempt) {
    m_at_engine.erase(attempt);
    m_pending_cancels.erase(attempt);
    m_admission.Release(attempt, m_clock.Now());
  }

  ManualClock m_clock;
  Admission m_admission{MakeOptions(), false};
  std::set<AttemptId> m_started;
  std::set<AttemptId> m_not_run;
  std::set<AttemptId> m_at_engine;
  std::set<AttemptId> m_pending_cancels;
};

}  // namespace peridotshelf::ledger
