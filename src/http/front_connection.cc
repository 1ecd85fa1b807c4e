#include "front_connection.h"

#include <netinet/tcp.h>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <limits>

#include "peridotshelf/events/guard.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::http {
namespace {

/// Bytes of further requests that are buffered while a request is answered.
constexpr size_t kMaxReadAhead = size_t{64} * 1024;
/// The connection is closed if more than this many bytes are unsent, because
/// the caller does not read.
constexpr size_t kMaxUnsent = size_t{8} * 1024 * 1024;
/// TCP_USER_TIMEOUT: how long sent data may stay unacknowledged, in ms.
constexpr int kUserTimeoutMs = 8000;
/// How long bytes that a caller sends after its answer are discarded.
constexpr Duration kLingerTime = std::chrono::seconds(1);
/// In a planned stop, how long a new connection may wait for its request: its
/// caller sends it at once, and has had no answer on it yet.
constexpr Duration kNewConnectionTime = std::chrono::seconds(1);

}  // namespace

std::string_view FindReasonPhrase(int status) {
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

void FrontConnection::Start() {
  asio::error_code ignored;
  m_socket.set_option(Tcp::no_delay(true), ignored);
  setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kUserTimeoutMs, sizeof(kUserTimeoutMs));
  Read();
}

void FrontConnection::CheckTimeouts(TimePoint now) {
  if (m_closed) return;
  const CallerLimits& limits = m_server->limits;
  if (!m_unsent.empty()) {
    if (m_send_progress.HasStalled(now, limits.send_timeout)) Close();
    return;
  }
  if (m_lingering) {
    if (now > m_linger_until) Close();
    return;
  }
  if (m_answering) return;
  if (m_request_begun) {
    if (!m_head_complete && now - m_request_begun_at > limits.header_timeout) {
      Reject(kRequestTimeout, "timeout while reading the headers");
    } else if (m_head_complete &&
               m_body_progress.HasStalled(now, limits.body_timeout)) {
      Reject(kRequestTimeout, "timeout while reading the body");
    }
    return;
  }
  if (!IsIdle()) return;
  const bool should_close_idle =
      m_server->close_idle &&
      (m_had_request || now - m_idle_since > kNewConnectionTime) &&
      !HasUnreadBytes();
  if (should_close_idle || now - m_idle_since > limits.idle_timeout) Close();
}

bool FrontConnection::IsIdle() const {
  return !m_answering && !m_request_begun && m_unparsed.empty() &&
         m_unsent.empty() && !m_close_when_sent;
}

bool FrontConnection::HasUnreadBytes() const {
  asio::error_code error;
  return m_socket.available(error) > 0;
}

void FrontConnection::RejectUnfinished() {
  if (m_answering || m_closed || m_close_when_sent || !m_request_begun) return;
  Reject(kUnavailable, "the process ends");
}

void FrontConnection::ResetParser() {
  http_parser_init(&m_parser, HTTP_REQUEST);
  m_parser.data = this;
  m_request = {};
  m_head_scanner = {};
  m_head_bytes = 0;
  m_request_begun = false;
  m_head_complete = false;
  m_message_complete = false;
}

int FrontConnection::OnBegin(http_parser* parser) {
  FrontConnection& self = FromParser(parser);
  self.m_request_begun = true;
  self.m_request_begun_at = SteadyClock().Now();
  return 0;
}

int FrontConnection::OnUrl(http_parser* parser, const char* at, size_t length) {
  FrontConnection& self = FromParser(parser);
  self.m_request.target.append(at, length);
  if (!self.ExceedsHeadLimit(length)) return 0;
  self.m_rejection_status = kHeaderTooLarge;
  return 1;
}

int FrontConnection::OnField(http_parser* parser, const char* at,
                             size_t length) {
  FrontConnection& self = FromParser(parser);
  ParsedRequest& request = self.m_request;
  if (self.m_head_complete) return self.OnTrailer(length);
  if (request.headers.empty() || request.is_in_value) {
    request.headers.emplace_back();
    request.is_in_value = false;
  }
  request.headers.back().name.append(at, length);
  if (!self.ExceedsHeadLimit(length)) return 0;
  self.m_rejection_status = kHeaderTooLarge;
  return 1;
}

