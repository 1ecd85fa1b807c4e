/// A simulated plain service. It echoes each call and records every execution
/// by its idempotency key.
#pragma once

#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/history/recorder.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::standin {

/// Address and speed of the simulated service.
struct ServiceStandinOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  Duration delay = std::chrono::nanoseconds(0);
  /// The service's name in the history.
  std::string name = "service";
  /// Records the executions; may be null.
  std::shared_ptr<history::Recorder> recorder;
};

/// Serves any path until destroyed. `GET /executions` lists the idempotency
/// keys of all executions.
class ServiceStandin {
 public:
  static Result<std::unique_ptr<ServiceStandin>> Create(
      io::IoThreads& threads, const ServiceStandinOptions& options);
  ~ServiceStandin();
  ServiceStandin(const ServiceStandin&) = delete;
  ServiceStandin& operator=(const ServiceStandin&) = delete;

 private:
  struct Impl;
  explicit ServiceStandin(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::standin
