/// A simulated log of the platform, with faults that can be set while it runs.
/// It stores records in memory only.
///
/// - `POST /v1/log`: appends the body; {"offset": N}. Offsets start at 1.
/// - `GET /v1/log?from=N&wait_ms=M`: {"first_offset", "next_offset",
///   "records": [{"offset", "payload"}]}; a long poll if there is no record
///   yet.
/// - `GET /control`: the offsets and the counts of operations.
/// - `POST /control`: sets any of {"outage": "none|refuse|hang", "delay_ms": N,
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

/// Address and initial limits of the simulated log.
struct LogStandinOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// Number of records to retain; 0 retains all.
  size_t retention_records = 0;
  /// Further appends within a second are refused with status 429; 0 means no
  /// limit.
  int64_t max_appends_per_second = 0;
};

/// Serves the log until destroyed.
class LogStandin {
 public:
  /// Starts listening. Fails with kInternal and a detail that names the
  /// address.
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
