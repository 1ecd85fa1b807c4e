/// Client for the platform's host list over HTTP. Only host_list.cc knows the
/// wire format.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/platform/concepts.h"

namespace peridotshelf::platform {

/// Implements `HostList`. Callbacks run on the HTTP client's thread.
/// Thread-safe.
///
/// The list has an entry for each host of the fleet. Requests therefore carry
/// the entity tag of the last response, and the list is sent only when it has
/// changed.
class HttpHostList {
 public:
  /// `base_url` has no trailing slash; `client` must outlive this object.
  HttpHostList(std::string base_url, http::Client& client,
               Duration timeout = std::chrono::seconds(2));

  /// Fetches the current list, or fails with kPlatformUnavailable.
  void Fetch(std::function<void(Result<std::vector<HostEntry>>)> on_list);

  /// Returns the delay before the next call, which keeps the transfer rate of
  /// lists within a fixed limit even if the full list is sent each time.
  Duration NextDelay() const;

 private:
  /// The last full response; shared with calls in progress.
  struct Cache;

  std::string m_base_url;
  http::Client* m_client;
  Duration m_timeout;
  std::shared_ptr<Cache> m_cache;
};

static_assert(HostList<HttpHostList>);

}  // namespace peridotshelf::platform
