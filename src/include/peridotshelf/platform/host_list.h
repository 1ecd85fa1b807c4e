/// The platform's list of hosts over HTTP. Its wire format is in host_list.cc
/// alone.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/platform/concepts.h"

namespace peridotshelf::platform {

/// A `HostList`. Callbacks run on the HTTP client's thread. Thread-safe.
class HttpHostList {
 public:
  /// `base_url` has no trailing slash; `client` outlives this object.
  HttpHostList(std::string base_url, http::Client& client,
               Duration timeout = std::chrono::seconds(2));

  /// The list as the platform knows it now, or kPlatformUnavailable.
  void Fetch(std::function<void(Result<std::vector<HostEntry>>)> on_list);

 private:
  std::string m_base_url;
  http::Client* m_client;
  Duration m_timeout;
};

static_assert(HostList<HttpHostList>);

}  // namespace peridotshelf::platform
