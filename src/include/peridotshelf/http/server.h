/// An HTTP server over RESTinio. RESTinio's headers stay in one source file.
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

/// One request as it came.
struct ServerRequest {
  std::string method;
  /// Path without the query string.
  std::string path;
  /// What follows '?', undecoded.
  std::string query;
  /// Path and query exactly as sent.
  std::string target;
  std::vector<Header> headers;
  /// Valid as long as `owner` lives; not copied, since it may be large.
  std::string_view body;
  std::shared_ptr<const void> owner;

  /// The first header of that name, case-insensitively.
  std::optional<std::string_view> FindHeader(std::string_view name) const;
  /// The value of a query parameter, undecoded.
  std::optional<std::string_view> FindQuery(std::string_view name) const;
};

/// Answers one request: either `Reply` once, or `BeginStream`, any number of
/// `Write` and one `EndStream`. Thread-safe; calls after the end are ignored.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Sends a whole answer.
  virtual void Reply(int status, std::vector<Header> headers,
                     std::string body) = 0;
  /// Sends the head of an answer whose length is not known yet.
  virtual void BeginStream(int status, std::vector<Header> headers) = 0;
  /// Sends a part of a streamed answer.
  virtual void Write(std::string data) = 0;
  /// Ends a streamed answer cleanly.
  virtual void EndStream() = 0;
  /// Ends a streamed answer so that the caller sees that it is incomplete.
  virtual void Abort() = 0;
  /// Called at most once, on a server thread, if the caller goes away before
  /// the answer's end; at once if it already has.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;

/// Takes one request; may answer later from any thread.
using Handler = std::function<void(ServerRequest, ResponderPtr)>;

/// Where to listen and what to accept.
struct ServerOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  /// A larger body is cut off unread, with its connection.
  size_t max_body_bytes = size_t{64} * 1024 * 1024;
  /// Time a sender has for one whole request.
  Duration read_timeout = std::chrono::seconds(60);
};

/// Serves HTTP/1.1 on one port until destroyed.
class Server {
 public:
  /// Listens at once, or fails with kInternal naming the address.
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

/// Sends {"error": {...}} with the error's status and Retry-After.
void ReplyError(Responder& responder, const Error& error,
                std::vector<Header> headers = {});

/// The JSON text of `error` as callers see it.
std::string ErrorBody(const Error& error);

}  // namespace peridotshelf::http
