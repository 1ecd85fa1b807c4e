#include "peridotshelf/load/runner.h"

namespace peridotshelf::load::detail {
namespace {

double SecondsSince(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void Exchange::OnText(std::string_view text) {
  const TimePoint now = SteadyClock().Now();
  PartStats& times = m_stats.part(m_prompt.part);
  if (m_begun) {
    times.gap.Observe(SecondsSince(m_last, now));
  } else {
    times.first_token.Observe(SecondsSince(m_due, now));
  }
  m_begun = true;
  m_last = now;
  if (m_plan.check_answers) m_text.append(text);
}

void Exchange::OnDone(const Result<void>& outcome) {
  if (!outcome) {
    m_stats.CountOutcome(ToString(outcome.error().code));
    return;
  }
  const bool wrong = m_plan.check_answers &&
                     m_text != ExpectedAnswer(m_prompt, m_plan.max_tokens);
  m_stats.CountOutcome(wrong ? "wrong_answer" : "ok");
  const TimePoint now = SteadyClock().Now();
  m_stats.part(m_prompt.part).whole.Observe(SecondsSince(m_due, now));
}

}  // namespace peridotshelf::load::detail
