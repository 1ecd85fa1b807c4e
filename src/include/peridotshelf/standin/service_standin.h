/// A stand-in for a plain service: answers each call with what it was given
/// and remembers every execution by its idempotency key.
#pragma once

#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/history/recorder.h"
#include "peridotshelf/http/server.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::standin {

/// Where the service listens and how slow it is.
struct ServiceStandinOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  Duration delay = std::chrono::nanoseconds(0);
  /// The service's name in the history.
  std::string name = "service";
  /// Takes what the service runs; null for none.
  std::shared_ptr<history::Recorder> recorder;
};

/// Serves any path until destroyed; `GET /executions` lists the keys run.
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
