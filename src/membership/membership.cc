#include "peridotshelf/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotshelf::membership {
namespace {

using wire::Gossip;
using wire::GossipKind;
using wire::MemberState;
using wire::MemberUpdate;

/// Relays whose answer never comes are forgotten beyond this many.
constexpr size_t kMaxRelays = 64;

/// Whether `update` tells more than what is known. At one incarnation a worse
/// state goes before a better one.
bool Supersedes(const MemberUpdate& update, MemberState::type state,
                int64_t incarnation) {
  // Only the member itself ends its death, by showing that it lives.
  if (state == MemberState::DEAD && update.state == MemberState::SUSPECT) {
    return false;
  }
  if (update.incarnation != incarnation) {
    return update.incarnation > incarnation;
  }
  auto rank = [](MemberState::type s) {
    switch (s) {
      case MemberState::ALIVE:
        return 0;
      case MemberState::LEAVING:
        return 1;
      case MemberState::SUSPECT:
        return 2;
      case MemberState::DEAD:
        return 3;
    }
    return 0;
  };
  return rank(update.state) > rank(state);
}

MemberUpdate MakeUpdate(const HostId& host, MemberState::type state,
                        int64_t incarnation) {
  MemberUpdate update;
  update.host = host.value();
  update.state = state;
  update.incarnation = incarnation;
  return update;
}

}  // namespace

Membership::Membership(HostId self, int64_t incarnation,
                       MembershipOptions options, uint64_t seed)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_options(options),
      m_random(seed) {}

void Membership::SetListed(std::span<const HostId> hosts) {
  std::map<HostId, Member> members;
  for (const HostId& host : hosts) {
    if (host == m_self) continue;
    auto known = m_members.find(host);
    members[host] = known == m_members.end() ? Member{} : known->second;
  }
  m_members = std::move(members);
  m_order.clear();
  for (const auto& [host, member] : m_members) m_order.push_back(host);
  std::shuffle(m_order.begin(), m_order.end(), m_random);
  m_next = 0;
}

void Membership::StartLeaving() {
  if (m_own_state == MemberState::LEAVING) return;
  m_own_state = MemberState::LEAVING;
  ++m_incarnation;
  Spread(MakeUpdate(m_self, m_own_state, m_incarnation));
}

std::vector<Outgoing> Membership::Tick(TimePoint now) {
  std::vector<Outgoing> out;
  EndSuspicions(now);
  if (m_announce) Announce(out);
  if (m_probe && !m_probe->answered && !m_probe->indirect_sent &&
      now - m_probe->sent_at >= m_options.ping_timeout) {
    AskOthers(out);
  }
  if (!m_next_period || now >= *m_next_period) {
    EndProbe(now);
    StartProbe(now, out);
    m_next_period = now + m_options.period;
  }
  return out;
}

/// Goes round all members in a random order, so that each is pinged within
/// one round; the order is drawn anew after each round.
std::optional<HostId> Membership::NextTarget() {
  if (m_order.empty()) return std::nullopt;
  if (m_next >= m_order.size()) {
    std::shuffle(m_order.begin(), m_order.end(), m_random);
    m_next = 0;
  }
  return m_order[m_next++];
}

void Membership::StartProbe(TimePoint now, std::vector<Outgoing>& out) {
  const std::optional<HostId> target = NextTarget();
  if (!target) return;
  m_probe = Probe{*target, ++m_sequence, now, false, false};
  Gossip ping = Make(GossipKind::PING, m_probe->sequence);
  TellOfDoubt(*target, MemberState::ALIVE, ping);
  out.push_back({*target, std::move(ping)});
}

/// Adds what this process holds of `host` when it is not `claimed`: a member
/// can refute only what it hears.
void Membership::TellOfDoubt(const HostId& host, MemberState::type claimed,
                             Gossip& message) const {
  auto it = m_members.find(host);
  if (it == m_members.end() || it->second.state == claimed) return;
  message.updates.push_back(
      MakeUpdate(host, it->second.state, it->second.incarnation));
}

std::vector<HostId> Membership::PickAlive(size_t count, const HostId& except) {
  std::vector<HostId> alive;
  for (const auto& [host, member] : m_members) {
    if (host != except && member.state == MemberState::ALIVE) {
      alive.push_back(host);
    }
  }
  count = std::min(count, alive.size());
  for (size_t i = 0; i < count; ++i) {
    std::uniform_int_distribution<size_t> pick(i, alive.size() - 1);
    std::swap(alive[i], alive[pick(m_random)]);
  }
  alive.resize(count);
  return alive;
}

void Membership::AskOthers(std::vector<Outgoing>& out) {
  m_probe->indirect_sent = true;
  for (HostId& helper : PickAlive(m_options.indirect_pings, m_probe->target)) {
    Gossip request = Make(GossipKind::PING_REQUEST, m_probe->sequence);
    request.subject = m_probe->target.value();
    out.push_back({std::move(helper), std::move(request)});
  }
}

void Membership::SetControlVersion(ControlVersion version) {
  if (version <= m_control_version) return;
  m_control_version = version;
  m_announce = true;
}

/// Nobody waits for the answers to these pings, so they get a number of their
/// own and are forgotten.
void Membership::Announce(std::vector<Outgoing>& out) {
  m_announce = false;
  for (HostId& member : PickAlive(m_options.announcements, m_self)) {
    out.push_back({std::move(member), Make(GossipKind::PING, ++m_sequence)});
  }
}

