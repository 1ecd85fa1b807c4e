#include "front_connection.h"

#include <netinet/tcp.h>

#include <asio/buffer.hpp>
#include <asio/post.hpp>

#include "header_text.h"
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
      Reject({kRequestTimeout, "timeout while reading the headers"});
    } else if (m_head_complete &&
               m_body_progress.HasStalled(now, limits.body_timeout)) {
      Reject({kRequestTimeout, "timeout while reading the body"});
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
  Reject({kUnavailable, "the process ends"});
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
  if (const auto rejection = m_head_check.Read(m_unparsed)) {
    Reject(*rejection);
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
  if (m_rejection) {
    Reject(*m_rejection);
  } else if (failure == HPE_HEADER_OVERFLOW) {
    Reject({kHeaderTooLarge, "headers exceed the parser's limit"});
  } else if (failure == HPE_INVALID_METHOD) {
    Reject({kNotImplemented, "the method is not supported"});
  } else if (failure != HPE_OK || m_parser.upgrade != 0) {
    Reject({kBadRequest, http_errno_description(failure)});
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
  request.has_body = m_request.has_body;
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

void FrontConnection::Reject(const detail::Rejection& rejection) {
  ++m_server->counters.rejected;
  events::Log(events::EventId::kCallerRejected,
              {{"status", rejection.status}, {"reason", rejection.reason}});
  const std::string_view reason = rejection.reason;
  std::string bytes = "HTTP/1.1 " + std::to_string(rejection.status) + " ";
  bytes += FindReasonPhrase(rejection.status);
  bytes += "\r\n";
  if (rejection.status == kUnavailable) {
    bytes += "Retry-After: " + std::to_string(rejection.retry_after_s) + "\r\n";
  }
  bytes += "Content-Type: text/plain\r\nContent-Length: " +
           std::to_string(reason.size() + 1) + "\r\nConnection: close\r\n\r\n";
  if (m_request.method != "HEAD") {
    bytes += reason;
    bytes += '\n';
  }
  m_close_when_sent = true;
  m_unparsed = {};
  m_request = {};
  m_body_lease.Clear();
  Send(std::move(bytes));
}

void FrontConnection::Send(std::string bytes) {
  if (m_closed) return;
  if (m_unsent.empty()) m_send_progress.Restart(SteadyClock().Now());
  m_unsent_bytes += bytes.size();
  m_unsent_lease.Add(bytes.size());
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
  m_unsent_lease.Remove(bytes);
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
  m_body_lease.Clear();
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
  m_body_lease.Clear();
  m_unsent_lease.Clear();
  asio::error_code ignored;
  m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
  --m_server->counters.open;
  if (std::exchange(m_answering, false)) --m_server->running_count;
  if (auto callback = std::exchange(on_disconnect, nullptr)) callback();
  m_server->connections.erase(shared_from_this());
}

}  // namespace peridotshelf::http
