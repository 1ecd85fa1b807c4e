#include "explore/network.h"

namespace peridotshelf::explore {
namespace {

using std::chrono::milliseconds;

/// Time until an end misses heartbeats.
constexpr Duration kSilenceLimit = milliseconds(1'600);

}  // namespace

Network::Network(Context& context, std::array<Process, kEntries>& entries,
                 std::array<Process, kSides>& sides, LinkObserver& observer)
    : m_context(context),
      m_entries(entries),
      m_sides(sides),
      m_observer(observer) {
  for (size_t entry = 0; entry < kEntries; ++entry) {
    for (size_t side = 0; side < kSides; ++side) {
      m_links[entry][side].connection = m_ends.size();
      m_ends.push_back({entry, side});
    }
  }
}

Duration Network::Delay() {
  const bool slow = m_context.Percent(5);
  return milliseconds(m_context.Draw(1, slow ? 300 : 5));
}

void Network::ToSide(size_t entry, size_t side,
                     std::function<void(ConnectionId)> action) {
  const Link& link = m_links[entry][side];
  if (!link.open || !link.works) return;
  const ConnectionId connection = link.connection;
  m_context.timeline().RunAfter(
      Delay(), [this, entry, side, connection, action = std::move(action)] {
        const Link& now = m_links[entry][side];
        if (now.connection != connection || !now.works) return;
        RunIn(m_context, m_sides[side],
              [action, connection] { action(connection); });
      });
}

void Network::ToEntry(ConnectionId connection,
                      std::function<void(size_t)> action) {
  const Ends ends = m_ends.at(connection);
  const Link& link = m_links[ends.entry][ends.side];
  if (link.connection != connection || !link.works) return;
  m_context.timeline().RunAfter(
      Delay(), [this, ends, connection, action = std::move(action)] {
        const Link& now = m_links[ends.entry][ends.side];
        if (now.connection != connection || !now.works) return;
        RunIn(m_context, m_entries[ends.entry],
              [action, entry = ends.entry] { action(entry); });
      });
}

bool Network::IsOpen(size_t entry, size_t side) const {
  return m_links[entry][side].open;
}

void Network::Cut(size_t entry, size_t side) {
  Break(entry, side, milliseconds(m_context.Draw(0, 50)),
        milliseconds(m_context.Draw(0, 50)));
}

void Network::Silence(size_t entry, size_t side) {
  Break(entry, side, kSilenceLimit + milliseconds(m_context.Draw(0, 300)),
        kSilenceLimit + milliseconds(m_context.Draw(0, 300)));
}

void Network::CutAllOfEntry(size_t entry) {
  for (size_t side = 0; side < kSides; ++side) Cut(entry, side);
}

void Network::CutAllOfSide(size_t side) {
  for (size_t entry = 0; entry < kEntries; ++entry) Cut(entry, side);
}

void Network::Break(size_t entry, size_t side, Duration entry_notices,
                    Duration side_notices) {
  Link& link = m_links[entry][side];
  if (!link.works) return;
  link.works = false;
  const ConnectionId connection = link.connection;
  m_context.timeline().RunAfter(side_notices, [this, side, connection] {
    RunIn(m_context, m_sides[side], [this, side, connection] {
      m_observer.OnLostAtSide(side, connection);
    });
  });
  m_context.timeline().RunAfter(entry_notices, [this, entry, side] {
    m_links[entry][side].open = false;
    RunIn(m_context, m_entries[entry],
          [this, entry, side] { m_observer.OnLostAtEntry(entry, side); });
    Reconnect(entry, side);
  });
}

void Network::Reconnect(size_t entry, size_t side) {
  m_context.timeline().RunAfter(
      milliseconds(m_context.Draw(20, 300)), [this, entry, side] {
        const TimePoint now = m_context.Now();
        if (!m_entries[entry].Serves(now) || !m_sides[side].Serves(now)) {
          return Reconnect(entry, side);
        }
        m_links[entry][side] = {m_ends.size(), true, true};
        m_ends.push_back({entry, side});
        m_observer.OnRestoredAtEntry(entry, side);
      });
}

}  // namespace peridotshelf::explore
