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

/// Forwards calls to plain backend servers and returns their answers. An
/// unrepeatable call with an idempotency key runs at most once. Thread-safe.
class ServiceCalls : public std::enable_shared_from_this<ServiceCalls> {
 public:
  ServiceCalls(http::Client& client, std::shared_ptr<AttemptStreams> streams,
               std::shared_ptr<IdempotencyService> idempotency)
      : m_client(client),
        m_streams(std::move(streams)),
        m_idempotency(std::move(idempotency)) {}

  /// Sends the call to the backend server at `base_url`.
  void Start(const control::ControlState& state, const std::string& base_url,
             const wire::ChannelPtr& channel, wire::ServiceCall call);
  /// Cancels the call of an attempt that has ended in the execution table. An
  /// unrepeatable call continues, so that retried calls with its key get its
  /// outcome.
  void Abandon(const AttemptId& attempt);
  /// Number of calls without an answer yet.
  size_t CountRunning() const { return m_running.Size(); }

 private:
  struct RunningCall {
    http::Client::CallId call = 0;
    bool unrepeatable = false;
  };
  void OnAnswer(const AttemptId& attempt, const std::string& scoped_key,
                const Result<http::ClientResponse>& response);
  void Replay(const AttemptId& attempt, const attempts::StoredAnswer& answer);

  http::Client& m_client;
  std::shared_ptr<AttemptStreams> m_streams;
  std::shared_ptr<IdempotencyService> m_idempotency;
  ShardedMap<AttemptId, RunningCall> m_running;
};

}  // namespace peridotshelf::side
