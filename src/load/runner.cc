#include "peridotshelf/load/runner.h"

namespace peridotshelf::load::detail {
namespace {

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void Exchange::OnText(std::string_view text) {
  const TimePoint now = SteadyClock().Now();
  PartStats& times = m_stats.part(m_prompt.part);
  if (m_has_text) {
    times.gap.Observe(SecondsBetween(m_last_text_at, now));
  } else {
    times.first_token.Observe(SecondsBetween(m_due, now));
  }
  m_has_text = true;
  m_last_text_at = now;
  if (m_plan.check_answers) m_text.append(text);
}

void Exchange::OnDone(const Result<void>& outcome) {
  if (!outcome) {
    m_stats.CountOutcome(ToString(outcome.error().code));
    return;
  }
  const bool is_wrong = m_plan.check_answers &&
                        m_text != ExpectedAnswer(m_prompt, m_plan.max_tokens);
  m_stats.CountOutcome(is_wrong ? "wrong_answer" : "ok");
  const TimePoint now = SteadyClock().Now();
  m_stats.part(m_prompt.part).total_time.Observe(SecondsBetween(m_due, now));
}

}  // namespace peridotshelf::load::detail
