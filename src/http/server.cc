#include "peridotshelf/http/server.h"

#include <algorithm>
#include <asio/defer.hpp>
#include <asio/io_context.hpp>
#include <cmath>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>

#include "peridotshelf/events/log.h"

namespace peridotshelf::http {
namespace {

class StreamResponder;

/// Open requests by connection; notifies them when their connection closes.
class DisconnectRegistry {
 public:
  void Add(restinio::connection_id_t id,
           const std::shared_ptr<StreamResponder>& responder);
  void Remove(restinio::connection_id_t id, const StreamResponder* responder);
  void Close(restinio::connection_id_t id);

 private:
  std::mutex m_mutex;
  std::unordered_multimap<restinio::connection_id_t,
                          std::weak_ptr<StreamResponder>>
      m_open;
};

/// RESTinio listener for changes of connection state.
class ConnectionListener {
 public:
  explicit ConnectionListener(std::shared_ptr<DisconnectRegistry> registry)
      : m_registry(std::move(registry)) {}
  // The name and signature are RESTinio's.
  void state_changed(const restinio::connection_state::notice_t& notice) {
    if (restinio::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause())) {
      m_registry->Close(notice.connection_id());
    }
  }

 private:
  std::shared_ptr<DisconnectRegistry> m_registry;
};

/// Logs connections whose bytes are not HTTP. RESTinio closes such a connection
/// and offers no way to answer on it.
class RejectionLogger {
 public:
  // The names and signatures are RESTinio's.
  template <class Builder>
  void trace(Builder&& /*build*/) {}
  template <class Builder>
  void info(Builder&& /*build*/) {}
  template <class Builder>
  void warn(Builder&& /*build*/) {}
  template <class Builder>
  void error(Builder&& build) {
    const std::string message = build();
    if (message.find("parser error") == std::string::npos) return;
    events::Log(events::EventId::kCallerRejected, {{"reason", message}});
  }
};

struct Traits : public restinio::traits_t<restinio::asio_timer_manager_t,
                                          RejectionLogger> {
  using connection_state_listener_t = ConnectionListener;
};

using RestinioServer = restinio::http_server_t<Traits>;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t MakeStatusLine(int status) {
  std::string reason = "Status";
  if (status == 200) reason = "OK";
  return {restinio::http_status_code_t{static_cast<uint16_t>(status)}, reason};
}

/// A `Responder` over one RESTinio request.
class StreamResponder : public Responder,
                        public std::enable_shared_from_this<StreamResponder> {
 public:
  StreamResponder(asio::io_context& context, restinio::request_handle_t request,
                  std::shared_ptr<DisconnectRegistry> registry)
      : m_context(context),
        m_request(std::move(request)),
        m_connection(m_request->connection_id()),
        m_registry(std::move(registry)) {}
  ~StreamResponder() override { m_registry->Remove(m_connection, this); }

  void Reply(int status, std::vector<Header> headers,
             std::string body) override {
    std::scoped_lock lock(m_mutex);
    if (m_ended || m_stream) return;
    m_ended = true;
    auto response = m_request->create_response(MakeStatusLine(status));
    for (Header& header : headers) {
      response.append_header(std::move(header.name), std::move(header.value));
    }
    response.set_body(std::move(body));
    response.done();
    m_request.reset();
  }

  void BeginStream(int status, std::vector<Header> headers) override {
    std::scoped_lock lock(m_mutex);
    if (m_ended || m_stream) return;
    m_stream.emplace(m_request->create_response<restinio::chunked_output_t>(
        MakeStatusLine(status)));
    for (Header& header : headers) {
      m_stream->append_header(std::move(header.name), std::move(header.value));
    }
    m_stream->flush();
  }

  void Write(std::string data) override {
    std::scoped_lock lock(m_mutex);
    // In chunked transfer coding an empty chunk would end the stream.
    if (m_ended || !m_stream || data.empty()) return;
    m_stream->append_chunk(std::move(data));
    // Coalesces the parts of a burst into one write.
    if (std::exchange(m_flush_pending, true)) return;
    asio::defer(m_context, [self = shared_from_this()] { self->Flush(); });
  }

  void EndStream() override {
    std::scoped_lock lock(m_mutex);
    if (m_ended || !m_stream) return;
    m_ended = true;
    m_stream->done();
    m_stream.reset();
    m_request.reset();
  }

  // RESTinio offers no way to reset a connection: the response stays without
  // its last chunk until the caller disconnects.
  void Abort() override {
    std::scoped_lock lock(m_mutex);
    m_ended = true;
    m_stream.reset();
    m_request.reset();
  }

  void Flush() {
    std::scoped_lock lock(m_mutex);
    m_flush_pending = false;
    if (!m_ended && m_stream) m_stream->flush();
  }

  void OnDisconnect(std::function<void()> callback) override {
    {
      std::scoped_lock lock(m_mutex);
      if (m_ended && !m_disconnected) return;
      if (!m_disconnected) {
        m_on_disconnect = std::move(callback);
        return;
      }
    }
    callback();
  }

  void HandleClosed() {
    std::function<void()> callback;
    {
      std::scoped_lock lock(m_mutex);
      if (m_ended) return;
      m_ended = true;
      m_disconnected = true;
      m_stream.reset();
      m_request.reset();
      callback = std::move(m_on_disconnect);
    }
    if (callback) callback();
  }

 private:
  asio::io_context& m_context;
  std::mutex m_mutex;
  restinio::request_handle_t m_request;
  restinio::connection_id_t m_connection;
  std::shared_ptr<DisconnectRegistry> m_registry;
  std::optional<StreamBuilder> m_stream;
  std::function<void()> m_on_disconnect;
  bool m_flush_pending = false;
  bool m_ended = false;
  bool m_disconnected = false;
};

void DisconnectRegistry::Add(
    restinio::connection_id_t id,
    const std::shared_ptr<StreamResponder>& responder) {
  std::scoped_lock lock(m_mutex);
  m_open.emplace(id, responder);
}

void DisconnectRegistry::Remove(restinio::connection_id_t id,
                                const StreamResponder* /*responder*/) {
  std::scoped_lock lock(m_mutex);
  auto [begin, end] = m_open.equal_range(id);
  for (auto it = begin; it != end;) {
    it = it->second.expired() ? m_open.erase(it) : std::next(it);
  }
}

void DisconnectRegistry::Close(restinio::connection_id_t id) {
  std::vector<std::shared_ptr<StreamResponder>> closed;
  {
    std::scoped_lock lock(m_mutex);
    auto [begin, end] = m_open.equal_range(id);
    for (auto it = begin; it != end; ++it) {
      if (auto responder = it->second.lock()) {
        closed.push_back(std::move(responder));
      }
    }
    m_open.erase(id);
  }
  for (const auto& responder : closed) responder->HandleClosed();
}

ServerRequest ReadRequest(const restinio::request_handle_t& request) {
  ServerRequest out;
  out.method = request->header().method().c_str();
  out.path = std::string(request->header().path());
  out.query = std::string(request->header().query());
  out.target = request->header().request_target();
  request->header().for_each_field(
      [&out](const restinio::http_header_field_t& field) {
        out.headers.push_back({field.name(), field.value()});
      });
  out.body = request->body();
  out.owner = request;
  return out;
}

}  // namespace

