/// A TCP relay for tests. It delays data, closes connections, or stops
/// forwarding on open connections without closing them, like a middlebox that
/// has lost the state of its connections.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::standin {

/// Addresses at which a relay listens and to which it forwards.
struct RelayOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string target_address = "127.0.0.1";
  uint16_t target_port = 0;
  /// Port of the control interface.
  uint16_t control_port = 0;
};

/// Forwards connections until destroyed. `POST /control` takes a JSON object:
/// {"action": "silence"} stops forwarding on the open connections permanently,
/// {"action": "cut"} closes the open connections,
/// {"action": "delay", "milliseconds": N} delays all data received from then
/// on; N = 0 removes the delay. `GET /control` returns {"open": N}, the number
/// of connections that still forward data.
class Relay {
 public:
  /// Starts listening. Fails with kInternal and a detail that names the
  /// address.
  static Result<std::unique_ptr<Relay>> Create(io::IoThreads& threads,
                                               const RelayOptions& options);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

 private:
  struct Impl;
  explicit Relay(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::standin
