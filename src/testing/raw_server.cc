#include "peridotshelf/testing/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace peridotshelf::testing {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLength = "Content-Length:";
constexpr int kBacklog = 64;

size_t ReadContentLength(std::string_view head) {
  const size_t at = head.find(kLength);
  if (at == std::string_view::npos) return 0;
  return std::strtoul(head.data() + at + kLength.size(), nullptr, 10);
}

}  // namespace

bool RawConnection::Receive() {
  std::array<char, 4096> buffer{};
  const ssize_t bytes = recv(m_socket, buffer.data(), buffer.size(), 0);
  if (bytes <= 0) return false;
  m_received.append(buffer.data(), static_cast<size_t>(bytes));
  return true;
}

std::string RawConnection::ReadRequest() {
  size_t end = std::string::npos;
  while ((end = m_received.find(kHeadEnd)) == std::string::npos) {
    if (!Receive()) return {};
  }
  const size_t size =
      end + kHeadEnd.size() + ReadContentLength(m_received.substr(0, end));
  while (m_received.size() < size) {
    if (!Receive()) return {};
  }
  std::string request = m_received.substr(0, size);
  m_received.erase(0, size);
  return request;
}

bool RawConnection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

void RawConnection::WaitForEnd() {
  while (Receive()) m_received.clear();
}

RawServer::RawServer(Session session) : m_session(std::move(session)) {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* socket_address = reinterpret_cast<sockaddr*>(&address);
  if (m_listener < 0 || bind(m_listener, socket_address, size) != 0 ||
      listen(m_listener, kBacklog) != 0 ||
      getsockname(m_listener, socket_address, &size) != 0) {
    throw std::runtime_error("cannot listen on 127.0.0.1");
  }
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { Accept(); });
}

RawServer::~RawServer() {
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  close(m_listener);
  CloseConnections();
  for (std::thread& session : m_sessions) session.join();
}

void RawServer::CloseConnections() {
  const std::scoped_lock lock(m_mutex);
  for (const int open : m_open) shutdown(open, SHUT_RDWR);
}

std::string RawServer::Address() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

void RawServer::Accept() {
  while (true) {
    const int accepted = accept(m_listener, nullptr, nullptr);
    if (accepted < 0) return;
    ++m_accepted;
    {
      const std::scoped_lock lock(m_mutex);
      m_open.push_back(accepted);
    }
    m_sessions.emplace_back([this, accepted] { Serve(accepted); });
  }
}

void RawServer::Serve(int socket) {
  RawConnection connection(socket);
  m_session(connection);
  const std::scoped_lock lock(m_mutex);
  m_open.erase(std::find(m_open.begin(), m_open.end(), socket));
  close(socket);
}

}  // namespace peridotshelf::testing
