/// An HTTP server based on RESTinio, whose headers only server.cc includes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::http {

/// A received request.
struct ServerRequest {
  std::string method;
  /// Path without the query string.
  std::string path;
  /// The part after '?', not decoded.
  std::string query;
  /// Path and query exactly as sent.
  std::string target;
  std::vector<Header> headers;
  /// The head announces a body, which may be empty. Set by `FrontServer` only.
  bool has_body = false;
  /// Valid as long as `owner` exists; not copied, since it may be large.
  std::string_view body;
  std::shared_ptr<const void> owner;

  /// Returns the first header with that name, compared case-insensitively.
  std::optional<std::string_view> FindHeader(std::string_view name) const;
  /// Returns the value of a query parameter, not decoded.
  std::optional<std::string_view> FindQuery(std::string_view name) const;
};

/// Answers one request with either one `Reply`, or `BeginStream`, any number of
/// `Write` and one `EndStream`. Thread-safe; calls after the end are ignored.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Sends a complete response.
  virtual void Reply(int status, std::vector<Header> headers,
                     std::string body) = 0;
  /// Sends the head of a response whose length is not known yet.
  virtual void BeginStream(int status, std::vector<Header> headers) = 0;
  /// Sends a part of a streamed response.
  virtual void Write(std::string data) = 0;
  /// Completes a streamed response.
  virtual void EndStream() = 0;
  /// Ends a streamed response so that the caller detects that it is incomplete.
  virtual void Abort() = 0;
  /// Calls `callback` at most once, on a server thread, if the caller
  /// disconnects before the end of the response; at once if it already has.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;

/// Handles one request; may answer later from any thread.
using Handler = std::function<void(ServerRequest, ResponderPtr)>;

/// Listening address and limits of a server.
struct ServerOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// A larger body is not read, and its connection is closed.
  size_t max_body_bytes = size_t{64} * 1024 * 1024;
  /// Timeout for receiving one complete request.
  Duration read_timeout = std::chrono::seconds(60);
};

/// Serves HTTP/1.1 on one port until destroyed.
class Server {
 public:
  /// Starts to listen, or fails with kInternal, whose detail names the address.
  static Result<std::unique_ptr<Server>> Create(io::IoThreads& threads,
                                                const ServerOptions& options,
                                                Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  struct Impl;
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

/// Sends the JSON object {"error": {...}} with the error's HTTP status and
/// Retry-After.
void ReplyError(Responder& responder, const Error& error,
                std::vector<Header> headers = {});

/// Returns the JSON text that callers receive for `error`.
std::string FormatErrorBody(const Error& error);

}  // namespace peridotshelf::http
