/// Calls to plain services.
#pragma once

#include <memory>
#include <string>

#include "peridotshelf/base/sharded_map.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/wire/channel.h"
#include "side/attempt_streams.h"
#include "side/idempotency_service.h"

namespace peridotshelf::side {

/// Passes calls to plain backend servers and their answers back; a call with
/// an idempotency key that may not be repeated runs at most once. Thread-safe.
class ServiceCalls : public std::enable_shared_from_this<ServiceCalls> {
 public:
  ServiceCalls(http::Client& client, std::shared_ptr<AttemptStreams> streams,
               std::shared_ptr<IdempotencyService> keeper)
      : m_client(client),
        m_streams(std::move(streams)),
        m_keeper(std::move(keeper)) {}

  /// Makes the call at the backend server with `base_url`.
  void Start(const control::ControlState& state, const std::string& base_url,
             const wire::ChannelPtr& channel, wire::ServiceCall call);
  /// The table has ended the attempt. A call that may not be repeated runs on,
  /// so that its outcome becomes known to repeats of its key.
  void Abandon(const AttemptId& attempt);
  /// Calls that are not answered yet.
  size_t RunningCount() const { return m_running.Size(); }

 private:
  struct Running {
    http::Client::CallId call = 0;
    bool unrepeatable = false;
  };
  void OnAnswer(const AttemptId& attempt, const std::string& once_key,
                const Result<http::ClientResponse>& response);
  void Replay(const AttemptId& attempt, const attempts::StoredAnswer& answer);

  http::Client& m_client;
  std::shared_ptr<AttemptStreams> m_streams;
  std::shared_ptr<IdempotencyService> m_keeper;
  ShardedMap<AttemptId, Running> m_running;
};

}  // namespace peridotshelf::side
