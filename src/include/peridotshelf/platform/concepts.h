/// Interfaces to the platform's log service and host list. log_client.cc and
/// host_list.cc define the wire formats.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"

namespace peridotshelf::platform {

/// One record of the log.
struct LogRecord {
  int64_t offset = 0;
  std::string payload;
};

/// The result of one read of the log.
struct LogPage {
  std::vector<LogRecord> records;
  /// The oldest offset that is still retained.
  int64_t first_offset = 0;
  /// The offset that the next record will have.
  int64_t next_offset = 0;
};

/// The append-only log. Calls do not block; callbacks receive the results.
template <class L>
concept LogClient = requires(L& log, std::string payload, int64_t from,
                             Duration wait,
                             std::function<void(Result<int64_t>)> on_appended,
                             std::function<void(Result<LogPage>)> on_read) {
  // Appends one record and returns its offset. After kPlatformUnavailable it is
  // unknown whether the record was appended.
  log.Append(payload, on_appended);
  // Reads from an offset; waits up to `wait` if there is no record yet.
  log.Read(from, wait, on_read);
};

/// State of a host in the platform's list.
enum class HostState { kLive, kLeaving };

/// The process that runs on a host.
enum class HostRole { kEntry, kSide };

/// One host in the platform's list, which may lag behind the actual state.
struct HostEntry {
  HostId host;
  HostRole role = HostRole::kSide;
  HostState state = HostState::kLive;
  std::string address;
  /// Port for connections between processes of this system; 0 if there is none.
  uint16_t port = 0;
  FailureDomain failure_domain;

  friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

/// The list of live and leaving hosts.
template <class H>
concept HostList = requires(
    H& hosts, std::function<void(Result<std::vector<HostEntry>>)> on_list) {
  hosts.Fetch(on_list);
};

}  // namespace peridotshelf::platform
