#include <algorithm>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using discovery::EngineRecord;
using events::EventId;

/// Requests per second that an entry's share of a limit is rounded up to.
constexpr double kMinShare = 0.001;

}  // namespace

std::vector<const EngineRecord*> Gateway::Impl::RemoveLimited(
    const std::vector<const EngineRecord*>& records) {
  if (rate_limits->empty()) return records;
  const TimePoint now = SteadyClock().Now();
  std::vector<const EngineRecord*> unlimited;
  for (const EngineRecord* record : records) {
    const std::string key = record->Key();
    if (!rate_limits->FindLimit(key) && IsColdCandidate(key, now)) {
      unlimited.push_back(record);
    }
  }
  return unlimited;
}

bool Gateway::Impl::AddAdmitted(const std::vector<const EngineRecord*>& usable,
                                std::vector<const EngineRecord*>& records) {
  const TimePoint now = SteadyClock().Now();
  const scheduling::LimitSharers sharers = peers.LimitSharers();
  bool has_added = false;
  for (const EngineRecord* record : usable) {
    const std::string key = record->Key();
    if (!rate_limits->FindLimit(key) || !IsColdCandidate(key, now)) continue;
    // Peers share the limit by the demand that is reported to them; later
    // changes of it reach them with the next full report.
    if (rate_limits->IsDemandNew(key, now)) peers.NoteChange(key);
    if (!rate_limits->TryAdmit(key, sharers, now)) continue;
    records.push_back(record);
    has_added = true;
  }
  return has_added;
}

void Gateway::Impl::CountAgainstLimit(const std::string& engine) {
  rate_limits->NoteSent(engine, SteadyClock().Now());
}

void Gateway::Impl::NoteLimit(const Attempt& attempt, const AnswerHead& head) {
  if (!head.is_not_run) {
    GetEngineState(attempt.engine_key).answered_at = SteadyClock().Now();
  }
  if (head.has_invalid_limit) {
    events::Log(EventId::kEngineLimitInvalid, {{"engine", attempt.engine_key}});
    return;
  }
  if (rate_limits->NoteAnswer(attempt.engine_key, head.max_requests_per_second,
                              attempt.sent_at, SteadyClock().Now())) {
    LogLimit(attempt.engine_key, "answer");
    peers.NoteChange(attempt.engine_key);
    ScheduleQueueDrain();
  }
}

void Gateway::Impl::LogLimit(const std::string& engine,
                             std::string_view source) {
  const auto limit = rate_limits->FindLimit(engine);
  events::Log(EventId::kEngineLimitChanged, {{"engine", engine},
                                             {"limited", limit.has_value()},
                                             {"per_second", limit.value_or(0)},
                                             {"source", std::string(source)}});
}

Duration Gateway::Impl::PredictLimitWait(
    const std::vector<const EngineRecord*>& records, size_t ahead) const {
  const TimePoint now = SteadyClock().Now();
  double per_second = 0;
  for (const EngineRecord* record : records) {
    per_second += rate_limits->ExpectedShare(record->Key(), now);
  }
  const std::chrono::duration<double> wait(static_cast<double>(ahead + 1) /
                                           std::max(per_second, kMinShare));
  auto shortest = std::chrono::duration_cast<Duration>(wait);
  for (const EngineRecord* record : records) {
    const std::string key = record->Key();
    const discovery::ColdBelief* cold = cold_engines->FindCold(key, now);
    if (cold != nullptr && !rate_limits->FindLimit(key)) {
      shortest = std::min(shortest, cold->until - now);
    }
  }
  return shortest;
}

void Gateway::Impl::ForgetGoneLimits() {
  for (const std::string& engine :
       rate_limits->EnginesToReport(SteadyClock().Now())) {
    if (!engines.Contains(engine)) rate_limits->Forget(engine);
  }
}

}  // namespace peridotshelf::gateway
