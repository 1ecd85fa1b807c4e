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

#include "peridotshelf/http/front_server.h"

namespace peridotshelf::http {

using Tcp = asio::ip::tcp;

class FrontConnection;

/// The standard reason phrase of a status.
std::string_view ReasonOf(int status);

struct FrontServer::Impl {
  Impl(asio::io_context& io, Handler on_request)
      : context(io), acceptor(io), sweep(io), handler(std::move(on_request)) {}

  asio::io_context& context;
  Tcp::acceptor acceptor;
  asio::steady_timer sweep;
  Handler handler;
  /// Makes the answer of one request; the second argument is for HEAD.
  std::function<ResponderPtr(std::shared_ptr<FrontConnection>, bool)>
      make_responder;
  CallerLimits limits;
  bool last_answers = false;
  bool close_idle = false;
  bool stopped = false;
  FrontCounters counters;
  size_t running = 0;
  std::unordered_set<std::shared_ptr<FrontConnection>> connections;

  /// Ends connections that are idle or slow beyond the limits.
  void CheckConnections();
  static void Accept(const std::shared_ptr<Impl>& self);
  static void Sweep(const std::shared_ptr<Impl>& self);
};

/// One request as the parser fills it.
struct ParsedRequest {
  std::string target;
  std::vector<Header> headers;
  std::string body;
  std::string method;
  bool keep_alive = true;
  bool in_value = false;
};

/// One caller's connection: reads a request, waits for its answer, reads on.
class FrontConnection : public std::enable_shared_from_this<FrontConnection> {
 public:
  FrontConnection(std::shared_ptr<FrontServer::Impl> server, Tcp::socket socket)
      : m_server(std::move(server)),
        m_socket(std::move(socket)),
        m_waiting_since(SteadyClock().Now()) {
    ResetParser();
  }

  /// Begins to read.
  void Start();
  /// Ends connections that are idle or slow beyond the limits.
  void CheckTime(TimePoint now);

  void Close();
  bool closed() const { return m_closed; }
  bool keep_alive() const {
    return m_request.keep_alive && !m_server->last_answers;
  }
  void Send(std::string bytes);
  /// The answer of the present request is complete.
  void FinishAnswer(bool keep);
  /// Called once if the caller goes away before the answer's end.
  std::function<void()> on_hang_up;

 private:
  void ResetParser();
  void Read();
  void OnRead(const asio::error_code& error, size_t bytes);
  void Parse();
  void Dispatch();
  void Reject(int status, const char* reason);
  void WriteNext();
  bool TooMuchHead(size_t more) {
    m_head_bytes += more;
    return m_head_bytes > m_server->limits.max_header_bytes;
  }

  static FrontConnection& Of(http_parser* parser) {
    return *static_cast<FrontConnection*>(parser->data);
  }
  static int OnBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* at, size_t length);
  static int OnField(http_parser* parser, const char* at, size_t length);
  static int OnValue(http_parser* parser, const char* at, size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t length);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings& ParserSettings();

  std::shared_ptr<FrontServer::Impl> m_server;
  Tcp::socket m_socket;
  http_parser m_parser{};
  ParsedRequest m_request;
  std::string m_unparsed;
  static constexpr size_t kReadBytes = size_t{8} * 1024;
  std::array<char, kReadBytes> m_buffer{};
  std::deque<std::string> m_unsent;
  size_t m_unsent_bytes = 0;
  size_t m_head_bytes = 0;
  int m_refusal = 0;
  TimePoint m_waiting_since;
  TimePoint m_begun_at{};
  bool m_begun = false;
  bool m_head_complete = false;
  bool m_message_complete = false;
  bool m_answering = false;
  bool m_reading = false;
  bool m_writing = false;
  bool m_close_when_sent = false;
  bool m_closed = false;
};

}  // namespace peridotshelf::http
