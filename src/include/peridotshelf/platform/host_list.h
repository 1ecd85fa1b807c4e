/// The platform's list of hosts over HTTP. Its wire format is in host_list.cc
/// alone.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/platform/concepts.h"

namespace peridotshelf::platform {

/// A `HostList`. Callbacks run on the HTTP client's thread. Thread-safe.
///
/// The list has a line for each host of the fleet, so it is asked for with the
/// entity tag of the last answer and comes whole only when it has changed.
class HttpHostList {
 public:
  /// `base_url` has no trailing slash; `client` outlives this object.
  HttpHostList(std::string base_url, http::Client& client,
               Duration timeout = std::chrono::seconds(2));

  /// The list as the platform knows it now, or kPlatformUnavailable.
  void Fetch(std::function<void(Result<std::vector<HostEntry>>)> on_list);

  /// How long to wait before the next call, so that lists which come whole
  /// each time still take no more than a fixed rate of bytes.
  Duration NextDelay() const;

 private:
  /// What the last whole answer was; shared with calls on their way.
  struct Cache;

  std::string m_base_url;
  http::Client* m_client;
  Duration m_timeout;
  std::shared_ptr<Cache> m_cache;
};

static_assert(HostList<HttpHostList>);

}  // namespace peridotshelf::platform
