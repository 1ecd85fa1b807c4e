#include "peridotshelf/entry/entry.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <set>

#include "entry/answer_meter.h"
#include "entry/answer_writer.h"
#include "entry/dispatcher.h"
#include "entry/explain.h"
#include "entry/requests.h"
#include "entry/side_links.h"
#include "peridotshelf/http/server.h"

namespace peridotshelf::entry {
namespace {

using nlohmann::ordered_json;

/// Bodies of up to this multiple of the limit are read, so that the refusal can
/// be sent on their connection.
constexpr size_t kReadBodyFactor = 4;

void ReplyJson(http::Responder& responder, int status,
               const ordered_json& body) {
  responder.Reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

}  // namespace

struct Entry::Impl : std::enable_shared_from_this<Impl> {
  Impl(io::IoThreads& io, const EntryOptions& entry_options,
       ControlSource control_source)
      : threads(io),
        options(entry_options),
        control(std::move(control_source)),
        process_id(MakeRandomId()),
        limits{entry_options.default_timeout, entry_options.max_timeout},
        dispatcher(
            std::make_shared<Dispatcher>(io, entry_options.failure_domain)) {
    metrics::AddVersionMetric(registry, [this] {
      const control::ControlStatePtr state = control();
      return state ? state->version : 0;
    });
  }

  wire::Hello MakeHello() const;
  void Handle(const http::ServerRequest& request,
              const http::ResponderPtr& responder);
  void HandleCompletion(const http::ServerRequest& request,
                        const http::ResponderPtr& responder);
  void HandleServiceCall(const http::ServerRequest& request,
                         const http::ResponderPtr& responder);
  void HandleModels(const http::ResponderPtr& responder);
  void HandleReady(const http::ResponderPtr& responder);
  void HandleStatus(const http::ResponderPtr& responder);
  void HandleMetrics(const http::ResponderPtr& responder);
  void RefuseRequest(const http::ResponderPtr& responder, Error error);
  control::ControlStatePtr FindStateOrRefuse(
      const http::ResponderPtr& responder);
  bool IsLeaving(const control::ControlStatePtr& state) const;
  std::string NotReadyReason() const;

