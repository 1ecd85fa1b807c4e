#include "peridotshelf/side/side.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

#include "peridotshelf/events/log.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/wire/codec.h"
#include "side/attempt_streams.h"
#include "side/execution.h"
#include "side/idempotency_service.h"
#include "side/service_calls.h"

namespace peridotshelf::side {
namespace {

using events::EventId;

/// Returns the wall clock in milliseconds, which increases with each restart;
/// engines use it to refuse an earlier incarnation.
int64_t MakeEpoch() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

attempts::ExecutionOptions MakeExecutionOptions(const SideOptions& options) {
  attempts::ExecutionOptions out;
  out.lease = options.lease;
  return out;
}

constexpr Duration kRecoveryPollInterval = std::chrono::milliseconds(20);

}  // namespace

struct Side::Impl : std::enable_shared_from_this<Impl> {
  Impl(io::IoThreads& io, const SideOptions& side_options,
       ControlSource control_source)
      : threads(io),
        options(side_options),
        control(std::move(control_source)),
        process_id(MakeRandomId()),
        streams(std::make_shared<AttemptStreams>(
            MakeEpoch(), MakeExecutionOptions(side_options))),
        idempotency(std::make_shared<IdempotencyService>(side_options.host)),
        executions(std::make_shared<Executions>(io, streams)),
        calls(std::make_shared<ServiceCalls>(client, streams, idempotency)) {}

  wire::Hello MakeHello() const;
  void Tick();
  size_t LiveCount() const;
  /// Whether all engines have reported the attempts that they run, or one lease
  /// has passed since the start.
  bool IsRecovered();
  void OnCancel(const wire::ChannelPtr& channel, const wire::Cancel& cancel);
  void OnResume(const wire::ChannelPtr& channel, const wire::Resume& resume);
  void OnFrame(const wire::ChannelPtr& channel, wire::Frame frame);
  void OnReserve(const wire::ChannelPtr& channel, const wire::Reserve& reserve);
  void OnServiceCall(const wire::ChannelPtr& channel, wire::ServiceCall call);
  bool IsLeaving() const;
  bool IsConfigured(const EngineId& id) const;
  EnginePtr FindEngine(const EngineId& id);
  std::vector<EnginePtr> ListEngines();
  void ApplyState(const control::ControlStatePtr& state);
  void EndExpired();
  Result<std::string> FindBackendUrl(const std::string& id) const;

