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

/// An HTTP header field.
struct Header {
  std::string name;
  std::string value;
};

/// Largest body that the client collects unless the request states a limit.
inline constexpr size_t kMaxFetchedBytes = size_t{64} * 1024 * 1024;

/// A request to be sent.
struct ClientRequest {
  std::string method = "GET";
  std::string url;
  std::vector<Header> headers;
  std::string body;
  /// Sent instead of `body` if set; lets several calls share one copy.
  std::shared_ptr<const std::string> shared_body;
  /// Sends the length of the body even if it is empty. Requests whose method
  /// defines a meaning for a body always state its length.
  bool has_body = false;
  /// Request target to send; if empty, it is taken from `url`.
  std::string target;
  /// Sends only `headers` and the body's length, without libcurl's default
  /// headers.
  bool exact_headers = false;
  /// Timeout of the whole call; zero for no limit.
  Duration timeout{};
  /// Timeout for establishing the connection.
  Duration connect_timeout = std::chrono::seconds(1);
  /// The call fails after this long without a byte transferred; zero for no
  /// limit.
  Duration idle_timeout{};
  /// The call fails with `kProtocol` if the head of the response, with all
  /// informational responses and trailers, is larger.
  size_t max_head_bytes = size_t{16} * 1024;
  /// The call fails with `kProtocol` if the body is larger; 0 for no limit, or
  /// for `kMaxFetchedBytes` where the client collects the body.
  size_t max_body_bytes = 0;
  /// The response pauses while this many bytes were passed to `on_data` and not
  /// yet to `Client::Consume`; 0 for no limit.
  size_t max_unread_bytes = 0;
  /// Opens a new connection and closes it after the call. On a reused
  /// connection that turns out to be closed, libcurl may send the request
  /// twice.
  bool fresh_connection = false;
};

/// The connection on which a response arrived.
struct ClientConnection {
  uint16_t local_port = 0;
  /// It was open before the request.
  bool is_reused = false;
};

/// Status and headers of a response.
struct ClientResponseHead {
  int status = 0;
  std::string content_type;
  /// The entity tag, if the server sent one.
  std::string etag;
  ClientConnection connection;
  /// All headers of the final response, in order.
  std::vector<Header> headers;

  /// Returns the first header with that name, compared case-insensitively.
  std::optional<std::string_view> FindHeader(std::string_view name) const;
};

/// Returns the first header with that name, compared case-insensitively.
std::optional<std::string_view> FindHeader(std::span<const Header> headers,
                                           std::string_view name);

/// Called on the client's thread, in this order: at most one `on_head`,
/// `on_data` as bytes arrive, then one `on_done`. None may block.
struct ClientCallbacks {
  std::function<void(const ClientResponseHead&)> on_head;
  std::function<void(std::string_view)> on_data;
  /// Receives the status, or kConnectionLost or kDeadlineExceeded. `not_run` is
  /// true if no byte of the request was sent, so that the server cannot have
  /// received it.
  std::function<void(const Result<int>&)> on_done;
};

/// A complete response.
struct ClientResponse {
  int status = 0;
  std::string content_type;
  ClientConnection connection;
  std::string etag;
  std::vector<Header> headers;
  std::string body;

  /// Returns the first header with that name, compared case-insensitively.
  std::optional<std::string_view> FindHeader(std::string_view name) const;
};

/// Makes any number of concurrent calls on a dedicated thread.
class Client {
 public:
  using CallId = uint64_t;

  Client();
  /// Abandons all calls without calling their `on_done`.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts a call. Thread-safe.
  CallId Start(ClientRequest request, ClientCallbacks callbacks);
  /// Closes a call's connection; `on_done` is not called afterwards, unless it
  /// is already running. Thread-safe.
  void Cancel(CallId call);
  /// Tells that `bytes` of the response were processed. Only for calls with
  /// `max_unread_bytes`. Thread-safe; ignored once the call has ended.
  void Consume(CallId call, size_t bytes);
  /// Starts a call and collects the complete response.
  CallId Fetch(ClientRequest request,
               std::function<void(Result<ClientResponse>)> on_done);
  /// Like `Fetch`, but waits for the result. Must not be called in callbacks.
  Result<ClientResponse> FetchAndWait(ClientRequest request);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::http