  io::IoThreads& threads;
  EntryOptions options;
  ControlSource control;
  std::string process_id;
  ReaderLimits limits;
  metrics::Registry registry;
  metrics::EntryMetrics metrics{registry};
  std::shared_ptr<Dispatcher> dispatcher;
  std::shared_ptr<SideLinks> links;
  std::atomic<bool> leaving{false};
  /// Whether the platform's list of hosts reports this host as leaving.
  std::atomic<bool> listed_leaving{false};
  std::unique_ptr<http::Server> server;
};

wire::Hello Entry::Impl::MakeHello() const {
  const control::ControlStatePtr state = control();
  wire::Hello hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.process_id = process_id;
  hello.host = options.host.value();
  hello.role = wire::Role::ENTRY;
  hello.control_version = state ? state->version : 0;
  hello.failure_domain = options.failure_domain.value();
  return hello;
}

bool Entry::Impl::IsLeaving(const control::ControlStatePtr& state) const {
  return leaving || listed_leaving ||
         (state && state->draining.contains(options.host));
}

std::string Entry::Impl::NotReadyReason() const {
  if (!options.not_ready_reason) return "no configuration yet";
  return std::string{options.not_ready_reason()};
}

control::ControlStatePtr Entry::Impl::FindStateOrRefuse(
    const http::ResponderPtr& responder) {
  control::ControlStatePtr state = control();
  if (state && state->configuration) return state;
  RefuseRequest(responder, {ErrorCode::kNotReady, NotReadyReason(), true,
                            std::chrono::seconds(1)});
  return nullptr;
}

/// Refuses a request that did not run.
void Entry::Impl::RefuseRequest(const http::ResponderPtr& responder,
                                Error error) {
  error.not_run = true;
  CountFailure(metrics, error);
  http::ReplyError(*responder, error, MakeIdHeaders(RequestId(MakeRandomId())));
}

void Entry::Impl::HandleCompletion(const http::ServerRequest& request,
                                   const http::ResponderPtr& responder) {
  Result<CompletionRequest> completion = ReadCompletion(request, limits);
  if (!completion) {
    RefuseRequest(responder, completion.error());
    return;
  }
  const control::ControlStatePtr state = FindStateOrRefuse(responder);
  if (!state) return;
  if (const auto team_check = CheckTeam(*state->configuration, *completion);
      !team_check) {
    RefuseRequest(responder, team_check.error());
    return;
  }
  AnswerCallbacks answer = MeterCompletion(
      metrics, ClassifyRequest(*state->configuration, *completion),
      MakeCompletionWriter(*completion, responder));
  const RequestId id = completion->id;
  dispatcher->Submit(state, std::move(*completion), std::move(answer));
  responder->OnDisconnect([self = shared_from_this(), id] {
    self->dispatcher->OnCallerDisconnected(id);
  });
}

void Entry::Impl::HandleServiceCall(const http::ServerRequest& request,
                                    const http::ResponderPtr& responder) {
  Result<ServiceRequest> call = ReadServiceCall(request, limits);
  if (!call) {
    RefuseRequest(responder, call.error());
    return;
  }
  const control::ControlStatePtr state = FindStateOrRefuse(responder);
  if (!state) return;
  if (const auto team_check = CheckTeam(*state->configuration, *call);
      !team_check) {
    RefuseRequest(responder, team_check.error());
    return;
  }
  AnswerCallbacks answer =
      MeterServiceCall(metrics, MakeServiceWriter(call->id, responder));
  const RequestId id = call->id;
  dispatcher->SubmitCall(state, std::move(*call), std::move(answer));
  responder->OnDisconnect([self = shared_from_this(), id] {
    self->dispatcher->OnCallerDisconnected(id);
  });
}

void Entry::Impl::HandleModels(const http::ResponderPtr& responder) {
  const control::ControlStatePtr state = FindStateOrRefuse(responder);
  if (!state) return;
  std::set<std::string> models;
  for (const auto& engine : state->configuration->engines) {
    models.insert(engine.model);
  }
  ordered_json data = ordered_json::array();
  for (const std::string& model : models) {
    data.push_back({{"id", model}, {"object", "model"}});
  }
  ReplyJson(*responder, 200, {{"object", "list"}, {"data", data}});
}

void Entry::Impl::HandleReady(const http::ResponderPtr& responder) {
  const control::ControlStatePtr state = control();
  if (IsLeaving(state)) {
    ReplyJson(*responder, 503, {{"ready", false}, {"reason", "leaving"}});
  } else if (!state || !state->configuration) {
    ReplyJson(*responder, 503,
              {{"ready", false}, {"reason", NotReadyReason()}});
  } else {
    ReplyJson(*responder, 200, {{"ready", true}, {"version", state->version}});
  }
}

void Entry::Impl::HandleStatus(const http::ResponderPtr& responder) {
  const control::ControlStatePtr state = control();
  ordered_json status{{"host", options.host.value()},
                      {"role", "entry"},
                      {"failure_domain", options.failure_domain.value()},
                      {"process", process_id},
                      {"version", state ? state->version : 0},
                      {"preset", state ? state->preset : ""},
                      {"leaving", IsLeaving(state)},
                      {"running", dispatcher->CountRunning()}};
  ReplyJson(*responder, 200, status);
}

void Entry::Impl::HandleMetrics(const http::ResponderPtr& responder) {
  responder->Reply(200, {{"Content-Type", std::string(metrics::kContentType)}},
                   registry.Render());
}

void Entry::Impl::Handle(const http::ServerRequest& request,
                         const http::ResponderPtr& responder) {
  if (request.body.size() > options.max_body_bytes) {
    RefuseRequest(responder,
                  {ErrorCode::kTooLarge,
                   "body: must have at most " +
                       std::to_string(options.max_body_bytes) + " bytes",
                   true,
                   {}});
  } else if (request.path == "/v1/completions" && request.method == "POST") {
    HandleCompletion(request, responder);
  } else if (request.path == "/v1/models") {
    HandleModels(responder);
  } else if (request.path.starts_with("/services/")) {
    HandleServiceCall(request, responder);
  } else if (request.path.starts_with(kExplainPath)) {
    ReplyExplain(request, *responder, *dispatcher);
  } else if (request.path == "/healthz") {
    ReplyJson(*responder, 200, {{"alive", true}});
  } else if (request.path == "/readyz") {
    HandleReady(responder);
  } else if (request.path == "/status") {
    HandleStatus(responder);
  } else if (request.path == "/metrics") {
    HandleMetrics(responder);
  } else {
    http::ReplyError(*responder,
                     {ErrorCode::kUnknownService, request.path, true, {}});
  }
}

Entry::Entry(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Entry::~Entry() {
  m_impl->server.reset();
  m_impl->links->Update({});
}

Result<std::unique_ptr<Entry>> Entry::Create(io::IoThreads& threads,
                                             const EntryOptions& options,
                                             ControlSource control) {
  auto impl = std::make_shared<Impl>(threads, options, std::move(control));
  auto dispatcher = impl->dispatcher;
  std::weak_ptr<Impl> weak = impl;
  impl->links = std::make_shared<SideLinks>(
      threads, options.channel,
      [weak] {
        auto alive = weak.lock();
        return alive ? alive->MakeHello() : wire::Hello();
      },
      [dispatcher](const HostId& host, wire::Frame frame) {
        dispatcher->OnFrame(host, std::move(frame));
      },
      [dispatcher](const HostId& host) {
        dispatcher->OnConnectionOpened(host);
      },
      [dispatcher](const HostId& host) { dispatcher->OnConnectionLost(host); },
      options.peers);
  dispatcher->SetLinks(impl->links);
  http::ServerOptions server_options;
  server_options.address = options.address;
  server_options.port = options.http_port;
  server_options.max_body_bytes = kReadBodyFactor * options.max_body_bytes;
  server_options.read_timeout = options.read_timeout;
  auto server =
      http::Server::Create(threads, server_options,
                           [weak](const http::ServerRequest& request,
                                  const http::ResponderPtr& responder) {
                             if (auto alive = weak.lock())
                               alive->Handle(request, responder);
                           });
  if (!server) return tl::unexpected<Error>(server.error());
  impl->server = std::move(*server);
  return std::unique_ptr<Entry>(new Entry(std::move(impl)));
}

void Entry::UpdateHosts(std::span<const platform::HostEntry> hosts) {
  m_impl->links->Update(hosts);
  bool is_leaving = false;
  for (const platform::HostEntry& entry : hosts) {
    if (entry.host == m_impl->options.host) {
      is_leaving = entry.state == platform::HostState::kLeaving;
    }
  }
  m_impl->listed_leaving = is_leaving;
  m_impl->dispatcher->UpdateHosts(hosts);
}

void Entry::StartLeaving() { m_impl->leaving = true; }

size_t Entry::CountRunning() const {
  return m_impl->dispatcher->CountRunning();
}

}  // namespace peridotshelf::entry
