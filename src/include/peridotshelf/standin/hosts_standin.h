/// A stand-in for the platform's list of hosts, which lags as told.
///
/// - `GET /v1/hosts` (answers 304 to a matching If-None-Match): {"hosts":
/// [{"host", "role": "entry|side", "state":
///   "live|leaving", "address", "port", "failure_domain"}]}.
/// - `POST /v1/hosts`: the whole list in that form, or one entry, which
///   replaces the one of its host; an entry of state "gone" is removed.
/// - `POST /control`: any of {"outage": "none|refuse", "lag_ms": N}.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::standin {

/// Where the list listens.
struct HostsStandinOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Changes are seen this much later.
  Duration lag{};
};

/// Serves the list until destroyed.
class HostsStandin {
 public:
  /// Listens at once, or fails with kInternal naming the address.
  static Result<std::unique_ptr<HostsStandin>> Create(
      io::IoThreads& threads, const HostsStandinOptions& options);
  ~HostsStandin();
  HostsStandin(const HostsStandin&) = delete;
  HostsStandin& operator=(const HostsStandin&) = delete;

 private:
  struct Impl;
  explicit HostsStandin(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::standin
