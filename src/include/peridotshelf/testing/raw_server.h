/// A server for tests that chooses each byte that it sends.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace peridotshelf::testing {

/// A connection that a raw server accepted. Used by one thread.
class RawConnection {
 public:
  explicit RawConnection(int socket) : m_socket(socket) {}
  /// Returns the next request, head and body, or an empty string at the end of
  /// the connection.
  std::string ReadRequest();
  /// Sends all bytes; returns false if the peer closed the connection.
  bool Write(std::string_view bytes);
  /// Waits until the peer closes the connection.
  void WaitForEnd();

 private:
  bool Receive();

  int m_socket;
  std::string m_received;
};

/// Listens on 127.0.0.1 and runs `session` in a thread for each connection,
/// which is closed when `session` returns.
class RawServer {
 public:
  using Session = std::function<void(RawConnection&)>;

  explicit RawServer(Session session);
  /// Ends all connections and waits for their sessions.
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  /// "IP:PORT".
  std::string Address() const;
  int CountConnections() const { return m_accepted; }
  /// Ends all connections, as the end of a process does, and goes on listening.
  void CloseConnections();

 private:
  void Accept();
  void Serve(int socket);

  Session m_session;
  int m_listener = -1;
  uint16_t m_port = 0;
  std::atomic<int> m_accepted{0};
  std::mutex m_mutex;
  std::vector<int> m_open;
  std::vector<std::thread> m_sessions;
  std::thread m_acceptor;
};

}  // namespace peridotshelf::testing
