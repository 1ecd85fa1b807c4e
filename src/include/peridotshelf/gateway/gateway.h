/// Accepts requests from callers, places each at an engine and sends each
/// exactly one final response.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/gateway/messages.h"
#include "peridotshelf/gateway/peer_exchange.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/http/held_bytes.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/metrics/registry.h"
#include "peridotshelf/routing/configuration.h"
#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/fleet_retry_budget.h"
#include "peridotshelf/scheduling/hedging.h"

namespace peridotshelf::gateway {

struct GatewayOptions {
  FailureDomain failure_domain;
  /// As for `Gateway::SetRegions`.
  std::map<FailureDomain, std::string> regions;
  scheduling::RetryLimits retry_limits;
  /// Requests that a cold engine may get beyond its service's limit.
  scheduling::ColdBound cold_bound;
  /// Off by default.
  scheduling::HedgeOptions hedging;
  /// Time after which an engine releases a reservation that is not renewed.
  Duration reservation_ttl = std::chrono::milliseconds(3500);
  /// Largest body of an engine's response that is not streamed.
  size_t max_response_bytes = size_t{512} * 1024;
  /// Counts the answers that are collected before they are sent; may be null.
  std::shared_ptr<http::HeldBytes> held_bytes;
  /// Largest event of a stream.
  size_t max_event_bytes = size_t{64} * 1024;
  /// A stream may have this many bytes for each output token that its request
  /// allows, and one event more.
  size_t max_stream_bytes_per_token = 512;
  /// An engine's response pauses while this much of it waits to be processed.
  size_t max_unread_bytes = size_t{64} * 1024;
};

/// The gateway of one process. Its state is used only on the one thread of
/// `threads`: the hosts have a fraction of one core, so more threads would only
/// wait for each other. All members are called on that thread.
class Gateway {
 public:
  /// All references must outlive the gateway.
  Gateway(io::IoThreads& threads, http::Client& client, MessageCodec codec,
          discovery::EngineDirectory& engines,
          scheduling::ActiveRequestTable& active_request_table,
          PeerExchange& peers, metrics::Registry& registry,
          const GatewayOptions& options);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Applies `configuration` to requests that arrive from now on.
  void SetConfiguration(
      std::shared_ptr<const routing::Configuration> configuration);
  std::shared_ptr<const routing::Configuration> configuration() const;
  /// Applies `limits` immediately; retries already sent count against them.
  void SetRetryLimits(const scheduling::RetryLimits& limits);
  /// Sets the regions of failure domains, for routes and teams that allow only
  /// some regions. An engine in another domain is in no region.
  void SetRegions(std::map<FailureDomain, std::string> regions);
  /// Reports that engines were added or removed, so that the gateway tries
  /// again to place the queued requests.
  void NoteEnginesChanged();
  /// Reports a registration that was read into the directory. `cold_left` is
  /// how much longer the engine stays cold, if it says so.
  void NoteRegistration(const discovery::EngineRecord& record,
                        std::optional<Duration> cold_left);
  /// Handles one request; the response goes to `responder`.
  void Handle(const http::ServerRequest& request,
              const http::ResponderPtr& responder);
  /// Refuses new streams from now on, and calls whose callers would wait longer
  /// than until `end`, when the process has to exit: they might not finish.
  /// Other calls are still served.
  void RefuseLongRequests(TimePoint end);
  /// Refuses all new requests from now on, since the process is about to exit.
  void RefuseNewRequests();
  /// Returns the number of requests without a final response.
  size_t CountRunning() const;
  /// Returns the number of requests queued for a batch slot.
  size_t CountQueued() const;
  /// Returns the number of suspects whose requests are rejected, since engines
  /// crashed under them.
  size_t CountQuarantined() const;
  /// Returns the number of engines that are cold.
  size_t CountCold() const;
  /// Ends all running requests as if their deadlines had passed, for a process
  /// that has to exit now.
  void AbortAll();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::gateway
