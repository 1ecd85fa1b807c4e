/// Takes callers' requests, places each at an engine and gives it exactly one
/// final answer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/gateway/messages.h"
#include "peridotshelf/gateway/peer_exchange.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/metrics/registry.h"
#include "peridotshelf/routing/configuration.h"
#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/sliding_window_retry_budget.h"

namespace peridotshelf::gateway {

struct GatewayOptions {
  FailureDomain failure_domain;
  scheduling::RetryLimits repeats;
  /// How long memory at an engine stays reserved when it is not renewed.
  Duration reservation_ttl = std::chrono::milliseconds(3500);
};

/// One process's gateway. Its state belongs to the one thread of `threads`: the
/// hosts have a fraction of one core, so more threads would only wait for each
/// other. All members are called on that thread.
class Gateway {
 public:
  /// All references outlive the gateway.
  Gateway(io::IoThreads& threads, http::Client& client, MessageCodec codec,
          discovery::EngineDirectory& engines,
          scheduling::ActiveRequestTable& active_request_table,
          PeerExchange& peers, metrics::Registry& registry,
          const GatewayOptions& options);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Requests that come from now on follow `configuration`.
  void SetConfiguration(
      std::shared_ptr<const routing::Configuration> configuration);
  std::shared_ptr<const routing::Configuration> configuration() const;
  /// The limits hold from now on, also for what was repeated before.
  void SetRetryLimits(const scheduling::RetryLimits& limits);
  /// Engines came or went.
  void NoteEnginesChanged();
  /// Answers one request.
  void Handle(const http::ServerRequest& request,
              const http::ResponderPtr& responder);
  /// From now on new streams are refused, since they might not end before the
  /// process has to; short calls are still served.
  void RefuseNewStreams();
  /// Requests without their final answer.
  size_t RunningCount() const;
  /// Requests that wait for a place at an engine.
  size_t WaitingCount() const;
  /// Ends all that still runs; for a process that has to stop now.
  void AbortAll();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::gateway
