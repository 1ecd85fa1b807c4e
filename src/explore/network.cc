#include "explore/network.h"

namespace peridotshelf::explore {
namespace {

using std::chrono::milliseconds;

/// Time without heartbeats until an end regards the connection as lost.
constexpr Duration kHeartbeatTimeout = milliseconds(1'600);

}  // namespace

Network::Network(Context& context, std::array<Process, kEntries>& entries,
                 std::array<Process, kSides>& sides, LinkObserver& observer)
    : m_context(context),
      m_entries(entries),
      m_sides(sides),
      m_observer(observer) {
  for (size_t entry = 0; entry < kEntries; ++entry) {
    for (size_t side = 0; side < kSides; ++side) {
      m_links[entry][side].connection = m_endpoints.size();
      m_endpoints.push_back({entry, side});
    }
  }
}

Duration Network::DrawDelay() {
  const bool slow = m_context.DrawBool(5);
  return milliseconds(m_context.Draw(1, slow ? 300 : 5));
}

void Network::ToSide(size_t entry, size_t side,
                     std::function<void(ConnectionId)> action) {
  const Link& link = m_links[entry][side];
  if (!link.open || !link.passes_frames) return;
  const ConnectionId connection = link.connection;
  m_context.timeline().RunAfter(
      DrawDelay(), [this, entry, side, connection, action = std::move(action)] {
        const Link& current = m_links[entry][side];
        if (current.connection != connection || !current.passes_frames) return;
        RunInProcess(m_context, m_sides[side],
                     [action, connection] { action(connection); });
      });
}

void Network::ToEntry(ConnectionId connection,
                      std::function<void(size_t)> action) {
  const Endpoints endpoints = m_endpoints.at(connection);
  const Link& link = m_links[endpoints.entry][endpoints.side];
  if (link.connection != connection || !link.passes_frames) return;
  m_context.timeline().RunAfter(
      DrawDelay(), [this, endpoints, connection, action = std::move(action)] {
        const Link& current = m_links[endpoints.entry][endpoints.side];
        if (current.connection != connection || !current.passes_frames) return;
        RunInProcess(m_context, m_entries[endpoints.entry],
                     [action, entry = endpoints.entry] { action(entry); });
      });
}

bool Network::IsOpen(size_t entry, size_t side) const {
  return m_links[entry][side].open;
}

void Network::Cut(size_t entry, size_t side) {
  BreakLink(entry, side, milliseconds(m_context.Draw(0, 50)),
            milliseconds(m_context.Draw(0, 50)));
}

void Network::Stall(size_t entry, size_t side) {
  BreakLink(entry, side,
            kHeartbeatTimeout + milliseconds(m_context.Draw(0, 300)),
            kHeartbeatTimeout + milliseconds(m_context.Draw(0, 300)));
}

void Network::CutLinksOfEntry(size_t entry) {
  for (size_t side = 0; side < kSides; ++side) Cut(entry, side);
}

void Network::CutLinksOfSide(size_t side) {
  for (size_t entry = 0; entry < kEntries; ++entry) Cut(entry, side);
}

void Network::BreakLink(size_t entry, size_t side, Duration entry_notices,
                        Duration side_notices) {
  Link& link = m_links[entry][side];
  if (!link.passes_frames) return;
  link.passes_frames = false;
  const ConnectionId connection = link.connection;
  m_context.timeline().RunAfter(side_notices, [this, side, connection] {
    RunInProcess(m_context, m_sides[side], [this, side, connection] {
      m_observer.OnLostAtSide(side, connection);
    });
  });
  m_context.timeline().RunAfter(entry_notices, [this, entry, side] {
    m_links[entry][side].open = false;
    RunInProcess(m_context, m_entries[entry], [this, entry, side] {
      m_observer.OnLostAtEntry(entry, side);
    });
    Reconnect(entry, side);
  });
}

void Network::Reconnect(size_t entry, size_t side) {
  m_context.timeline().RunAfter(
      milliseconds(m_context.Draw(20, 300)), [this, entry, side] {
        const TimePoint now = m_context.Now();
        if (!m_entries[entry].IsServing(now) || !m_sides[side].IsServing(now)) {
          return Reconnect(entry, side);
        }
        m_links[entry][side] = {m_endpoints.size(), true, true};
        m_endpoints.push_back({entry, side});
        m_observer.OnRestoredAtEntry(entry, side);
      });
}

}  // namespace peridotshelf::explore
