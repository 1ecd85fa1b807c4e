/// Calls to plain services.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "peridotshelf/http/client.h"
#include "peridotshelf/wire/channel.h"

namespace peridotshelf::side {

/// Passes calls to plain backend servers and their answers back. Thread-safe.
class ServiceCalls : public std::enable_shared_from_this<ServiceCalls> {
 public:
  explicit ServiceCalls(http::Client& client) : m_client(client) {}
  /// Makes the call at the backend server with `base_url`.
  void Start(const std::string& base_url, const wire::ChannelPtr& channel,
             wire::ServiceCall call);
  /// Calls that are not answered yet.
  size_t RunningCount() const { return m_running; }

 private:
  http::Client& m_client;
  std::atomic<size_t> m_running{0};
};

}  // namespace peridotshelf::side
