// Attempts after the first, as far as the limit on retries allows them.
#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {

using events::EventId;

scheduling::FleetRetryBudget& Gateway::Impl::GetRetryBudget(
    const std::string& service) {
  const auto [found, is_new] =
      budgets.try_emplace(service, options.retry_limits, SteadyClock().Now());
  return found->second;
}

void Gateway::Impl::LogRetry(const LiveRequest& live, TimePoint now) {
  const double part = peers.LimitPart();
  const bool is_hedge = live.attempt->is_hedge && live.other_attempt;
  const TimePoint since =
      is_hedge ? live.other_attempt->sent_at : live.failed_at;
  events::Log(EventId::kRetrySent,
              {{"request", live.request.id.value()},
               {"service", live.service},
               {"engine", live.attempt->engine_key},
               {"after", std::string(is_hedge || !live.last_failure
                                         ? "hedge"
                                         : ToString(*live.last_failure))},
               {"waited_ms", ToMilliseconds(now - since)},
               {"left", GetRetryBudget(live.service).Remaining(now, part)},
               {"part", part},
               {"entries", static_cast<int64_t>(peers.CountLiveEntries())},
               {"age_ms", ToMilliseconds(now - started_at)}});
}

void Gateway::Impl::DropLapsedRetry(const LiveRequestPtr& live) {
  if (live->hedge && live->hedge->number == live->attempt->number) {
    EndHedge(*live, "cancelled");
  }
  EndAttempt(*live);
  ScheduleQueueDrain();
  // The first attempt of a hedged request goes on.
  if (!live->attempt) DenyRetry(live);
}

void Gateway::Impl::DenyRetry(const LiveRequestPtr& live) {
  denied_retries.WithoutLabel().Add();
  GiveUp(live, "repeat_budget");
}

bool Gateway::Impl::ClaimRetry(LiveRequest& live) {
  if (!live.has_retry_claim) {
    live.has_retry_claim =
        GetRetryBudget(live.service)
            .TryClaim(SteadyClock().Now(), peers.LimitPart());
  }
  return live.has_retry_claim;
}

}  // namespace peridotshelf::gateway
