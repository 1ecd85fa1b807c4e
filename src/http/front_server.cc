#include "peridotshelf/http/front_server.h"

#include <http_parser.h>
#include <netinet/tcp.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <unordered_set>
#include <utility>

#include "peridotshelf/events/log.h"

namespace peridotshelf::http {
namespace {

using Tcp = asio::ip::tcp;

constexpr size_t kReadBytes = size_t{8} * 1024;
/// Bytes of a following request that are kept while one is being answered.
constexpr size_t kMaxReadAhead = size_t{64} * 1024;
/// Bytes that may wait for a caller that does not read.
constexpr size_t kMaxUnsent = size_t{8} * 1024 * 1024;
constexpr Duration kSweepInterval = std::chrono::milliseconds(500);
/// How long a peer may leave sent bytes unacknowledged, in ms
/// (TCP_USER_TIMEOUT).
constexpr int kUserTimeoutMs = 8000;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

std::string_view ReasonOf(int status) {
  switch (status) {
#define PERIDOTSHELF_REASON(code, name, text) \
  case code:                                  \
    return #text;
    HTTP_STATUS_MAP(PERIDOTSHELF_REASON)
#undef PERIDOTSHELF_REASON
    default:
      return "Status";
  }
}

bool HasNoBody(int status) {
  return status == 204 || status == 304 || status / 100 == 1;
}

}  // namespace

class FrontConnection;

struct FrontServer::Impl {
  Impl(asio::io_context& io, Handler on_request)
      : context(io), acceptor(io), sweep(io), handler(std::move(on_request)) {}

  asio::io_context& context;
  Tcp::acceptor acceptor;
  asio::steady_timer sweep;
  Handler handler;
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

  void Start() {
    asio::error_code ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUserTimeoutMs, sizeof(kUserTimeoutMs));
    Read();
  }

  /// Ends connections that are idle or slow beyond the limits.
  void CheckTime(TimePoint now) {
    if (m_answering || m_closed) return;
    const CallerLimits& limits = m_server->limits;
    if (m_begun) {
      if (!m_head_complete && now - m_begun_at > limits.header_timeout) {
        Reject(kRequestTimeout, "headers took too long");
      }
      return;
    }
    const bool is_unwanted = m_server->close_idle && m_unparsed.empty();
    if (is_unwanted || now - m_waiting_since > limits.idle_timeout) Close();
  }

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

namespace {

/// Answers one request. All calls come on the server's thread.
class FrontResponder : public Responder {
 public:
  FrontResponder(std::shared_ptr<FrontConnection> connection, bool is_head)
      : m_connection(std::move(connection)), m_is_head(is_head) {}
  ~FrontResponder() override {
    // An answer that is never given must not leave its caller waiting.
    if (!m_ended) Abort();
  }

