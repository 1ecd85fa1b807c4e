/// The connections between entries and sides: they delay, break and fall
/// silent, and both ends notice on their own.
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

/// The number of the side on `host`, such as 1 for "s1".
inline size_t SideNumber(const HostId& host) {
  return std::stoul(host.value().substr(1));
}

/// What the ends of connections are told.
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

  /// Carries `action` to a side; it is told the connection.
  void ToSide(size_t entry, size_t side,
              std::function<void(ConnectionId)> action);
  /// Carries `action` back over a connection; lost if that has broken.
  void ToEntry(ConnectionId connection, std::function<void(size_t)> action);
  /// Whether the entry has a connection to the side.
  bool IsOpen(size_t entry, size_t side) const;
  /// Breaks a connection: both ends notice soon.
  void Cut(size_t entry, size_t side);
  /// Lets a connection fall silent: each end notices by missing heartbeats.
  void Silence(size_t entry, size_t side);
  /// The process died: its peers notice soon.
  void CutAllOfEntry(size_t entry);
  void CutAllOfSide(size_t side);

 private:
  struct Link {
    ConnectionId connection = 0;
    /// Passes frames on.
    bool works = true;
    /// The entry believes in it.
    bool open = true;
  };
  struct Ends {
    size_t entry = 0;
    size_t side = 0;
  };

  Duration Delay();
  void Break(size_t entry, size_t side, Duration entry_notices,
             Duration side_notices);
  void Reconnect(size_t entry, size_t side);

  Context& m_context;
  std::array<Process, kEntries>& m_entries;
  std::array<Process, kSides>& m_sides;
  LinkObserver& m_observer;
  std::array<std::array<Link, kSides>, kEntries> m_links;
  /// By connection number.
  std::vector<Ends> m_ends;
};

}  // namespace peridotshelf::explore
