#include "peridotshelf/standin/relay.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "peridotshelf/http/server.h"

namespace peridotshelf::standin {
namespace {

using asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;

constexpr size_t kBufferBytes = size_t{16} * 1024;

/// A caller's connection and the matching connection to the target. All
/// handlers run on one strand.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Strand strand, tcp::socket caller,
          std::shared_ptr<const std::atomic<int64_t>> delay_ms)
      : m_strand(std::move(strand)),
        m_caller(std::move(caller)),
        m_target(m_strand),
        m_delay_ms(std::move(delay_ms)) {}

  void Start(const tcp::endpoint& target) {
    m_target.async_connect(
        target, [self = shared_from_this()](const asio::error_code& error) {
          if (error) return self->Close();
          self->SetNoDelay();
          self->Read(self->m_caller, self->m_target, self->m_to_target);
          self->Read(self->m_target, self->m_caller, self->m_to_caller);
        });
  }
  /// Discards all further data; both connections stay open.
  void Stall() {
    asio::post(m_strand,
               [self = shared_from_this()] { self->m_stalled = true; });
  }
  void Cut() {
    asio::post(m_strand, [self = shared_from_this()] { self->Close(); });
  }
  bool closed() const { return m_closed; }
  bool forwards() const { return !m_stalled && !m_closed; }

 private:
  using Buffer = std::array<char, kBufferBytes>;

  void SetNoDelay() {
    asio::error_code ignored;
    m_caller.set_option(tcp::no_delay(true), ignored);
    m_target.set_option(tcp::no_delay(true), ignored);
  }
  void Read(tcp::socket& from, tcp::socket& to, Buffer& buffer) {
    from.async_read_some(asio::buffer(buffer),
                         [self = shared_from_this(), &from, &to, &buffer](
                             const asio::error_code& error, size_t bytes) {
                           if (error) return self->Close();
                           self->Delay(from, to, buffer, bytes);
                         });
  }
  void Delay(tcp::socket& from, tcp::socket& to, Buffer& buffer, size_t bytes) {
    const std::chrono::milliseconds delay(m_delay_ms->load());
    if (delay.count() == 0) return Forward(from, to, buffer, bytes);
    auto timer = std::make_shared<asio::steady_timer>(m_strand, delay);
    timer->async_wait([self = shared_from_this(), timer, &from, &to, &buffer,
                       bytes](const asio::error_code& error) {
      if (!error) self->Forward(from, to, buffer, bytes);
    });
  }
  void Forward(tcp::socket& from, tcp::socket& to, Buffer& buffer,
               size_t bytes) {
    if (m_stalled) return Read(from, to, buffer);
    asio::async_write(to, asio::buffer(buffer.data(), bytes),
                      [self = shared_from_this(), &from, &to, &buffer](
                          const asio::error_code& error, size_t) {
                        if (error) return self->Close();
                        self->Read(from, to, buffer);
                      });
  }
  /// A stalled session does not forward the close of a connection either.
  void Close() {
    if (m_stalled) return;
    m_closed = true;
    asio::error_code ignored;
    m_caller.close(ignored);
    m_target.close(ignored);
  }

  Strand m_strand;
  tcp::socket m_caller;
  tcp::socket m_target;
  std::shared_ptr<const std::atomic<int64_t>> m_delay_ms;
  Buffer m_to_target{};
  Buffer m_to_caller{};
  std::atomic<bool> m_stalled{false};
  std::atomic<bool> m_closed{false};
};

using SessionPtr = std::shared_ptr<Session>;

/// Accepts connections and keeps their sessions, including stalled ones.
class Acceptor : public std::enable_shared_from_this<Acceptor> {
 public:
  Acceptor(asio::io_context& context, tcp::endpoint target)
      : m_context(context), m_acceptor(context), m_target(std::move(target)) {}

