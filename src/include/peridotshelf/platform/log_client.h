/// Client for the platform's log over HTTP. Only log_client.cc knows the wire
/// format.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/platform/concepts.h"

namespace peridotshelf::platform {

/// Timing of calls to the log.
struct LogClientOptions {
  /// An append without a response after this time has an unknown outcome.
  Duration append_timeout = std::chrono::seconds(2);
  /// Added to a read's wait, to distinguish a slow response from a dead
  /// connection.
  Duration read_grace = std::chrono::milliseconds(700);
};

/// Implements `LogClient`. Callbacks run on the HTTP client's thread.
/// Thread-safe.
class HttpLogClient {
 public:
  /// `base_url` has no trailing slash; `client` must outlive this object.
  HttpLogClient(std::string base_url, http::Client& client,
                LogClientOptions options = {});

  /// Appends `payload` and returns its offset. The error's `not_run` is true
  /// only if the record cannot have been appended.
  void Append(std::string payload,
              std::function<void(Result<int64_t>)> on_appended);
  /// Reads from offset `from`; the log delays the response for up to `wait`
  /// while it has no record.
  void Read(int64_t from, Duration wait,
            std::function<void(Result<LogPage>)> on_read);

 private:
  std::string m_base_url;
  http::Client* m_client;
  LogClientOptions m_options;
};

static_assert(LogClient<HttpLogClient>);

}  // namespace peridotshelf::platform
