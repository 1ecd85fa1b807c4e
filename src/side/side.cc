#include "peridotshelf/side/side.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

#include "peridotshelf/events/log.h"
#include "peridotshelf/http/client.h"
#include "side/execution.h"
#include "side/service_calls.h"

namespace peridotshelf::side {
namespace {

using events::EventId;

/// An engine that did not list its streams is asked again after this.
constexpr Duration kRebuildRetry = std::chrono::milliseconds(500);

/// A number that grows from one start of the process to the next, since the
/// machine's clock does; engines use it to refuse a predecessor.
int64_t MakeEpoch() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

struct Side::Impl : std::enable_shared_from_this<Impl> {
  Impl(io::IoThreads& io, const SideOptions& side_options,
       ControlSource control_source)
      : threads(io),
        options(side_options),
        control(std::move(control_source)),
        process_id(MakeRandomId()),
        executions(
            std::make_shared<Executions>(io, side_options.lease, MakeEpoch())),
        calls(std::make_shared<ServiceCalls>(client)) {}

  wire::Hello MakeHello() const;
  void OnFrame(const wire::ChannelPtr& channel, wire::Frame frame);
  void OnReserve(const wire::ChannelPtr& channel, const wire::Reserve& reserve);
  void OnServiceCall(const wire::ChannelPtr& channel, wire::ServiceCall call);
  bool IsLeaving() const;
  bool IsConfigured(const EngineId& id) const;
  EnginePtr FindEngine(const EngineId& id);
  void Tick();
  void ApplyState(const control::ControlStatePtr& state);
  void RebuildFrom(const EnginePtr& engine);
  std::vector<EnginePtr> Engines();
  Result<std::string> FindBackendUrl(const std::string& id) const;

  io::IoThreads& threads;
  SideOptions options;
  ControlSource control;
  std::string process_id;
  http::Client client;
  std::shared_ptr<Executions> executions;
  std::shared_ptr<ServiceCalls> calls;
  std::atomic<bool> leaving{false};
  /// The platform's list has this host as leaving.
  std::atomic<bool> listed_leaving{false};
  std::mutex engines_mutex;
  std::map<EngineId, EnginePtr> engines;
  /// The state that the engines' admissions follow; only Tick touches it.
  control::ControlStatePtr applied;
  std::atomic<bool> stopped{false};
  std::unique_ptr<wire::Listener> listener;
};

wire::Hello Side::Impl::MakeHello() const {
  const control::ControlStatePtr state = control();
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

std::vector<EnginePtr> Side::Impl::Engines() {
  std::scoped_lock lock(engines_mutex);
  std::vector<EnginePtr> all;
  for (const auto& [id, engine] : engines) all.push_back(engine);
  return all;
}

void Side::Impl::ApplyState(const control::ControlStatePtr& state) {
  for (const control::EngineConfig& config : state->configuration->engines) {
    if (config.host != options.host) continue;
    EnginePtr engine = FindEngine(config.id);
    if (!engine) {
      engine = std::make_shared<Engine>(config, client, executions->epoch(),
                                        executions->lease());
      RebuildFrom(engine);
      std::scoped_lock lock(engines_mutex);
      engines[config.id] = engine;
    }
    engine->admission.ApplyState(*state);
  }
  applied = state;
}

void Side::Impl::RebuildFrom(const EnginePtr& engine) {
  engine->client.ListStreams(
      [self = shared_from_this(),
       engine](const Result<std::vector<backend::EngineStream>>& streams) {
        if (streams) {
          engine->admission.Rebuild(*streams, SteadyClock().Now());
          return;
        }
        self->threads.After(kRebuildRetry, [self, engine] {
          if (!self->stopped) self->RebuildFrom(engine);
        });
      });
}

void Side::Impl::Tick() {
  if (stopped) return;
  const control::ControlStatePtr state = control();
  if (state && state->configuration && state != applied) ApplyState(state);
  const bool is_leaving = IsLeaving();
  for (const EnginePtr& engine : Engines()) {
    executions->TickEngine(engine, is_leaving);
  }
  threads.After(ledger::Admission::kTickInterval,
                [self = shared_from_this()] { self->Tick(); });
}

Result<std::string> Side::Impl::FindBackendUrl(const std::string& id) const {
  const control::ControlStatePtr state = control();
  if (!state || !state->configuration) {
    return Fail(ErrorCode::kNotReady, "no configuration");
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
    SendFailed(*channel, call.attempt, {code, call.backend, true, {}});
    return;
  }
  calls->Start(*url, channel, std::move(call));
}

void Side::Impl::OnFrame(const wire::ChannelPtr& channel, wire::Frame frame) {
  const ProcessId entry(channel->peer().process_id);
  for (const EnginePtr& engine : Engines()) {
    engine->admission.Extend(entry, SteadyClock().Now());
  }
  if (frame.__isset.reserve) {
    OnReserve(channel, frame.reserve);
  } else if (frame.__isset.start) {
    executions->Start(channel, frame.start);
  } else if (frame.__isset.payload_part) {
    executions->AddPayload(channel, frame.payload_part);
  } else if (frame.__isset.cancel) {
    executions->Cancel(channel, frame.cancel);
  } else if (frame.__isset.resume) {
    executions->Resume(channel, frame.resume);
  } else if (frame.__isset.service_call) {
    OnServiceCall(channel, std::move(frame.service_call));
  }
}

Side::Side(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Side::~Side() {
  m_impl->stopped = true;
  m_impl->listener.reset();
}

Result<std::unique_ptr<Side>> Side::Create(io::IoThreads& threads,
                                           const SideOptions& options,
                                           ControlSource control) {
  auto impl = std::make_shared<Impl>(threads, options, std::move(control));
  wire::ChannelCallbacks callbacks;
  callbacks.on_open = [impl](const wire::ChannelPtr& channel) {
    if (impl->options.peers) impl->options.peers->OnOpen(channel);
    events::Log(EventId::kPeerConnected, {{"peer", channel->peer().host}});
  };
  callbacks.on_frame = [impl](const wire::ChannelPtr& channel,
                              wire::Frame frame) {
    const auto& peers = impl->options.peers;
    if (peers && peers->OnFrame(channel, frame)) return;
    impl->OnFrame(channel, std::move(frame));
  };
  callbacks.on_closed = [impl](const wire::ChannelPtr& channel,
                               const Error& reason) {
    events::Log(EventId::kPeerLost,
                {{"peer", channel->peer().host}, {"reason", reason.detail}});
    if (impl->options.peers) impl->options.peers->OnClosed(channel);
    impl->executions->Detach(channel);
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

size_t Side::RunningCount() const {
  return m_impl->executions->RunningCount() + m_impl->calls->RunningCount();
}

}  // namespace peridotshelf::side
