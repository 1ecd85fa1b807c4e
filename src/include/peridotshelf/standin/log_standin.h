/// A stand-in for the platform's log, with faults that can be set while it
/// runs. It keeps records in memory only.
///
/// - `POST /v1/log`: appends the body; {"offset": N}. Offsets begin at 1.
/// - `GET /v1/log?from=N&wait_ms=M`: {"first_offset", "next_offset",
///   "records": [{"offset", "payload"}]}; long poll when there is nothing.
/// - `GET /control`: what the log has done so far and its faults.
/// - `POST /control`: any of {"outage": "none|refuse|hang", "delay_ms": N,
///   "lose_ack_next": N, "retention_records": N, "max_appends_per_second": N,
///   "truncate": OFFSET}.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::standin {

/// Where the log listens and the limits it starts with.
struct LogStandinOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Records kept; 0 keeps all.
  size_t retention_records = 0;
  /// Further appends within a second are refused with status 429; 0: no limit.
  int64_t max_appends_per_second = 0;
};

/// Serves the log until destroyed.
class LogStandin {
 public:
  /// Listens at once, or fails with kInternal naming the address.
  static Result<std::unique_ptr<LogStandin>> Create(
      io::IoThreads& threads, const LogStandinOptions& options);
  ~LogStandin();
  LogStandin(const LogStandin&) = delete;
  LogStandin& operator=(const LogStandin&) = delete;

 private:
  struct Impl;
  explicit LogStandin(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::standin
