/// The entry: the process that serves callers' HTTP requests.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "peridotshelf/control/configuration.h"
#include "peridotshelf/control/peer_link.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/platform/concepts.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::entry {

/// Identity, listening address and limits of an entry.
struct EntryOptions {
  HostId host;
  FailureDomain failure_domain;
  std::string address = "127.0.0.1";
  uint16_t http_port = 8080;
  size_t max_body_bytes = size_t{64} * 1024 * 1024;
  /// Time limit for receiving one whole HTTP request.
  Duration read_timeout = std::chrono::seconds(60);
  /// Caller timeout of requests that specify none.
  Duration default_timeout = std::chrono::seconds(60);
  /// The longest caller timeout that a request may specify.
  Duration max_timeout = std::chrono::hours(1);
  wire::ChannelOptions channel;
  /// Exchanges control state with the sides; may be null.
  std::shared_ptr<control::PeerLink> peers;
  /// Returns why there is no control state, for the readiness check; may be
  /// empty.
  std::function<std::string_view()> not_ready_reason;
};

/// Returns the current control state; may be null before the first one.
using ControlSource = std::function<control::ControlStatePtr()>;

/// Serves callers until it is destroyed.
class Entry {
 public:
  static Result<std::unique_ptr<Entry>> Create(io::IoThreads& threads,
                                               const EntryOptions& options,
                                               ControlSource control);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Applies the platform's newest list of hosts.
  void UpdateHosts(std::span<const platform::HostEntry> hosts);
  /// Makes the readiness check fail; requests are still served.
  void StartLeaving();
  /// Returns the number of requests without a final answer.
  size_t CountRunning() const;

 private:
  struct Impl;
  explicit Entry(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::entry
