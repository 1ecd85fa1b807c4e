/// HTTP server of a side for health, readiness, status and metrics.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/metrics/registry.h"
#include "peridotshelf/side/side.h"

namespace peridotshelf::program {

/// Listening address and the data to report.
struct SideStatusOptions {
  std::string address;
  uint16_t port = 0;
  side::SideOptions side;
  side::ControlSource control;
  /// Returns why there is no control state yet.
  std::function<std::string_view()> not_ready_reason;
};

/// Serves until destroyed.
class SideStatus {
 public:
  /// Starts listening; if that fails, returns kInternal with the address.
  static Result<std::unique_ptr<SideStatus>> Create(
      io::IoThreads& threads, SideStatusOptions options,
      std::weak_ptr<side::Side> side);

 private:
  SideStatus(SideStatusOptions options, std::weak_ptr<side::Side> side);
  void Handle(const http::ServerRequest& request, http::Responder& responder);
  void ReplyReady(http::Responder& responder);
  void ReplyStatus(http::Responder& responder);
  void AddMetrics();

  SideStatusOptions m_options;
  std::weak_ptr<side::Side> m_side;
  metrics::Registry m_registry;
  std::unique_ptr<http::Server> m_server;
};

}  // namespace peridotshelf::program
