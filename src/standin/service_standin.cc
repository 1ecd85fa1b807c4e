#include "peridotshelf/standin/service_standin.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace peridotshelf::standin {
namespace {

using nlohmann::json;

}  // namespace

struct ServiceStandin::Impl {
  void Handle(const http::ServerRequest& request,
              const http::ResponderPtr& responder);
  json Execute(const http::ServerRequest& request);
  json ListExecutions();

  io::IoThreads* threads = nullptr;
  ServiceStandinOptions options;
  std::mutex mutex;
  std::vector<std::string> executions;
  std::unique_ptr<http::Server> server;
};

json ServiceStandin::Impl::Execute(const http::ServerRequest& request) {
  const std::string key(
      request.FindHeader("Idempotency-Key").value_or(std::string_view()));
  std::scoped_lock lock(mutex);
  executions.push_back(key);
  if (options.recorder) {
    options.recorder->Record(
        history::ExecutionBegin{{}, history::BackendId(options.name), key});
  }
  return json{{"method", request.method},       {"path", request.path},
              {"query", request.query},         {"key", key},
              {"execution", executions.size()}, {"body", request.body}};
}

json ServiceStandin::Impl::ListExecutions() {
  std::scoped_lock lock(mutex);
  return json{{"executions", executions}};
}

void ServiceStandin::Impl::Handle(const http::ServerRequest& request,
                                  const http::ResponderPtr& responder) {
  const bool is_listing = request.path == "/executions";
  const json response = is_listing ? ListExecutions() : Execute(request);
  auto reply =
      [responder,
       text = response.dump(-1, ' ', false, json::error_handler_t::replace)] {
        responder->Reply(200, {{"Content-Type", "application/json"}}, text);
      };
  if (is_listing || options.delay == Duration::zero()) {
    reply();
  } else {
    threads->RunAfter(options.delay, reply);
  }
}

ServiceStandin::ServiceStandin(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

ServiceStandin::~ServiceStandin() { m_impl->server.reset(); }

Result<std::unique_ptr<ServiceStandin>> ServiceStandin::Create(
    io::IoThreads& threads, const ServiceStandinOptions& options) {
  auto impl = std::make_unique<Impl>();
  impl->threads = &threads;
  impl->options = options;
  http::ServerOptions server_options;
  server_options.address = options.address;
  server_options.port = options.port;
  auto server = http::Server::Create(
      threads, server_options,
      [service = impl.get()](const http::ServerRequest& request,
                             const http::ResponderPtr& responder) {
        service->Handle(request, responder);
      });
  if (!server) return tl::unexpected<Error>(server.error());
  impl->server = std::move(*server);
  return std::unique_ptr<ServiceStandin>(new ServiceStandin(std::move(impl)));
}

}  // namespace peridotshelf::standin
