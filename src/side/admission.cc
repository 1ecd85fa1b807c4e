#include "side/admission.h"

#include <algorithm>

#include "peridotshelf/wire/codec.h"

namespace peridotshelf::side {
namespace {

ledger::AdmissionOptions MakeOptions(const control::EngineConfig& engine,
                                     int64_t epoch, Duration entry_lease) {
  ledger::AdmissionOptions options;
  options.capacity = {engine.memory_tokens, engine.slots};
  options.epoch = epoch;
  options.entry_lease = entry_lease;
  return options;
}

}  // namespace

Admission::Admission(const control::EngineConfig& engine, int64_t epoch,
                     Duration entry_lease)
    : m_engine(engine),
      m_admission(MakeOptions(engine, epoch, entry_lease),
                  /*rebuilding=*/true) {}

void Admission::ApplyState(const control::ControlState& state) {
  const control::Configuration& configuration = *state.configuration;
  for (const control::EngineConfig& engine : configuration.engines) {
    if (engine.id != m_engine.id) continue;
    m_admission.SetCapacity({engine.memory_tokens, engine.slots});
  }
  const auto preset = std::find_if(
      configuration.presets.begin(), configuration.presets.end(),
      [&](const control::Preset& p) { return p.name == state.preset; });
  std::vector<control::TeamConfig> teams;
  for (const control::ServiceConfig& service : configuration.services) {
    if (service.model != m_engine.model) continue;
    teams.insert(teams.end(), service.teams.begin(), service.teams.end());
  }
  m_admission.ApplyPreset(
      preset == configuration.presets.end() ? control::Preset{} : *preset,
      teams);
}

wire::Frame Admission::Reserve(const wire::Reserve& reserve,
                               const ProcessId& owner, TimePoint now) {
  ledger::ReserveRequest request;
  request.attempt = wire::FromWire(reserve.attempt);
  request.owner = owner;
  request.team = TeamId(reserve.team);
  request.priority = reserve.priority;
  request.prompt_tokens = reserve.prompt_tokens;
  request.max_tokens = reserve.max_tokens;
  request.size_class = policy::ClassifySize(
      reserve.prompt_tokens, reserve.max_tokens, m_engine.memory_tokens);
  request.deadline = RequestDeadline::FromRemaining(
      now, std::chrono::milliseconds(reserve.remaining_ms));
  const ledger::Decision decision = m_admission.Reserve(request, now);
  return std::visit([this](const auto& reply) { return ToFrame(reply); },
                    decision);
}

AdmissionTick Admission::Tick(TimePoint now) {
  return ToTick(m_admission.Tick(now));
}

AdmissionTick Admission::SetLeaving(bool leaving, TimePoint now) {
  return ToTick(m_admission.SetLeaving(leaving, now));
}

AdmissionTick Admission::ToTick(
    const std::vector<ledger::Outcome>& outcomes) const {
  AdmissionTick tick;
  for (const ledger::Outcome& outcome : outcomes) {
    if (const auto* cancel =
            std::get_if<ledger::EngineCancellation>(&outcome)) {
      tick.cancels.push_back(cancel->attempt);
    } else if (const auto* granted = std::get_if<ledger::Granted>(&outcome)) {
      tick.frames.emplace_back(granted->attempt, ToFrame(*granted));
    } else if (const auto* refused = std::get_if<ledger::Refused>(&outcome)) {
      tick.frames.emplace_back(refused->attempt, ToFrame(*refused));
    }
  }
  return tick;
}

wire::Frame Admission::ToFrame(const ledger::Granted& granted) const {
  wire::Granted reply;
  reply.attempt = wire::ToWire(granted.attempt);
  reply.epoch = granted.epoch;
  reply.lease_ms = ToMilliseconds(granted.lease);
  reply.load = Load();
  wire::Frame frame;
  frame.__set_granted(reply);
  return frame;
}

wire::Frame Admission::ToFrame(const ledger::Queued& queued) const {
  wire::Queued reply;
  reply.attempt = wire::ToWire(queued.attempt);
  reply.estimated_start_ms = ToMilliseconds(queued.estimated_wait);
  reply.load = Load();
  wire::Frame frame;
  frame.__set_queued(reply);
  return frame;
}

wire::Frame Admission::ToFrame(const ledger::Refused& refused) const {
  wire::Frame frame;
  const Error& error = refused.error;
  const int64_t retry_after_ms =
      error.retry_after ? ToMilliseconds(*error.retry_after) : 0;
  if (!error.not_run) {
    // A Refused frame guarantees that the attempt did not run; without that
    // guarantee the reply is a Failed frame.
    wire::Failed reply;
    reply.attempt = wire::ToWire(refused.attempt);
    reply.code = ToString(error.code);
    reply.detail = error.detail;
    reply.retry_after_ms = retry_after_ms;
    frame.__set_failed(reply);
    return frame;
  }
  wire::Refused reply;
  reply.attempt = wire::ToWire(refused.attempt);
  reply.code = ToString(error.code);
  reply.detail = error.detail;
  reply.retry_after_ms = retry_after_ms;
  reply.load = Load();
  frame.__set_refused(reply);
  return frame;
}

wire::EngineLoad Admission::Load() const {
  const policy::EngineLoad load = m_admission.Load(SteadyClock().Now());
  wire::EngineLoad reply;
  reply.engine = m_engine.id.value();
  reply.free_tokens = load.free_tokens;
  reply.free_slots = load.free_slots;
  reply.queued = load.queued;
  reply.queued_tokens = load.queued_tokens;
  reply.leaving = load.leaving;
  reply.running_long = load.running_long;
  return reply;
}

}  // namespace peridotshelf::side