  void Reply(int status, std::vector<Header> headers,
             std::string body) override {
    if (m_ended || m_streaming) return;
    m_ended = true;
    const bool keep = m_connection->keep_alive();
    std::string bytes = Head(status, headers, keep);
    if (!HasNoBody(status)) {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    bytes += "\r\n";
    if (!m_is_head && !HasNoBody(status)) bytes += body;
    m_connection->Send(std::move(bytes));
    m_connection->FinishAnswer(keep);
  }

  void BeginStream(int status, std::vector<Header> headers) override {
    if (m_ended || m_streaming) return;
    m_streaming = true;
    m_keep = m_connection->keep_alive();
    m_connection->Send(Head(status, headers, m_keep) +
                       "Transfer-Encoding: chunked\r\n\r\n");
  }

  void Write(std::string data) override {
    if (m_ended || !m_streaming || data.empty()) return;
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    m_connection->Send(size + data + "\r\n");
  }

  void EndStream() override {
    if (m_ended || !m_streaming) return;
    m_ended = true;
    m_connection->Send("0\r\n\r\n");
    m_connection->FinishAnswer(m_keep);
  }

  void Abort() override {
    if (m_ended) return;
    m_ended = true;
    // What was written still goes out; the missing end shows that it is cut.
    m_connection->FinishAnswer(/*keep=*/false);
  }

  void OnHangUp(std::function<void()> callback) override {
    if (m_connection->closed() && !m_ended) {
      m_ended = true;
      callback();
      return;
    }
    m_connection->on_hang_up = [this, callback = std::move(callback)] {
      m_ended = true;
      callback();
    };
  }

 private:
  static std::string Head(int status, const std::vector<Header>& headers,
                          bool keep) {
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " ";
    bytes += ReasonOf(status);
    bytes += "\r\n";
    for (const Header& header : headers) {
      bytes += header.name + ": " + header.value + "\r\n";
    }
    if (!keep) bytes += "Connection: close\r\n";
    return bytes;
  }

  std::shared_ptr<FrontConnection> m_connection;
  bool m_is_head;
  bool m_streaming = false;
  bool m_ended = false;
  bool m_keep = true;
};

}  // namespace

void FrontConnection::ResetParser() {
  http_parser_init(&m_parser, HTTP_REQUEST);
  m_parser.data = this;
  m_request = {};
  m_head_bytes = 0;
  m_begun = false;
  m_head_complete = false;
  m_message_complete = false;
}

int FrontConnection::OnBegin(http_parser* parser) {
  FrontConnection& self = Of(parser);
  self.m_begun = true;
  self.m_begun_at = SteadyClock().Now();
  return 0;
}

int FrontConnection::OnUrl(http_parser* parser, const char* at, size_t length) {
  FrontConnection& self = Of(parser);
  self.m_request.target.append(at, length);
  if (!self.TooMuchHead(length)) return 0;
  self.m_refusal = kHeaderTooLarge;
  return 1;
}

int FrontConnection::OnField(http_parser* parser, const char* at,
                             size_t length) {
  FrontConnection& self = Of(parser);
  ParsedRequest& request = self.m_request;
  if (request.headers.empty() || request.in_value) {
    request.headers.emplace_back();
    request.in_value = false;
  }
  request.headers.back().name.append(at, length);
  if (!self.TooMuchHead(length)) return 0;
  self.m_refusal = kHeaderTooLarge;
  return 1;
}

int FrontConnection::OnValue(http_parser* parser, const char* at,
                             size_t length) {
  FrontConnection& self = Of(parser);
  self.m_request.in_value = true;
  self.m_request.headers.back().value.append(at, length);
  if (!self.TooMuchHead(length)) return 0;
  self.m_refusal = kHeaderTooLarge;
  return 1;
}

int FrontConnection::OnHeadersComplete(http_parser* parser) {
  FrontConnection& self = Of(parser);
  self.m_head_complete = true;
  self.m_request.method =
      http_method_str(static_cast<http_method>(parser->method));
  self.m_request.keep_alive = http_should_keep_alive(parser) != 0;
  const bool has_length =
      parser->content_length != std::numeric_limits<uint64_t>::max();
  if (has_length &&
      parser->content_length > self.m_server->limits.max_body_bytes) {
    self.m_refusal = kPayloadTooLarge;
    return -1;
  }
  if (has_length) self.m_request.body.reserve(parser->content_length);
  const auto expect = FindHeader(self.m_request.headers, "Expect");
  if (expect && *expect == "100-continue") {
    self.Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return 0;
}

int FrontConnection::OnBody(http_parser* parser, const char* at,
                            size_t length) {
  FrontConnection& self = Of(parser);
  std::string& body = self.m_request.body;
  if (body.size() + length > self.m_server->limits.max_body_bytes) {
    self.m_refusal = kPayloadTooLarge;
    return 1;
  }
  body.append(at, length);
  return 0;
}

int FrontConnection::OnMessageComplete(http_parser* parser) {
  Of(parser).m_message_complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& FrontConnection::ParserSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = &OnBegin;
    made.on_url = &OnUrl;
    made.on_header_field = &OnField;
    made.on_header_value = &OnValue;
    made.on_headers_complete = &OnHeadersComplete;
    made.on_body = &OnBody;
    made.on_message_complete = &OnMessageComplete;
    return made;
  }();
  return settings;
}

void FrontConnection::Read() {
  if (m_closed || m_reading || m_unparsed.size() > kMaxReadAhead) return;
  m_reading = true;
  m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const asio::error_code& error, size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void FrontConnection::OnRead(const asio::error_code& error, size_t bytes) {
  m_reading = false;
  if (m_closed) return;
  if (error) {
    Close();
    return;
  }
  m_unparsed.append(m_buffer.data(), bytes);
  Parse();
  Read();
}

void FrontConnection::Parse() {
  if (m_answering || m_closed || m_close_when_sent || m_unparsed.empty()) {
    return;
  }
  const size_t parsed = http_parser_execute(
      &m_parser, &ParserSettings(), m_unparsed.data(), m_unparsed.size());
  m_unparsed.erase(0, parsed);
  if (m_message_complete) {
    Dispatch();
    return;
  }
  const auto failure = static_cast<http_errno>(m_parser.http_errno);
  if (m_refusal != 0) {
    Reject(m_refusal, "over the limits");
  } else if (failure == HPE_HEADER_OVERFLOW) {
    Reject(kHeaderTooLarge, "over the parser's limit");
  } else if (failure != HPE_OK || m_parser.upgrade != 0) {
    Reject(kBadRequest, http_errno_description(failure));
  }
}

void FrontConnection::Dispatch() {
  m_answering = true;
  ++m_server->running;
  auto owner = std::make_shared<std::string>(std::move(m_request.body));
  ServerRequest request;
  request.method = m_request.method;
  request.target = std::move(m_request.target);
  const size_t question = request.target.find('?');
  request.path = request.target.substr(0, question);
  if (question != std::string::npos) {
    request.query = request.target.substr(question + 1);
  }
  request.headers = std::move(m_request.headers);
  request.body = *owner;
  request.owner = std::move(owner);
  auto responder = std::make_shared<FrontResponder>(shared_from_this(),
                                                    request.method == "HEAD");
  m_server->handler(std::move(request), std::move(responder));
}

void FrontConnection::Reject(int status, const char* reason) {
  ++m_server->counters.rejected;
  events::Log(events::EventId::kCallerRejected,
              {{"status", status}, {"reason", reason}});
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " ";
  bytes += ReasonOf(status);
  bytes += "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  m_close_when_sent = true;
  Send(std::move(bytes));
}

void FrontConnection::Send(std::string bytes) {
  if (m_closed) return;
  m_unsent_bytes += bytes.size();
  m_unsent.push_back(std::move(bytes));
  if (m_unsent_bytes > kMaxUnsent) {
    Close();
    return;
  }
  WriteNext();
}

void FrontConnection::WriteNext() {
  if (m_closed || m_writing) return;
  if (m_unsent.empty()) {
    if (m_close_when_sent) Close();
    return;
  }
  m_writing = true;
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(m_unsent.size());
  for (const std::string& part : m_unsent)
    buffers.push_back(asio::buffer(part));
  const size_t parts = buffers.size();
  asio::async_write(
      m_socket, buffers,
      [self = shared_from_this(), parts](const asio::error_code& error,
                                         size_t bytes) {
        self->m_writing = false;
        if (error) {
          self->Close();
          return;
        }
        self->m_unsent.erase(
            self->m_unsent.begin(),
            self->m_unsent.begin() + static_cast<std::ptrdiff_t>(parts));
        self->m_unsent_bytes -= bytes;
        self->WriteNext();
      });
}

void FrontConnection::FinishAnswer(bool keep) {
  if (m_answering) --m_server->running;
  m_answering = false;
  on_hang_up = nullptr;
  if (m_closed) return;
  m_waiting_since = SteadyClock().Now();
  if (!keep) {
    m_close_when_sent = true;
    WriteNext();
    return;
  }
  ResetParser();
  // The handler may answer at once, so the next request waits for the loop.
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    self->Parse();
    self->Read();
  });
}

void FrontConnection::Close() {
  if (m_closed) return;
  m_closed = true;
  asio::error_code ignored;
  m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
  --m_server->counters.open;
  if (std::exchange(m_answering, false)) --m_server->running;
  if (auto callback = std::exchange(on_hang_up, nullptr)) callback();
  m_server->connections.erase(shared_from_this());
}

void FrontServer::Impl::Accept(const std::shared_ptr<Impl>& self) {
  self->acceptor.async_accept(
      [self](const asio::error_code& error, Tcp::socket socket) {
        if (self->stopped) return;
        if (!error) {
          ++self->counters.accepted;
          ++self->counters.open;
          auto connection =
              std::make_shared<FrontConnection>(self, std::move(socket));
          self->connections.insert(connection);
          connection->Start();
        }
        Accept(self);
      });
}

void FrontServer::Impl::Sweep(const std::shared_ptr<Impl>& self) {
  self->sweep.expires_after(kSweepInterval);
  self->sweep.async_wait([self](const asio::error_code& error) {
    if (error || self->stopped) return;
    self->CheckConnections();
    Sweep(self);
  });
}

void FrontServer::Impl::CheckConnections() {
  const TimePoint now = SteadyClock().Now();
  // Closing takes a connection out of the set.
  const std::vector<std::shared_ptr<FrontConnection>> open(connections.begin(),
                                                           connections.end());
  for (const auto& connection : open) connection->CheckTime(now);
}

Result<std::unique_ptr<FrontServer>> FrontServer::Create(
    io::IoThreads& threads, const std::string& address, uint16_t port,
    Handler handler) {
  auto impl = std::make_shared<Impl>(threads.context(), std::move(handler));
  asio::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  const Tcp::endpoint endpoint(ip, port);
  if (!error) impl->acceptor.open(endpoint.protocol(), error);
  if (!error)
    impl->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) impl->acceptor.bind(endpoint, error);
  if (!error)
    impl->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Fail(ErrorCode::kInternal, "cannot listen on " + address + ":" +
                                          std::to_string(port) + ": " +
                                          error.message());
  }
  threads.Post([impl] {
    Impl::Accept(impl);
    Impl::Sweep(impl);
  });
  return std::unique_ptr<FrontServer>(new FrontServer(std::move(impl)));
}

FrontServer::FrontServer(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

FrontServer::~FrontServer() { m_impl->stopped = true; }

void FrontServer::SetLimits(const CallerLimits& limits) {
  m_impl->limits = limits;
}

void FrontServer::CloseAfterAnswers() { m_impl->last_answers = true; }

void FrontServer::CloseIdle() {
  m_impl->close_idle = true;
  m_impl->CheckConnections();
}

size_t FrontServer::RunningCount() const { return m_impl->running; }

FrontCounters FrontServer::counters() const { return m_impl->counters; }

}  // namespace peridotshelf::http