std::optional<std::string_view> ServerRequest::FindHeader(
    std::string_view name) const {
  return http::FindHeader(headers, name);
}

std::optional<std::string_view> ServerRequest::FindQuery(
    std::string_view name) const {
  std::string_view remaining = query;
  while (!remaining.empty()) {
    const std::string_view pair = remaining.substr(0, remaining.find('&'));
    remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    if (equals == std::string_view::npos) return std::string_view();
    return pair.substr(equals + 1);
  }
  return std::nullopt;
}

struct Server::Impl {
  std::shared_ptr<DisconnectRegistry> registry =
      std::make_shared<DisconnectRegistry>();
  std::unique_ptr<RestinioServer> server;
};

Server::Server(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Server::~Server() {
  std::promise<void> closed;
  m_impl->server->close_async(
      [&closed] { closed.set_value(); },
      [&closed](const std::exception_ptr&) { closed.set_value(); });
  closed.get_future().wait_for(std::chrono::seconds(1));
}

Result<std::unique_ptr<Server>> Server::Create(io::IoThreads& threads,
                                               const ServerOptions& options,
                                               Handler handler) {
  constexpr size_t kReadBufferBytes = 16 * 1024;
  constexpr auto kNoLimit = std::chrono::hours(24);
  auto impl = std::make_unique<Impl>();
  auto registry = impl->registry;
  asio::io_context& context = threads.context();
  auto on_request = [&context, registry, handler = std::move(handler)](
                        const restinio::request_handle_t& request) {
    auto responder =
        std::make_shared<StreamResponder>(context, request, registry);
    registry->Add(request->connection_id(), responder);
    handler(ReadRequest(request), responder);
    return restinio::request_accepted();
  };
  restinio::incoming_http_msg_limits_t limits;
  limits.max_body_size(options.max_body_bytes);
  restinio::server_settings_t<Traits> settings;
  settings.address(options.address)
      .port(options.port)
      .protocol(restinio::asio_ns::ip::tcp::v4())
      .buffer_size(kReadBufferBytes)
      .max_pipelined_requests(2)
      .incoming_http_msg_limits(limits)
      .read_next_http_message_timelimit(options.read_timeout)
      .write_http_response_timelimit(kNoLimit)
      .handle_request_timeout(kNoLimit)
      .concurrent_accepts_count(4)
      .separate_accept_and_create_connect(true)
      .connection_state_listener(std::make_shared<ConnectionListener>(registry))
      .acceptor_options_setter([](restinio::acceptor_options_t& acceptor) {
        acceptor.set_option(
            restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
      })
      // Small parts of a stream must not wait for the peer's delayed ACK.
      .socket_options_setter([](restinio::socket_options_t& socket) {
        socket.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
      })
      .request_handler(std::move(on_request));
  impl->server = std::make_unique<RestinioServer>(
      restinio::external_io_context(threads.context()), std::move(settings));
  std::promise<std::string> opened;
  impl->server->open_async([&opened] { opened.set_value(""); },
                           [&opened](const std::exception_ptr& error) {
                             try {
                               std::rethrow_exception(error);
                             } catch (const std::exception& e) {
                               opened.set_value(e.what());
                             }
                           });
  const std::string failure = opened.get_future().get();
  if (!failure.empty()) {
    return Fail(ErrorCode::kInternal, "cannot listen on " + options.address +
                                          ":" + std::to_string(options.port) +
                                          ": " + failure);
  }
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

std::string FormatErrorBody(const Error& error) {
  nlohmann::ordered_json body;
  body["type"] = ToHttpStatus(error.code) >= 500 ? "server_error"
                                                 : "invalid_request_error";
  body["code"] = ToString(error.code);
  body["message"] = error.detail;
  body["not_run"] = error.not_run;
  if (error.retry_after) {
    body["retry_after_ms"] = ToMilliseconds(*error.retry_after);
  } else {
    body["retry_after_ms"] = nullptr;
  }
  return nlohmann::ordered_json{{"error", body}}.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void ReplyError(Responder& responder, const Error& error,
                std::vector<Header> headers) {
  headers.push_back({"Content-Type", "application/json"});
  if (error.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  responder.Reply(ToHttpStatus(error.code), std::move(headers),
                  FormatErrorBody(error));
}

}  // namespace peridotshelf::http
