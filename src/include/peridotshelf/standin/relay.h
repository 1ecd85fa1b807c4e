/// A TCP relay for tests: it makes connections slow, cuts them, or stops
/// forwarding on those that are open without closing them, as a middlebox does
/// that has lost track of them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::standin {

/// Where a relay listens and forwards to.
struct RelayOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string target_address = "127.0.0.1";
  uint16_t target_port = 0;
  /// Port of the control interface.
  uint16_t control_port = 0;
};

/// Forwards connections until destroyed. `POST /control` takes a JSON object:
/// {"action": "silence"} stops forwarding on the open connections for good,
/// {"action": "cut"} closes the open connections,
/// {"action": "delay", "milliseconds": N} delays each piece of data from then
/// on; N = 0 ends that.
/// `GET /control` yields {"open": N}, the connections that still forward.
class Relay {
 public:
  /// Listens at once, or fails with kInternal naming the address.
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
