/// One caller's connection to a front server.
#pragma once

#include <http_parser.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "header_text.h"
#include "peridotshelf/http/front_server.h"

namespace peridotshelf::http {

using Tcp = asio::ip::tcp;

class FrontConnection;

/// Returns the standard reason phrase of a status.
std::string_view FindReasonPhrase(int status);

struct FrontServer::Impl {
  Impl(asio::io_context& io, Handler on_request)
      : context(io), acceptor(io), sweep(io), handler(std::move(on_request)) {}

  asio::io_context& context;
  Tcp::acceptor acceptor;
  asio::steady_timer sweep;
  Handler handler;
  /// Creates the responder of a request; the second argument is true for HEAD.
  std::function<ResponderPtr(std::shared_ptr<FrontConnection>, bool)>
      make_responder;
  CallerLimits limits;
  bool close_after_answers = false;
  bool close_idle = false;
  /// Accepts no connections and reads no further requests.
  bool shutting_down = false;
  bool stopped = false;
  FrontCounters counters;
  size_t running_count = 0;
  std::unordered_set<std::shared_ptr<FrontConnection>> connections;

  /// Returns the open connections; closing one removes it from the set.
  std::vector<std::shared_ptr<FrontConnection>> CopyConnections() const;
  /// Calls CheckTimeouts on all connections.
  void CheckConnections();
  static void Accept(const std::shared_ptr<Impl>& self);
  /// Accepts the connections that wait in the listen queue.
  static void AcceptWaiting(const std::shared_ptr<Impl>& self);
  static void Add(const std::shared_ptr<Impl>& self, Tcp::socket socket);
  static void Sweep(const std::shared_ptr<Impl>& self);
};

/// A request while it is being parsed.
struct ParsedRequest {
  std::string target;
  std::vector<Header> headers;
  std::string body;
  std::string method;
  bool keep_alive = true;
  bool is_in_value = false;
};

/// Checks that bytes move on: progress are `kStepBytes`, or all that remain, in
/// the time allowed. A byte now and then is none.
class ProgressWatch {
 public:
  static constexpr size_t kStepBytes = size_t{16} * 1024;

  void Restart(TimePoint now) {
    m_since = now;
    m_bytes = 0;
  }
  void Add(size_t bytes, TimePoint now) {
    m_bytes += bytes;
    if (m_bytes >= kStepBytes) Restart(now);
  }
  bool HasStalled(TimePoint now, Duration allowed) const {
    return now - m_since > allowed;
  }

 private:
  TimePoint m_since{};
  size_t m_bytes = 0;
};

/// One caller's connection: reads a request, waits until it is answered, then
/// reads the next one.
class FrontConnection : public std::enable_shared_from_this<FrontConnection> {
 public:
  FrontConnection(std::shared_ptr<FrontServer::Impl> server, Tcp::socket socket)
      : m_server(std::move(server)),
        m_socket(std::move(socket)),
        m_idle_since(SteadyClock().Now()) {
    ResetParser();
  }

  /// Starts to read.
  void Start();
  /// Closes an idle connection and one whose caller does not read, and rejects
  /// a slow request.
  void CheckTimeouts(TimePoint now);
  /// Rejects a request that was read in part, since the process ends.
  void RejectUnfinished();

  void Close();
  bool closed() const { return m_closed; }
  bool keep_alive() const {
    return m_request.keep_alive && !m_server->close_after_answers;
  }
  void Send(std::string bytes);
  /// Completes the response to the current request; closes the connection
  /// unless `keep_open` is true.
  void FinishAnswer(bool keep_open);
  /// Called once if the caller disconnects before the end of the response.
  std::function<void()> on_disconnect;

 private:
  void ResetParser();
  void Read();
  void OnRead(const asio::error_code& error, size_t bytes);
  void Parse();
  void Dispatch();
  void Reject(int status, const char* reason);
  void WriteNext();
  void OnWritten(size_t bytes);
  /// Ends the answer and discards what the caller still sends, for at most
  /// `kLingerTime`: closing a socket with unread bytes resets the connection,
  /// and the caller may lose the answer.
  void Linger();
  /// Returns whether the connection has no request and nothing to send.
  bool IsIdle() const;
  bool HasUnreadBytes() const;
  /// Adds `more` bytes to the size of the head; returns whether it exceeds the
  /// limit.
  bool ExceedsHeadLimit(size_t more) {
    m_head_bytes += more;
    return m_head_bytes > m_server->limits.max_header_bytes;
  }

  static FrontConnection& FromParser(http_parser* parser) {
    return *static_cast<FrontConnection*>(parser->data);
  }
  static int OnBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* at, size_t length);
  static int OnField(http_parser* parser, const char* at, size_t length);
  static int OnValue(http_parser* parser, const char* at, size_t length);
  /// Trailers count toward the size of the head and are not kept: they are no
  /// headers.
  int OnTrailer(size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t length);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings& ParserSettings();

  std::shared_ptr<FrontServer::Impl> m_server;
  Tcp::socket m_socket;
  http_parser m_parser{};
  ParsedRequest m_request;
  HeadScanner m_head_scanner;
  std::string m_unparsed;
  static constexpr size_t kReadBytes = size_t{8} * 1024;
  std::array<char, kReadBytes> m_buffer{};
  std::deque<std::string> m_unsent;
  size_t m_unsent_bytes = 0;
  /// Bytes of the first unsent part that were sent.
  size_t m_sent_of_front = 0;
  size_t m_head_bytes = 0;
  int m_rejection_status = 0;
  TimePoint m_idle_since;
  TimePoint m_request_begun_at{};
  TimePoint m_linger_until{};
  ProgressWatch m_body_progress;
  ProgressWatch m_send_progress;
  bool m_request_begun = false;
  bool m_head_complete = false;
  bool m_message_complete = false;
  bool m_answering = false;
  bool m_reading = false;
  bool m_writing = false;
  bool m_close_when_sent = false;
  bool m_lingering = false;
  bool m_had_request = false;
  bool m_closed = false;
};

}  // namespace peridotshelf::http