int FrontConnection::OnValue(http_parser* parser, const char* at,
                             size_t length) {
  FrontConnection& self = FromParser(parser);
  if (self.m_head_complete) return self.OnTrailer(length);
  self.m_request.is_in_value = true;
  self.m_request.headers.back().value.append(at, length);
  if (!self.ExceedsHeadLimit(length)) return 0;
  self.m_rejection_status = kHeaderTooLarge;
  return 1;
}

int FrontConnection::OnTrailer(size_t length) {
  if (!ExceedsHeadLimit(length)) return 0;
  m_rejection_status = kHeaderTooLarge;
  return 1;
}

int FrontConnection::OnHeadersComplete(http_parser* parser) {
  FrontConnection& self = FromParser(parser);
  self.m_head_complete = true;
  self.m_body_progress.Restart(SteadyClock().Now());
  self.m_request.method =
      http_method_str(static_cast<http_method>(parser->method));
  self.m_request.keep_alive = http_should_keep_alive(parser) != 0;
  const bool has_length =
      parser->content_length != std::numeric_limits<uint64_t>::max();
  if (has_length &&
      parser->content_length > self.m_server->limits.max_body_bytes) {
    self.m_rejection_status = kPayloadTooLarge;
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
  FrontConnection& self = FromParser(parser);
  std::string& body = self.m_request.body;
  if (body.size() + length > self.m_server->limits.max_body_bytes) {
    self.m_rejection_status = kPayloadTooLarge;
    return 1;
  }
  body.append(at, length);
  self.m_body_progress.Add(length, SteadyClock().Now());
  return 0;
}

int FrontConnection::OnMessageComplete(http_parser* parser) {
  FromParser(parser).m_message_complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& FrontConnection::ParserSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = &OnBegin;
    callbacks.on_url = &OnUrl;
    callbacks.on_header_field = &OnField;
    callbacks.on_header_value = &OnValue;
    callbacks.on_headers_complete = &OnHeadersComplete;
    callbacks.on_body = &OnBody;
    callbacks.on_message_complete = &OnMessageComplete;
    return callbacks;
  }();
  return settings;
}

void FrontConnection::Read() {
  if (m_closed || m_reading || m_unparsed.size() > kMaxReadAhead) return;
  m_reading = true;
  m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const asio::error_code& error, size_t bytes) {
        if (!events::RunGuarded("front_connection",
                                [&] { self->OnRead(error, bytes); })) {
          self->Close();
        }
      });
}

void FrontConnection::OnRead(const asio::error_code& error, size_t bytes) {
  m_reading = false;
  if (m_closed) return;
  if (error) {
    Close();
    return;
  }
  // What follows a rejected request is not read as another one.
  if (!m_close_when_sent) m_unparsed.append(m_buffer.data(), bytes);
  Parse();
  Read();
}

void FrontConnection::Parse() {
  if (m_answering || m_closed || m_close_when_sent || m_unparsed.empty()) {
    return;
  }
  const size_t parsed = http_parser_execute(
      &m_parser, &ParserSettings(), m_unparsed.data(), m_unparsed.size());
  m_head_scanner.Feed({m_unparsed.data(), parsed});
  m_unparsed.erase(0, parsed);
  if (m_message_complete) {
    const char* reason = FindMalformed(m_parser.http_major, m_head_scanner,
                                       m_request.target, m_request.headers);
    if (reason == nullptr) {
      Dispatch();
    } else {
      Reject(kBadRequest, reason);
    }
    return;
  }
  const auto failure = static_cast<http_errno>(m_parser.http_errno);
  if (m_rejection_status != 0) {
    Reject(m_rejection_status, "request exceeds the configured limits");
  } else if (failure == HPE_HEADER_OVERFLOW) {
    Reject(kHeaderTooLarge, "headers exceed the parser's limit");
  } else if (failure != HPE_OK || m_parser.upgrade != 0) {
    Reject(kBadRequest, http_errno_description(failure));
  }
}

