/// What the system asks of the platform's log service and host list. The wire
/// formats stand in one file each, log_client.cc and host_list.cc.
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

/// What one read of the log brought.
struct LogPage {
  std::vector<LogRecord> records;
  /// The oldest offset that is still kept.
  int64_t first_offset = 0;
  /// The offset that the next record will have.
  int64_t next_offset = 0;
};

/// The append-only log. Calls do not wait: results come by callback.
template <class L>
concept LogClient = requires(L& log, std::string payload, int64_t from,
                             Duration wait,
                             std::function<void(Result<int64_t>)> on_appended,
                             std::function<void(Result<LogPage>)> on_read) {
  // Appends one record; yields its offset. After kPlatformUnavailable whether
  // it was appended is not known.
  log.Append(payload, on_appended);
  // Reads from an offset on; waits up to `wait` when nothing is there yet.
  log.Read(from, wait, on_read);
};

/// Whether the platform counts on a host.
enum class HostState { kLive, kLeaving };

/// What runs on a host.
enum class HostRole { kEntry, kSide };

/// One line of the platform's lagging list.
struct HostEntry {
  HostId host;
  HostRole role = HostRole::kSide;
  HostState state = HostState::kLive;
  std::string address;
  /// Port of the connections between our processes; 0 if there is none.
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
