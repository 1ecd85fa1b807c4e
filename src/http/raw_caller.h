/// A caller for tests of the front server.
#pragma once

#include <poll.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <string>

namespace peridotshelf::http {

/// A caller that sends and receives raw bytes.
class RawCaller {
 public:
  /// Receives into a buffer of `receive_bytes`, if that is not 0.
  explicit RawCaller(uint16_t port, int receive_bytes = 0)
      : m_socket(m_context, asio::ip::tcp::v4()) {
    if (receive_bytes > 0) {
      m_socket.set_option(
          asio::socket_base::receive_buffer_size(receive_bytes));
    }
    m_socket.connect(
        asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
  }
  void Send(const std::string& bytes) {
    asio::write(m_socket, asio::buffer(bytes));
  }
  /// Reads until `end` is received.
  std::string ReadUntil(const std::string& end) {
    std::string bytes;
    char byte = 0;
    while (bytes.find(end) == std::string::npos) {
      if (!ReadByte(byte)) break;
      bytes.push_back(byte);
    }
    return bytes;
  }
  /// Reads until the server closes the connection.
  std::string ReadAll() {
    std::string bytes;
    char byte = 0;
    while (ReadByte(byte)) bytes.push_back(byte);
    return bytes;
  }
  /// Sends bytes; returns false if the server has reset the connection.
  bool TrySend(const std::string& bytes) {
    asio::error_code error;
    asio::write(m_socket, asio::buffer(bytes), error);
    return !error;
  }
  void Close() { m_socket.close(); }

 private:
  /// Gives up after 10 s, so that a test of a server that never answers fails.
  bool ReadByte(char& byte) {
    if (m_next == m_received.size()) {
      constexpr int kTimeoutMs = 10000;
      pollfd readable{m_socket.native_handle(), POLLIN, 0};
      if (poll(&readable, 1, kTimeoutMs) <= 0) return false;
      constexpr size_t kReadBytes = size_t{64} * 1024;
      m_received.resize(kReadBytes);
      asio::error_code error;
      m_received.resize(m_socket.read_some(asio::buffer(m_received), error));
      m_next = 0;
      if (m_received.empty()) return false;
    }
    byte = m_received[m_next++];
    return true;
  }

  asio::io_context m_context;
  asio::ip::tcp::socket m_socket;
  std::string m_received;
  size_t m_next = 0;
};

}  // namespace peridotshelf::http