void Membership::EndProbe(TimePoint now) {
  if (!m_probe) return;
  const Probe probe = *std::exchange(m_probe, std::nullopt);
  auto it = m_members.find(probe.target);
  if (probe.answered || it == m_members.end()) return;
  Member& member = it->second;
  const bool counts_as_present = member.state == MemberState::ALIVE ||
                                 member.state == MemberState::LEAVING;
  if (!counts_as_present) return;
  SetState(probe.target, member, MemberState::SUSPECT, member.incarnation, now);
}

void Membership::EndSuspicions(TimePoint now) {
  const Duration limit = SuspicionTime();
  for (auto& [host, member] : m_members) {
    if (!member.suspected_at) continue;
    if (now - *member.suspected_at < limit) continue;
    SetState(host, member, MemberState::DEAD, member.incarnation, now);
  }
}

Gossip Membership::Make(GossipKind::type kind, int32_t sequence) {
  Gossip message;
  message.kind = kind;
  message.sequence = sequence;
  message.sender = m_self.value();
  message.incarnation = m_incarnation;
  message.control_version = m_control_version;
  message.sender_state = m_own_state;
  // The least often sent rumours go first.
  std::stable_sort(m_rumours.begin(), m_rumours.end(),
                   [](const Rumour& a, const Rumour& b) {
                     return a.sends_left > b.sends_left;
                   });
  const size_t count = std::min(m_options.max_updates, m_rumours.size());
  for (size_t i = 0; i < count; ++i) {
    message.updates.push_back(m_rumours[i].update);
    --m_rumours[i].sends_left;
  }
  std::erase_if(m_rumours, [](const Rumour& r) { return r.sends_left <= 0; });
  return message;
}

std::vector<Outgoing> Membership::OnMessage(const Gossip& message,
                                            TimePoint now) {
  std::vector<Outgoing> out;
  const HostId sender{message.sender};
  if (message.control_version > m_newest_version) {
    m_newest_version = message.control_version;
    m_newest_holder = sender;
  }
  HearSender(message, now);
  for (const MemberUpdate& update : message.updates) Hear(update, now);
  if (message.kind == GossipKind::PING) {
    Gossip ack = Make(GossipKind::ACK, message.sequence);
    ack.subject = m_self.value();
    TellOfDoubt(sender, message.sender_state, ack);
    out.push_back({sender, std::move(ack)});
  } else if (message.kind == GossipKind::PING_REQUEST) {
    const HostId target{message.subject};
    if (!m_members.contains(target) || m_relays.size() >= kMaxRelays) {
      return out;
    }
    const int32_t sequence = ++m_sequence;
    m_relays[sequence] = Relay{sender, message.sequence};
    out.push_back({target, Make(GossipKind::PING, sequence)});
  } else if (auto relay = m_relays.extract(message.sequence)) {
    Gossip ack = Make(GossipKind::ACK, relay.mapped().asker_sequence);
    ack.subject = message.subject;
    out.push_back({relay.mapped().asker, std::move(ack)});
  } else if (m_probe && m_probe->sequence == message.sequence &&
             m_probe->target.value() == message.subject) {
    m_probe->answered = true;
  }
  return out;
}

/// A message proves that its sender lives, at the incarnation it names.
void Membership::HearSender(const Gossip& message, TimePoint now) {
  Hear(MakeUpdate(HostId(message.sender), message.sender_state,
                  message.incarnation),
       now);
}

void Membership::Hear(const MemberUpdate& update, TimePoint now) {
  const HostId host{update.host};
  if (host == m_self) {
    HearSelf(update);
    return;
  }
  auto it = m_members.find(host);
  if (it == m_members.end()) return;
  if (!Supersedes(update, it->second.state, it->second.incarnation)) return;
  SetState(host, it->second, update.state, update.incarnation, now);
}

void Membership::HearSelf(const MemberUpdate& update) {
  const bool wrong = update.state != m_own_state;
  if (wrong && update.incarnation >= m_incarnation) {
    Refute(update.incarnation);
  }
}

void Membership::Refute(int64_t heard_incarnation) {
  m_incarnation = heard_incarnation + 1;
  Spread(MakeUpdate(m_self, m_own_state, m_incarnation));
}

void Membership::SetState(const HostId& host, Member& member,
                          MemberState::type state, int64_t incarnation,
                          TimePoint now) {
  const bool changed = member.state != state;
  // The suspicion of a member that was never heard of names no incarnation;
  // learning it does not begin the suspicion anew.
  const bool goes_on = !changed && member.incarnation == 0;
  member.state = state;
  member.incarnation = incarnation;
  if (state != MemberState::SUSPECT) {
    member.suspected_at.reset();
  } else if (!goes_on) {
    member.suspected_at = now;
  }
  if (!changed) return;
  m_changes.push_back({host, state});
  Spread(MakeUpdate(host, state, incarnation));
}

void Membership::Spread(MemberUpdate update) {
  std::erase_if(m_rumours, [&](const Rumour& rumour) {
    return rumour.update.host == update.host;
  });
  const int sends =
      static_cast<int>(std::ceil(m_options.spread_factor * Log2Members()));
  m_rumours.push_back({std::move(update), sends});
}

MemberState::type Membership::StateOf(const HostId& host) const {
  if (host == m_self) return m_own_state;
  auto it = m_members.find(host);
  return it == m_members.end() ? MemberState::DEAD : it->second.state;
}

double Membership::Log2Members() const {
  // Two are added so that the smallest fleets have a positive value.
  return std::log2(static_cast<double>(m_members.size()) + 2.0);
}

Duration Membership::SuspicionTime() const {
  const auto period = static_cast<double>(m_options.period.count());
  return Duration{static_cast<int64_t>(period * m_options.suspicion_factor *
                                       Log2Members())};
}

std::vector<MemberChange> Membership::TakeChanges() {
  return std::exchange(m_changes, {});
}

}  // namespace peridotshelf::membership
