/// An asynchronous HTTP client over libcurl's multi interface.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"

namespace peridotshelf::http {

/// A header as "Name: value" pairs.
struct Header {
  std::string name;
  std::string value;
};

/// One call to be made.
struct ClientRequest {
  std::string method = "GET";
  std::string url;
  std::vector<Header> headers;
  std::string body;
  /// Sent in place of `body` if set, so that several calls share one copy.
  std::shared_ptr<const std::string> shared_body;
  /// The request's target as it goes on the wire; empty takes it from `url`.
  std::string target;
  /// Sends `headers` and no header that the library would add by itself, other
  /// than the body's length.
  bool exact_headers = false;
  /// Time for the whole call; zero for no limit.
  Duration timeout{};
  /// Time to establish the connection.
  Duration connect_timeout = std::chrono::seconds(1);
  /// The call fails when no byte comes for this long; zero for no limit.
  Duration idle_timeout{};
  /// Uses no kept connection. On one that turns out to be closed, the library
  /// may send the request twice. The connection is closed after the call.
  bool fresh_connection = false;
};

/// What the answer began with.
struct ClientResponseHead {
  int status = 0;
  std::string content_type;
  /// The entity tag, if the server gave one.
  std::string etag;
  /// All headers in order, of the final answer only.
  std::vector<Header> headers;

  /// The first header of that name, case-insensitively.
  std::optional<std::string_view> FindHeader(std::string_view name) const;
};

/// The first header of that name, case-insensitively.
std::optional<std::string_view> FindHeader(std::span<const Header> headers,
                                           std::string_view name);

/// Called on the client's own thread, in order: at most one `on_head`, then
/// `on_data` as bytes come, then one `on_done`. None may block.
struct ClientCallbacks {
  std::function<void(const ClientResponseHead&)> on_head;
  std::function<void(std::string_view)> on_data;
  /// The status, or kConnectionLost / kOutOfTime. `not_run` is true when no
  /// connection was made, so the server cannot have seen the call.
  std::function<void(const Result<int>&)> on_done;
};

/// A whole answer.
struct ClientResponse {
  int status = 0;
  std::string content_type;
  std::string etag;
  std::string body;
};

/// Makes any number of calls at once on one thread of its own.
class Client {
 public:
  using CallId = uint64_t;

  Client();
  /// Abandons all calls; their `on_done` is not called.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts a call. Thread-safe.
  CallId Start(ClientRequest request, ClientCallbacks callbacks);
  /// Closes a call's connection; `on_done` is not called afterwards, except
  /// when it is already running. Thread-safe.
  void Cancel(CallId call);
  /// Starts a call whose answer is collected whole.
  CallId Fetch(ClientRequest request,
               std::function<void(Result<ClientResponse>)> on_done);
  /// Like `Fetch`, but waits. Not for use in callbacks.
  Result<ClientResponse> FetchAndWait(ClientRequest request);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::http
