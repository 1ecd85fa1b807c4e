#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"

namespace peridotshelf::gateway {
namespace {

using discovery::ColdBelief;
using discovery::ColdSource;
using discovery::EngineRecord;
using events::EventId;

/// Requests of this entry that a cold engine may run before it has answered
/// one: until then its speed is not known, and it looks idle to every entry.
constexpr size_t kMaxUnansweredRequests = 2;
/// Plans with cold engines that are tried for one stream; each plan costs time.
constexpr int kMaxColdPlans = 3;

std::string_view ToString(ColdSource source) {
  switch (source) {
    case ColdSource::kRegistration:
      return "registration";
    case ColdSource::kStart:
      return "start";
    case ColdSource::kPeer:
      return "peer";
  }
  return "unknown";
}

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool LimitsColdEngines(const routing::Service* service) {
  return service != nullptr && service->cold_requests_per_second > 0;
}

}  // namespace

void Gateway::Impl::NoteRegistration(const EngineRecord& record,
                                     std::optional<Duration> cold_left) {
  discovery::RegistrationRead read;
  read.cold_left = cold_left;
  read.started_unix_ms = record.started_unix_ms;
  read.at = SteadyClock().Now();
  read.unix_ms = UnixMilliseconds();
  read.is_first_read = engines.is_first_read();
  read.is_copy = engines.is_reading_copy();
  if (configuration) {
    ApplyRegistration(record, read);
  } else {
    early_registrations.emplace_back(record, read);
  }
}

void Gateway::Impl::ApplyEarlyRegistrations() {
  for (const auto& [record, read] : std::exchange(early_registrations, {})) {
    ApplyRegistration(record, read);
  }
}

void Gateway::Impl::ApplyRegistration(const EngineRecord& record,
                                      discovery::RegistrationRead read) {
  const std::string key = record.Key();
  const routing::Service* service = configuration->FindService(record.service);
  read.engine = key;
  if (LimitsColdEngines(service)) read.cold_time = service->cold_time;
  const bool is_changed = cold_engines->NoteRegistration(read);
  const bool is_limited = ApplyColdLimit(record);
  if (!is_changed) return;
  LogCold(key);
  const ColdBelief* cold = cold_engines->FindCold(key, SteadyClock().Now());
  if (is_limited && cold != nullptr && cold->is_news) peers.NoteChange(key);
}

void Gateway::Impl::OnPeerCold(const std::string& engine) {
  const bool was_limited = rate_limits->IsCold(engine, SteadyClock().Now());
  const EngineRecord* record =
      engines.Find(engine.substr(0, engine.rfind('@')));
  // An engine that is not read yet is limited when it is.
  if (record == nullptr || record->Key() != engine) return;
  if (ApplyColdLimit(*record) && !was_limited) LogCold(engine);
}

void Gateway::Impl::LogCold(const std::string& engine) {
  const TimePoint now = SteadyClock().Now();
  const ColdBelief* cold = cold_engines->FindCold(engine, now);
  if (cold == nullptr) return;
  events::Log(EventId::kEngineCold,
              {{"engine", engine},
               {"ms", ToMilliseconds(cold->until - now)},
               {"source", std::string(ToString(cold->source))}});
}

bool Gateway::Impl::ApplyColdLimit(const EngineRecord& record) {
  const TimePoint now = SteadyClock().Now();
  const std::string key = record.Key();
  const ColdBelief* cold = cold_engines->FindCold(key, now);
  const routing::Service* service =
      configuration ? configuration->FindService(record.service) : nullptr;
  if (cold == nullptr || !LimitsColdEngines(service)) {
    rate_limits->EndColdLimit(key);
    return false;
  }
  if (!rate_limits->IsCold(key, now)) GetEngineState(key).cold_since = now;
  rate_limits->SetColdLimit(key, {service->cold_requests_per_second,
                                  options.cold_bound, cold->until});
  return true;
}

void Gateway::Impl::ApplyColdLimits() {
  const TimePoint now = SteadyClock().Now();
  cold_engines->ForgetOld(now);
  for (const std::string& key : cold_engines->FindAllCold(now)) {
    const EngineRecord* record = engines.Find(key.substr(0, key.rfind('@')));
    if (record != nullptr && record->Key() == key) ApplyColdLimit(*record);
  }
}

bool Gateway::Impl::IsColdCandidate(const std::string& engine, TimePoint now) {
  if (!rate_limits->IsCold(engine, now)) return true;
  if (!rate_limits->MayTryCold(engine, now)) return false;
  const EngineState& state = GetEngineState(engine);
  return state.answered_at >= state.cold_since ||
         active_request_table.LocalRequestsAt(engine).size() <
             kMaxUnansweredRequests;
}

bool Gateway::Impl::AdmitAtCold(const std::string& engine) {
  // An engine with a limit of its own was asked about both.
  if (rate_limits->empty() || rate_limits->FindLimit(engine)) return true;
  const TimePoint now = SteadyClock().Now();
  if (!rate_limits->IsCold(engine, now)) return true;
  if (rate_limits->IsDemandNew(engine, now)) peers.NoteChange(engine);
  return rate_limits->TryAdmit(engine, peers.LimitSharers(), now);
}

std::optional<scheduling::StreamPlan> Gateway::Impl::PlanAdmitted(
    std::vector<const EngineRecord*>& records, const LiveRequest& live,
    const scheduling::EngineModel& model,
    std::vector<scheduling::EngineCandidate>& candidates) {
  for (int plans = 1;; ++plans) {
    candidates = MakeCandidates(records, model);
    auto plan = MakePlan(live, candidates);
    if (!plan || rate_limits->empty()) return plan;
    std::vector<size_t> chosen = plan->helpers;
    chosen.push_back(plan->primary);
    const auto refused = std::find_if(
        chosen.begin(), chosen.end(),
        [&](size_t index) { return !AdmitAtCold(candidates[index].engine); });
    if (refused == chosen.end()) return plan;
    records.erase(records.begin() + static_cast<std::ptrdiff_t>(*refused));
    if (plans == kMaxColdPlans) RemoveCold(records);
  }
}

void Gateway::Impl::RemoveCold(
    std::vector<const EngineRecord*>& records) const {
  const TimePoint now = SteadyClock().Now();
  std::erase_if(records, [this, now](const EngineRecord* record) {
    const std::string key = record->Key();
    return rate_limits->IsCold(key, now) && !rate_limits->FindLimit(key);
  });
}

void Gateway::NoteRegistration(const discovery::EngineRecord& record,
                               std::optional<Duration> cold_left) {
  m_impl->NoteRegistration(record, cold_left);
}

size_t Gateway::CountCold() const {
  return m_impl->cold_engines->FindAllCold(SteadyClock().Now()).size();
}

}  // namespace peridotshelf::gateway
