#include "peridotshelf/side_status.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "peridotshelf/metrics/daemon_metrics.h"

namespace peridotshelf::program {
namespace {

using nlohmann::ordered_json;

void ReplyJson(http::Responder& responder, int status,
               const ordered_json& body) {
  responder.Reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

/// Returns the load of each engine of the side, without engines that are no
/// longer in the configuration.
std::vector<metrics::EngineSample> SampleEngines(
    const side::Side& side, const control::ControlStatePtr& state) {
  std::vector<metrics::EngineSample> samples;
  if (!state || !state->configuration) return samples;
  for (const wire::EngineLoad& load : side.Loads()) {
    for (const auto& engine : state->configuration->engines) {
      if (engine.id.value() != load.engine) continue;
      samples.push_back(
          {load.engine, static_cast<double>(load.queued),
           static_cast<double>(engine.slots - load.free_slots),
           static_cast<double>(engine.memory_tokens - load.free_tokens)});
    }
  }
  return samples;
}

}  // namespace

SideStatus::SideStatus(SideStatusOptions options,
                       std::weak_ptr<side::Side> side)
    : m_options(std::move(options)), m_side(std::move(side)) {
  AddMetrics();
}

void SideStatus::AddMetrics() {
  metrics::AddEngineMetrics(m_registry, [this] {
    const auto side = m_side.lock();
    return side ? SampleEngines(*side, m_options.control())
                : std::vector<metrics::EngineSample>();
  });
  metrics::AddVersionMetric(m_registry, [this] {
    const control::ControlStatePtr state = m_options.control();
    return state ? state->version : 0;
  });
}

Result<std::unique_ptr<SideStatus>> SideStatus::Create(
    io::IoThreads& threads, SideStatusOptions options,
    std::weak_ptr<side::Side> side) {
  http::ServerOptions server_options;
  server_options.address = options.address;
  server_options.port = options.port;
  std::unique_ptr<SideStatus> status(
      new SideStatus(std::move(options), std::move(side)));
  // The status owns the server, so the raw pointer stays valid.
  auto server = http::Server::Create(
      threads, server_options,
      [self = status.get()](const http::ServerRequest& request,
                            const http::ResponderPtr& responder) {
        self->Handle(request, *responder);
      });
  if (!server) return tl::unexpected<Error>(server.error());
  status->m_server = std::move(*server);
  return status;
}

void SideStatus::ReplyReady(http::Responder& responder) {
  const auto side = m_side.lock();
  const control::ControlStatePtr state = m_options.control();
  if (!side || side->IsLeaving()) {
    ReplyJson(responder, 503, {{"ready", false}, {"reason", "leaving"}});
  } else if (!state || !state->configuration) {
    ReplyJson(responder, 503,
              {{"ready", false}, {"reason", m_options.not_ready_reason()}});
  } else {
    ReplyJson(responder, 200, {{"ready", true}, {"version", state->version}});
  }
}

void SideStatus::ReplyStatus(http::Responder& responder) {
  const auto side = m_side.lock();
  const control::ControlStatePtr state = m_options.control();
  ordered_json status{{"host", m_options.side.host.value()},
                      {"role", "side"},
                      {"failure_domain", m_options.side.failure_domain.value()},
                      {"version", state ? state->version : 0},
                      {"preset", state ? state->preset : ""},
                      {"leaving", !side || side->IsLeaving()},
                      {"running", side ? side->CountRunning() : 0}};
  if (side) {
    for (const auto& engine : SampleEngines(*side, state)) {
      status["engines"].push_back({{"engine", engine.engine},
                                   {"queued", engine.queued},
                                   {"holds", engine.holds},
                                   {"held_tokens", engine.held_tokens}});
    }
  }
  ReplyJson(responder, 200, status);
}

void SideStatus::Handle(const http::ServerRequest& request,
                        http::Responder& responder) {
  if (request.path == "/healthz") {
    ReplyJson(responder, 200, {{"alive", true}});
  } else if (request.path == "/readyz") {
    ReplyReady(responder);
  } else if (request.path == "/status") {
    ReplyStatus(responder);
  } else if (request.path == "/metrics") {
    responder.Reply(200, {{"Content-Type", std::string(metrics::kContentType)}},
                    m_registry.Render());
  } else {
    http::ReplyError(responder,
                     {ErrorCode::kUnknownService, request.path, true, {}});
  }
}

}  // namespace peridotshelf::program
