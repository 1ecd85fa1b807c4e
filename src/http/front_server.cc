#include "peridotshelf/http/front_server.h"

#include <asio/io_context.hpp>
#include <utility>

#include "front_connection.h"
#include "peridotshelf/events/guard.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::http {
namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(500);

bool HasNoBody(int status) {
  return status == kNoContent || status == kNotModified || status / 100 == 1;
}

/// Answers one request. All calls are made on the server's thread.
class FrontResponder : public Responder {
 public:
  FrontResponder(std::shared_ptr<FrontConnection> connection, bool is_head)
      : m_connection(std::move(connection)), m_is_head(is_head) {}
  ~FrontResponder() override {
    // A caller must not wait for a response that is never sent.
    if (!m_ended) Abort();
  }

  void Reply(int status, std::vector<Header> headers,
             std::string body) override {
    if (m_ended || m_streaming) return;
    m_ended = true;
    const bool keep_open = m_connection->keep_alive();
    std::string bytes = FormatHead(status, headers, keep_open);
    // The length in the answer to HEAD is that of the answer to GET, which only
    // the handler knows.
    const bool has_body = !m_is_head && !HasNoBody(status);
    if (has_body) {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    bytes += "\r\n";
    if (has_body) bytes += body;
    m_connection->Send(std::move(bytes));
    m_connection->FinishAnswer(keep_open);
  }

  void BeginStream(int status, std::vector<Header> headers) override {
    if (m_ended || m_streaming) return;
    m_streaming = true;
    m_keep_open = m_connection->keep_alive();
    std::string bytes = FormatHead(status, headers, m_keep_open);
    if (!m_is_head) bytes += "Transfer-Encoding: chunked\r\n";
    m_connection->Send(bytes + "\r\n");
  }

  void Write(std::string data) override {
    if (m_ended || !m_streaming || m_is_head || data.empty()) return;
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    m_connection->Send(size + data + "\r\n");
  }

  void EndStream() override {
    if (m_ended || !m_streaming) return;
    m_ended = true;
    if (!m_is_head) m_connection->Send("0\r\n\r\n");
    m_connection->FinishAnswer(m_keep_open);
  }

  void Abort() override {
    if (m_ended) return;
    m_ended = true;
    // Data written before is still sent; without the last chunk the caller
    // detects that the response is incomplete.
    m_connection->FinishAnswer(/*keep_open=*/false);
  }

  void OnDisconnect(std::function<void()> callback) override {
    if (m_connection->closed() && !m_ended) {
      m_ended = true;
      callback();
      return;
    }
    m_connection->on_disconnect = [this, callback = std::move(callback)] {
      m_ended = true;
      callback();
    };
  }

 private:
  static std::string FormatHead(int status, const std::vector<Header>& headers,
                                bool keep_open) {
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " ";
    bytes += FindReasonPhrase(status);
    bytes += "\r\n";
    for (const Header& header : headers) {
      bytes += header.name + ": " + header.value + "\r\n";
    }
    if (!keep_open) bytes += "Connection: close\r\n";
    return bytes;
  }

  std::shared_ptr<FrontConnection> m_connection;
  bool m_is_head;
  bool m_streaming = false;
  bool m_ended = false;
  bool m_keep_open = true;
};

}  // namespace

void FrontServer::Impl::Add(const std::shared_ptr<Impl>& self,
                            Tcp::socket socket) {
  ++self->counters.accepted;
  ++self->counters.open;
  auto connection = std::make_shared<FrontConnection>(self, std::move(socket));
  self->connections.insert(connection);
  connection->Start();
}

void FrontServer::Impl::Accept(const std::shared_ptr<Impl>& self) {
  self->acceptor.async_accept(
      [self](const asio::error_code& error, Tcp::socket socket) {
        if (self->stopped) return;
        // A connection that cannot be added is closed with its socket.
        (void)events::RunGuarded("front_accept", [&] {
          if (!error) Add(self, std::move(socket));
        });
        if (!self->shutting_down) Accept(self);
      });
}

void FrontServer::Impl::AcceptWaiting(const std::shared_ptr<Impl>& self) {
  asio::error_code error;
  self->acceptor.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(self->context);
    self->acceptor.accept(socket, error);
    if (!error) Add(self, std::move(socket));
  }
}

void FrontServer::Impl::Sweep(const std::shared_ptr<Impl>& self) {
  self->sweep.expires_after(kSweepInterval);
  self->sweep.async_wait([self](const asio::error_code& error) {
    if (error || self->stopped) return;
    // The next sweep checks what an exception left out.
    (void)events::RunGuarded("front_sweep", [&] { self->CheckConnections(); });
    Sweep(self);
  });
}

void FrontServer::Impl::CheckConnections() {
  const TimePoint now = SteadyClock().Now();
  for (const auto& connection : CopyConnections()) {
    connection->CheckTimeouts(now);
  }
}

std::vector<std::shared_ptr<FrontConnection>>
FrontServer::Impl::CopyConnections() const {
  return {connections.begin(), connections.end()};
}

Result<std::unique_ptr<FrontServer>> FrontServer::Create(
    io::IoThreads& threads, const std::string& address, uint16_t port,
    Handler handler) {
  auto impl = std::make_shared<Impl>(threads.context(), std::move(handler));
  impl->make_responder = [](std::shared_ptr<FrontConnection> connection,
                            bool is_head) {
    return std::make_shared<FrontResponder>(std::move(connection), is_head);
  };
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

void FrontServer::SetHeldBytes(std::shared_ptr<HeldBytes> held) {
  m_impl->held = std::move(held);
}

void FrontServer::CloseAfterAnswers() { m_impl->close_after_answers = true; }

void FrontServer::CloseIdle() {
  m_impl->close_idle = true;
  m_impl->CheckConnections();
}

void FrontServer::Shutdown() {
  m_impl->close_after_answers = true;
  m_impl->close_idle = true;
  m_impl->shutting_down = true;
  Impl::AcceptWaiting(m_impl);
  asio::error_code ignored;
  m_impl->acceptor.close(ignored);
  const auto open = m_impl->CopyConnections();
  for (const auto& connection : open) connection->RejectUnfinished();
  m_impl->CheckConnections();
}

size_t FrontServer::CountRunning() const { return m_impl->running_count; }

FrontCounters FrontServer::counters() const { return m_impl->counters; }

}  // namespace peridotshelf::http
