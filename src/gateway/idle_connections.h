/// Shows whether the process at an address ran without interruption.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "peridotshelf/io/io_threads.h"

namespace peridotshelf::gateway {

namespace detail {
class IdleConnection;
}  // namespace detail

/// Connections on which nothing is sent. The system closes the connections of a
/// process that ends, whoever listens at its address afterwards; one that is
/// still open belongs to the process that accepted it. Used on the thread of
/// `threads`.
class IdleConnections {
 public:
  /// Identifies one connection; 0 for none.
  using Id = uint64_t;

  explicit IdleConnections(io::IoThreads& threads);
  ~IdleConnections();
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

  /// Returns the connection to `address`, "IP:PORT". Opens one if there is none
  /// that is open or being opened. Returns 0 if `address` is malformed.
  Id Open(const std::string& address);
  /// Returns whether the connection was established and has not ended since.
  bool IsOpen(Id id) const;
  /// Number of connections that are open or being opened.
  size_t size() const { return m_connections.size(); }

 private:
  void Remove(Id id);

  io::IoThreads& m_threads;
  Id m_next_id = 1;
  std::unordered_map<Id, std::shared_ptr<detail::IdleConnection>> m_connections;
  std::unordered_map<std::string, Id> m_by_address;
};

}  // namespace peridotshelf::gateway