  io::IoThreads& threads;
  SideOptions options;
  ControlSource control;
  std::string process_id;
  const TimePoint started_at = SteadyClock().Now();
  std::shared_ptr<AttemptStreams> streams;
  std::shared_ptr<IdempotencyService> idempotency;
  http::Client client;
  std::shared_ptr<Executions> executions;
  std::shared_ptr<ServiceCalls> calls;
  std::atomic<bool> leaving{false};
  /// Whether the platform's host list shows this host as leaving.
  std::atomic<bool> listed_leaving{false};
  std::mutex engines_mutex;
  std::map<EngineId, EnginePtr> engines;
  /// The control state last applied to the engines' admissions; accessed
  /// only by Tick.
  control::ControlStatePtr applied_state;
  std::unique_ptr<wire::Listener> listener;
};

wire::Hello Side::Impl::MakeHello() const {
  const control::ControlStatePtr state = control();
  // Key ownership moves according to the versions that sides report, so the
  // state is applied before its version is reported.
  if (state) idempotency->Accept(*state);
  wire::Hello hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.process_id = process_id;
  hello.host = options.host.value();
  hello.role = wire::Role::SIDE;
  hello.control_version = state ? state->version : 0;
  hello.failure_domain = options.failure_domain.value();
  return hello;
}

bool Side::Impl::IsLeaving() const {
  if (leaving || listed_leaving) return true;
  const control::ControlStatePtr state = control();
  return state && state->draining.contains(options.host);
}

bool Side::Impl::IsConfigured(const EngineId& id) const {
  const control::ControlStatePtr state = control();
  if (!state || !state->configuration) return false;
  const auto& configured = state->configuration->engines;
  return std::any_of(configured.begin(), configured.end(),
                     [&](const control::EngineConfig& engine) {
                       return engine.id == id && engine.host == options.host;
                     });
}

EnginePtr Side::Impl::FindEngine(const EngineId& id) {
  std::scoped_lock lock(engines_mutex);
  auto it = engines.find(id);
  return it == engines.end() ? nullptr : it->second;
}

std::vector<EnginePtr> Side::Impl::ListEngines() {
  std::scoped_lock lock(engines_mutex);
  std::vector<EnginePtr> all;
  for (const auto& [id, engine] : engines) all.push_back(engine);
  return all;
}

void Side::Impl::ApplyState(const control::ControlStatePtr& state) {
  idempotency->Accept(*state);
  for (const control::EngineConfig& config : state->configuration->engines) {
    if (config.host != options.host) continue;
    EnginePtr engine = FindEngine(config.id);
    if (!engine) {
      engine = std::make_shared<Engine>(config, client, streams->epoch(),
                                        options.lease);
      executions->Recover(engine);
      std::scoped_lock lock(engines_mutex);
      engines[config.id] = engine;
    }
    engine->admission.ApplyState(*state);
  }
  applied_state = state;
}

Result<std::string> Side::Impl::FindBackendUrl(const std::string& id) const {
  const control::ControlStatePtr state = control();
  if (!state || !state->configuration) {
    return Fail(ErrorCode::kNotReady, "no configuration yet");
  }
  for (const auto& backend : state->configuration->backends) {
    if (backend.id == id && backend.host == options.host) return backend.url;
  }
  return Fail(ErrorCode::kNoBackend, id);
}

void Side::Impl::OnReserve(const wire::ChannelPtr& channel,
                           const wire::Reserve& reserve) {
  const EngineId id(reserve.engine);
  const EnginePtr engine = IsConfigured(id) ? FindEngine(id) : nullptr;
  const bool is_leaving = IsLeaving();
  if (engine && !is_leaving) {
    executions->Reserve(engine, channel, reserve);
    return;
  }
  wire::Refused refused;
  refused.attempt = reserve.attempt;
  refused.code =
      ToString(is_leaving ? ErrorCode::kLeaving : ErrorCode::kNoBackend);
  refused.detail = reserve.engine;
  refused.load.engine = reserve.engine;
  refused.load.leaving = is_leaving;
  wire::Frame frame;
  frame.__set_refused(refused);
  channel->Send(frame);
}

void Side::Impl::OnServiceCall(const wire::ChannelPtr& channel,
                               wire::ServiceCall call) {
  const Result<std::string> url = FindBackendUrl(call.backend);
  const bool is_leaving = IsLeaving();
  if (is_leaving || !url) {
    const ErrorCode code = is_leaving ? ErrorCode::kLeaving : url.error().code;
    SendFailed(*channel, wire::FromWire(call.attempt),
               {code, call.backend, true, {}});
    return;
  }
  const control::ControlStatePtr state = control();
  idempotency->Accept(*state);
  calls->Start(*state, *url, channel, std::move(call));
}

void Side::Impl::OnCancel(const wire::ChannelPtr& channel,
                          const wire::Cancel& cancel) {
  const AttemptId attempt = wire::FromWire(cancel.attempt);
  const bool same_incarnation =
      cancel.process_id.empty() || cancel.process_id == process_id;
  const attempts::CancelReply reply = streams->Cancel(
      channel, attempt,
      ParseErrorCode(cancel.code).value_or(ErrorCode::kCancelled),
      same_incarnation);
  if (reply.release_allocation)
    executions->Release(attempt, reply.cancel_at_backend);
  if (reply.cancel_at_backend) calls->Abandon(attempt);
}

void Side::Impl::OnResume(const wire::ChannelPtr& channel,
                          const wire::Resume& resume) {
  const bool same_incarnation = resume.process_id == process_id;
  if (!same_incarnation && !IsRecovered()) {
    // Not all engines have reported the attempts that they run.
    threads.RunAfter(kRecoveryPollInterval,
                     [self = shared_from_this(), channel, resume] {
                       self->OnResume(channel, resume);
                     });
    return;
  }
  const AttemptId attempt = wire::FromWire(resume.attempt);
  const attempts::ResumeReply reply =
      streams->Resume(channel, resume, same_incarnation);
  if (reply.release_allocation) executions->Release(attempt, false);
  executions->Claim(attempt, ProcessId(channel->peer().process_id));
  if (reply.ask_engine) executions->ResumeAtEngine(attempt, resume.from_offset);
}

bool Side::Impl::IsRecovered() {
  if (SteadyClock().Now() - started_at > options.lease) return true;
  const control::ControlStatePtr state = control();
  if (!state || !state->configuration) return false;
  for (const auto& config : state->configuration->engines) {
    if (config.host != options.host) continue;
    const EnginePtr engine = FindEngine(config.id);
    if (!engine || !engine->recovered) return false;
  }
  return true;
}

void Side::Impl::EndExpired() {
  for (const attempts::ExpiredAttempt& expired : streams->Tick()) {
    executions->Release(expired.attempt, expired.cancel_at_backend);
    calls->Abandon(expired.attempt);
  }
  idempotency->Tick();
}

void Side::Impl::Tick() {
  const control::ControlStatePtr state = control();
  // Engines are contacted before the first request, to list the attempts that
  // they still run.
  if (state && state->configuration && state != applied_state)
    ApplyState(state);
  const bool is_leaving = IsLeaving();
  for (const EnginePtr& engine : ListEngines()) {
    executions->TickEngine(engine, is_leaving);
  }
  EndExpired();
  std::weak_ptr<Impl> weak = weak_from_this();
  threads.RunAfter(ledger::Admission::kTickInterval, [weak] {
    if (auto alive = weak.lock()) alive->Tick();
  });
}

size_t Side::Impl::LiveCount() const {
  // `streams` counts an attempt until its answer is complete, `executions` and
  // `calls` until the backend server has released it.
  return std::max(streams->LiveCount(),
                  executions->CountRunning() + calls->CountRunning());
}

void Side::Impl::OnFrame(const wire::ChannelPtr& channel, wire::Frame frame) {
  if (frame.__isset.reserve) {
    OnReserve(channel, frame.reserve);
  } else if (frame.__isset.start) {
    executions->Start(channel, frame.start);
  } else if (frame.__isset.payload_part) {
    executions->AddPayload(channel, frame.payload_part);
  } else if (frame.__isset.cancel) {
    OnCancel(channel, frame.cancel);
  } else if (frame.__isset.resume) {
    OnResume(channel, frame.resume);
  } else if (frame.__isset.service_call) {
    OnServiceCall(channel, std::move(frame.service_call));
  }
}

Side::Side(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Side::~Side() { m_impl->listener.reset(); }

Result<std::unique_ptr<Side>> Side::Create(io::IoThreads& threads,
                                           const SideOptions& options,
                                           ControlSource control) {
  auto impl = std::make_shared<Impl>(threads, options, std::move(control));
  wire::ChannelCallbacks callbacks;
  callbacks.on_open = [impl](const wire::ChannelPtr& channel) {
    if (impl->options.peers) impl->options.peers->OnOpen(channel);
    impl->streams->AddConnection(channel);
    events::Log(EventId::kPeerConnected, {{"peer", channel->peer().host}});
  };
  callbacks.on_frame = [impl](const wire::ChannelPtr& channel,
                              wire::Frame frame) {
    const ProcessId entry(channel->peer().process_id);
    for (const EnginePtr& engine : impl->ListEngines()) {
      engine->admission.Extend(entry, SteadyClock().Now());
    }
    const auto& peers = impl->options.peers;
    if (peers && peers->OnFrame(channel, frame)) return;
    impl->OnFrame(channel, std::move(frame));
  };
  callbacks.on_closed = [impl](const wire::ChannelPtr& channel,
                               const Error& reason) {
    events::Log(EventId::kPeerLost,
                {{"peer", channel->peer().host}, {"reason", reason.detail}});
    if (impl->options.peers) impl->options.peers->OnClosed(channel);
    impl->streams->RemoveConnection(channel);
  };
  auto listener = wire::Listener::Create(
      threads, options.listen, options.channel,
      [impl] { return impl->MakeHello(); }, std::move(callbacks));
  if (!listener) return tl::unexpected<Error>(listener.error());
  impl->listener = std::move(*listener);
  impl->Tick();
  return std::unique_ptr<Side>(new Side(std::move(impl)));
}

void Side::StartLeaving() { m_impl->leaving = true; }

void Side::UpdateHosts(std::span<const platform::HostEntry> hosts) {
  bool is_leaving = false;
  for (const platform::HostEntry& entry : hosts) {
    if (entry.host == m_impl->options.host) {
      is_leaving = entry.state == platform::HostState::kLeaving;
    }
  }
  m_impl->listed_leaving = is_leaving;
}

std::vector<wire::EngineLoad> Side::Loads() const {
  std::scoped_lock lock(m_impl->engines_mutex);
  std::vector<wire::EngineLoad> loads;
  loads.reserve(m_impl->engines.size());
  for (const auto& [id, engine] : m_impl->engines) {
    loads.push_back(engine->admission.Load());
  }
  return loads;
}

bool Side::IsLeaving() const { return m_impl->IsLeaving(); }

size_t Side::CountRunning() const { return m_impl->LiveCount(); }

}  // namespace peridotshelf::side
