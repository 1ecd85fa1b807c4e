#include "idle_connections.h"

#include <array>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <utility>

#include "engine_address.h"

namespace peridotshelf::gateway {

using asio::ip::tcp;

namespace detail {

/// One connection. Calls `on_end` once, when it was refused or has ended.
class IdleConnection : public std::enable_shared_from_this<IdleConnection> {
 public:
  IdleConnection(io::IoThreads& threads, std::string address,
                 std::function<void()> on_end)
      : m_socket(threads.context()),
        m_address(std::move(address)),
        m_on_end(std::move(on_end)) {}

  void Connect(const tcp::endpoint& endpoint) {
    m_socket.async_connect(
        endpoint, [self = shared_from_this()](const asio::error_code& error) {
          self->OnConnected(error);
        });
  }

  void Close() {
    m_on_end = nullptr;
    asio::error_code ignored;
    m_socket.close(ignored);
  }

  /// Looks at the socket itself, since an end may be known to the system and
  /// not have been reported yet.
  bool IsOpen() {
    if (!m_is_connected) return false;
    std::array<char, 1> byte{};
    asio::error_code error;
    m_socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  const std::string& address() const { return m_address; }

 private:
  void OnConnected(const asio::error_code& error) {
    asio::error_code option_error;
    if (!error) {
      m_socket.set_option(tcp::socket::keep_alive(true), option_error);
      m_socket.non_blocking(true, option_error);
    }
    if (error || option_error) {
      End();
      return;
    }
    m_is_connected = true;
    m_socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const asio::error_code& /*closed*/) {
          self->End();
        });
  }

  void End() {
    if (auto on_end = std::exchange(m_on_end, nullptr)) on_end();
  }

  tcp::socket m_socket;
  std::string m_address;
  std::function<void()> m_on_end;
  bool m_is_connected = false;
};

}  // namespace detail

IdleConnections::IdleConnections(io::IoThreads& threads) : m_threads(threads) {}

IdleConnections::~IdleConnections() {
  for (const auto& [id, connection] : m_connections) connection->Close();
}

IdleConnections::Id IdleConnections::Open(const std::string& address) {
  if (const auto found = m_by_address.find(address);
      found != m_by_address.end()) {
    return found->second;
  }
  const auto endpoint = ParseAddress(address);
  if (!endpoint) return 0;
  const Id id = m_next_id++;
  const auto connection = std::make_shared<detail::IdleConnection>(
      m_threads, address, [this, id] { Remove(id); });
  m_connections.emplace(id, connection);
  m_by_address.emplace(address, id);
  connection->Connect(*endpoint);
  return id;
}

bool IdleConnections::IsOpen(Id id) const {
  const auto found = m_connections.find(id);
  return found != m_connections.end() && found->second->IsOpen();
}

void IdleConnections::Remove(Id id) {
  const auto node = m_connections.extract(id);
  if (node.empty()) return;
  m_by_address.erase(node.mapped()->address());
  node.mapped()->Close();
}

}  // namespace peridotshelf::gateway