void FrontConnection::Dispatch() {
  m_answering = true;
  m_had_request = true;
  ++m_server->running_count;
  auto owner = std::make_shared<std::string>(std::move(m_request.body));
  ServerRequest request;
  request.method = m_request.method;
  request.target = std::move(m_request.target);
  const size_t question = request.target.find('?');
  request.path = request.target.substr(0, question);
  if (question != std::string::npos) {
    request.query = request.target.substr(question + 1);
  }
  TrimValues(m_request.headers);
  request.headers = std::move(m_request.headers);
  request.body = *owner;
  request.owner = std::move(owner);
  ResponderPtr responder =
      m_server->make_responder(shared_from_this(), request.method == "HEAD");
  const bool is_handled = events::RunGuarded("front_handler", [&] {
    m_server->handler(std::move(request), responder);
  });
  if (is_handled) return;
  responder->Reply(kServerError, {}, "");
  responder->Abort();
}

void FrontConnection::Reject(int status, const char* reason) {
  ++m_server->counters.rejected;
  events::Log(events::EventId::kCallerRejected,
              {{"status", status}, {"reason", reason}});
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " ";
  bytes += FindReasonPhrase(status);
  bytes += "\r\n";
  if (status == kUnavailable) bytes += "Retry-After: 1\r\n";
  bytes += "Content-Length: 0\r\nConnection: close\r\n\r\n";
  m_close_when_sent = true;
  m_unparsed.clear();
  Send(std::move(bytes));
}

void FrontConnection::Send(std::string bytes) {
  if (m_closed) return;
  if (m_unsent.empty()) m_send_progress.Restart(SteadyClock().Now());
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
    if (m_close_when_sent) Linger();
    return;
  }
  m_writing = true;
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(m_unsent.size());
  for (const std::string& part : m_unsent)
    buffers.push_back(asio::buffer(part));
  buffers.front() += m_sent_of_front;
  m_socket.async_write_some(
      buffers,
      [self = shared_from_this()](const asio::error_code& error, size_t bytes) {
        self->m_writing = false;
        if (error) {
          self->Close();
          return;
        }
        self->OnWritten(bytes);
        self->WriteNext();
      });
}

void FrontConnection::OnWritten(size_t bytes) {
  const TimePoint now = SteadyClock().Now();
  m_unsent_bytes -= bytes;
  m_send_progress.Add(bytes, now);
  m_sent_of_front += bytes;
  while (!m_unsent.empty() && m_sent_of_front >= m_unsent.front().size()) {
    m_sent_of_front -= m_unsent.front().size();
    m_unsent.pop_front();
  }
  if (m_unsent.empty()) m_idle_since = now;
}

void FrontConnection::Linger() {
  if (std::exchange(m_lingering, true)) return;
  m_linger_until = SteadyClock().Now() + kLingerTime;
  asio::error_code ignored;
  m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
  m_unparsed.clear();
  Read();
}

void FrontConnection::FinishAnswer(bool keep_open) {
  if (m_answering) --m_server->running_count;
  m_answering = false;
  on_disconnect = nullptr;
  if (m_closed) return;
  m_idle_since = SteadyClock().Now();
  if (!keep_open) {
    m_close_when_sent = true;
    WriteNext();
    return;
  }
  ResetParser();
  // The handler may answer synchronously; parsing the next request in a posted
  // task avoids recursion.
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    const bool is_read = events::RunGuarded("front_connection", [&] {
      self->Parse();
      self->Read();
    });
    if (!is_read) self->Close();
  });
}

void FrontConnection::Close() {
  if (m_closed) return;
  m_closed = true;
  asio::error_code ignored;
  m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
  --m_server->counters.open;
  if (std::exchange(m_answering, false)) --m_server->running_count;
  if (auto callback = std::exchange(on_disconnect, nullptr)) callback();
  m_server->connections.erase(shared_from_this());
}

}  // namespace peridotshelf::http
