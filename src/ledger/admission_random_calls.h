/// What the tests of admission share, and random sequences of its calls.
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

inline AdmissionOptions Options() {
  AdmissionOptions options;
  options.capacity = {kMemory, 8};
  options.epoch = kEpoch;
  return options;
}

template <class T, class V>
const T* As(const V& variant) {
  return std::get_if<T>(&variant);
}

/// Runs random calls and keeps account of what was promised.
class RandomCalls {
 public:
  void Step() {
    const TimePoint now = m_clock.Now();
    const AttemptId attempt{RequestId(std::to_string(*rc::gen::inRange(0, 12))),
                            1};
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
      case 1:
        Note(m_admission.Reserve(MakeRequest(attempt), now));
        break;
      case 2:
        if (m_admission.Commit(attempt, kEpoch, now)) Started(attempt);
        break;
      case 3:
        if (m_engine.contains(attempt)) Ended(attempt);
        break;
      case 4:
        NoteCancel(attempt, m_admission.Cancel(attempt, now));
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
    RC_ASSERT(m_admission.Held().tokens <= kMemory);
    RC_ASSERT(m_admission.Held().slots <= 8);
  }
  /// All entries fall silent and the engine confirms every cancel.
  void Finish() {
    for (int i = 0; i < 3; ++i) {
      m_clock.Advance(std::chrono::seconds(5));
      Tick();
      for (const AttemptId& attempt : std::set<AttemptId>(m_cancels)) {
        Ended(attempt);
      }
    }
    RC_ASSERT(m_admission.Held() == Capacity{});
    RC_ASSERT(m_admission.Load(m_clock.Now()).queued == 0);
    RC_ASSERT(m_engine.empty());
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
    request.budget = RequestDeadline::FromRemaining(
        m_clock.Now(), std::chrono::seconds(*rc::gen::inRange(1, 60)));
    return request;
  }
  template <class V>
  void Note(const V& outcome) {
    if (const Granted* granted = As<Granted>(outcome)) {
      RC_ASSERT(!m_not_run.contains(granted->attempt));
    }
    if (const Refused* refused = As<Refused>(outcome)) {
      if (refused->error.not_run) ProvedNotRun(refused->attempt);
    }
  }
  void NoteCancel(const AttemptId& attempt, CancelResult result) {
    if (result == CancelResult::kNeverStarted) ProvedNotRun(attempt);
    if (result == CancelResult::kRunning) m_cancels.insert(attempt);
  }
  void Tick() {
    for (const Outcome& outcome : m_admission.Tick(m_clock.Now())) {
      Note(outcome);
      if (const auto* cancel = As<EngineCancellation>(outcome)) {
        m_cancels.insert(cancel->attempt);
      }
    }
  }
  void ProvedNotRun(const AttemptId& attempt) {
    RC_ASSERT(!m_started.contains(attempt));
    m_not_run.insert(attempt);
  }
  void Started(const AttemptId& attempt) {
    RC_ASSERT(!m_not_run.contains(attempt));
    RC_ASSERT(m_started.insert(attempt).second);
    m_engine.insert(attempt);
  }
  void Ended(const AttemptId& attempt) {
    m_engine.erase(attempt);
    m_cancels.erase(attempt);
    m_admission.Release(attempt, m_clock.Now());
  }

  ManualClock m_clock;
  Admission m_admission{Options(), false};
  std::set<AttemptId> m_started;
  std::set<AttemptId> m_not_run;
  std::set<AttemptId> m_engine;
  std::set<AttemptId> m_cancels;
};

}  // namespace peridotshelf::ledger
