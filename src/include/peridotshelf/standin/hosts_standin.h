/// A simulated host list of the platform, with a configurable lag.
///
/// - `GET /v1/hosts` (replies 304 to a matching If-None-Match): {"hosts":
///   [{"host", "role": "entry|side", "state": "live|leaving", "address",
///   "port", "failure_domain"}]}.
/// - `POST /v1/hosts`: sets the whole list in that form, or adds or replaces
///   the entry of one host; state "gone" removes the entry.
/// - `POST /control`: sets any of {"outage": "none|refuse", "lag_ms": N}.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::standin {

/// Address and lag of the simulated host list.
struct HostsStandinOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Delay until readers see a change.
  Duration lag{};
};

/// Serves the list until destroyed.
class HostsStandin {
 public:
  /// Starts listening. Fails with kInternal and a detail that names the
  /// address.
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
