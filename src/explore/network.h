/// The connections between entries and sides. They delay messages, and may
/// break or stop passing frames; each end detects a loss independently.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "explore/context.h"
#include "peridotshelf/attempts/execution_table.h"

namespace peridotshelf::explore {

inline constexpr size_t kEntries = 2;
inline constexpr size_t kSides = 3;

using attempts::ConnectionId;

/// Returns the number of the side on `host`, such as 1 for "s1".
inline size_t ParseSideNumber(const HostId& host) {
  return std::stoul(host.value().substr(1));
}

/// Receives the changes of connections at their ends.
struct LinkObserver {
  virtual ~LinkObserver() = default;
  virtual void OnLostAtEntry(size_t entry, size_t side) = 0;
  virtual void OnRestoredAtEntry(size_t entry, size_t side) = 0;
  virtual void OnLostAtSide(size_t side, ConnectionId connection) = 0;
};

/// All connections of one schedule.
class Network {
 public:
  Network(Context& context, std::array<Process, kEntries>& entries,
          std::array<Process, kSides>& sides, LinkObserver& observer);

  /// Runs `action` at a side after a delay, with the connection as argument.
  void ToSide(size_t entry, size_t side,
              std::function<void(ConnectionId)> action);
  /// Runs `action` at the entry of a connection after a delay, with the entry's
  /// number as argument. Drops it if the connection breaks before.
  void ToEntry(ConnectionId connection, std::function<void(size_t)> action);
  /// Returns whether the entry regards its connection to the side as open.
  bool IsOpen(size_t entry, size_t side) const;
  /// Breaks a connection. Both ends notice it shortly after.
  void Cut(size_t entry, size_t side);
  /// Stops a connection from passing frames. Each end notices by missing
  /// heartbeats.
  void Stall(size_t entry, size_t side);
  /// Breaks all connections of a process.
  void CutLinksOfEntry(size_t entry);
  void CutLinksOfSide(size_t side);

 private:
  struct Link {
    ConnectionId connection = 0;
    /// Whether the connection passes frames.
    bool passes_frames = true;
    /// Whether the entry regards the connection as open.
    bool open = true;
  };
  struct Endpoints {
    size_t entry = 0;
    size_t side = 0;
  };

  Duration DrawDelay();
  void BreakLink(size_t entry, size_t side, Duration entry_notices,
                 Duration side_notices);
  void Reconnect(size_t entry, size_t side);

  Context& m_context;
  std::array<Process, kEntries>& m_entries;
  std::array<Process, kSides>& m_sides;
  LinkObserver& m_observer;
  std::array<std::array<Link, kSides>, kEntries> m_links;
  /// By connection number.
  std::vector<Endpoints> m_endpoints;
};

}  // namespace peridotshelf::explore