  Result<void> Listen(const tcp::endpoint& endpoint) {
    asio::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
      m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) m_acceptor.bind(endpoint, error);
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return Fail(ErrorCode::kInternal, "cannot listen on port " +
                                            std::to_string(endpoint.port()) +
                                            ": " + error.message());
    }
    return {};
  }
  void AcceptNext() {
    Strand strand(m_context.get_executor());
    m_acceptor.async_accept(
        strand, [self = shared_from_this(), strand](
                    const asio::error_code& error, tcp::socket caller) {
          if (error) return;
          self->Begin(strand, std::move(caller));
          self->AcceptNext();
        });
  }
  void Stop() {
    asio::error_code ignored;
    m_acceptor.close(ignored);
    for (const SessionPtr& session : Sessions()) session->Cut();
  }
  std::vector<SessionPtr> Sessions() {
    std::scoped_lock lock(m_mutex);
    return m_sessions;
  }
  void SetDelay(int64_t milliseconds) { m_delay_ms->store(milliseconds); }

 private:
  void Begin(const Strand& strand, tcp::socket caller) {
    auto session =
        std::make_shared<Session>(strand, std::move(caller), m_delay_ms);
    {
      std::scoped_lock lock(m_mutex);
      std::erase_if(m_sessions,
                    [](const SessionPtr& old) { return old->closed(); });
      m_sessions.push_back(session);
    }
    session->Start(m_target);
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_target;
  std::shared_ptr<std::atomic<int64_t>> m_delay_ms =
      std::make_shared<std::atomic<int64_t>>(0);
  std::mutex m_mutex;
  std::vector<SessionPtr> m_sessions;
};

/// Applies a command of the control interface.
Result<void> ApplyCommand(Acceptor& acceptor, std::string_view body) {
  const auto command = nlohmann::json::parse(body, nullptr, false);
  if (!command.is_object()) return Fail(ErrorCode::kInvalidField, "body");
  const std::string action = command.value("action", "");
  if (action == "silence") {
    for (const SessionPtr& session : acceptor.Sessions()) session->Stall();
  } else if (action == "cut") {
    for (const SessionPtr& session : acceptor.Sessions()) session->Cut();
  } else if (action == "delay") {
    acceptor.SetDelay(command.value("milliseconds", int64_t{0}));
  } else {
    return Fail(ErrorCode::kInvalidField, "action");
  }
  return {};
}

std::string MakeStatus(Acceptor& acceptor) {
  const auto sessions = acceptor.Sessions();
  const auto open = std::count_if(
      sessions.begin(), sessions.end(),
      [](const SessionPtr& session) { return session->forwards(); });
  return nlohmann::json{{"open", open}}.dump();
}

http::Handler ControlHandler(std::shared_ptr<Acceptor> acceptor) {
  return [acceptor = std::move(acceptor)](const http::ServerRequest& request,
                                          const http::ResponderPtr& responder) {
    if (request.path != "/control") {
      return responder->Reply(404, {}, "");
    }
    if (request.method == "POST") {
      const Result<void> applied = ApplyCommand(*acceptor, request.body);
      if (!applied) return http::ReplyError(*responder, applied.error());
    }
    responder->Reply(200, {{"Content-Type", "application/json"}},
                     MakeStatus(*acceptor));
  };
}

Result<tcp::endpoint> MakeEndpoint(const std::string& address, uint16_t port) {
  asio::error_code error;
  const auto parsed = asio::ip::make_address(address, error);
  if (error) return Fail(ErrorCode::kInvalidField, "address " + address);
  return tcp::endpoint(parsed, port);
}

}  // namespace

struct Relay::Impl {
  std::shared_ptr<Acceptor> acceptor;
  std::unique_ptr<http::Server> control;
};

Result<std::unique_ptr<Relay>> Relay::Create(io::IoThreads& threads,
                                             const RelayOptions& options) {
  const auto endpoint = MakeEndpoint(options.address, options.port);
  if (!endpoint) return tl::unexpected<Error>(endpoint.error());
  const auto target = MakeEndpoint(options.target_address, options.target_port);
  if (!target) return tl::unexpected<Error>(target.error());
  auto impl = std::make_unique<Impl>();
  impl->acceptor = std::make_shared<Acceptor>(threads.context(), *target);
  if (auto listening = impl->acceptor->Listen(*endpoint); !listening) {
    return tl::unexpected<Error>(listening.error());
  }
  http::ServerOptions control_options;
  control_options.address = options.address;
  control_options.port = options.control_port;
  auto control = http::Server::Create(threads, control_options,
                                      ControlHandler(impl->acceptor));
  if (!control) return tl::unexpected<Error>(control.error());
  impl->control = std::move(*control);
  impl->acceptor->AcceptNext();
  return std::unique_ptr<Relay>(new Relay(std::move(impl)));
}

Relay::Relay(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Relay::~Relay() { m_impl->acceptor->Stop(); }

}  // namespace peridotshelf::standin
