/// Which of the listed processes are alive, by gossip with a constant number
/// of messages a second for each process, whatever the fleet's size.
///
/// The platform's list says who may take part and where; it lags and does not
/// see deaths quickly. Members ping one another in random order (once a
/// period), ask others to ping on their behalf before they suspect, and spread
/// changes of state on the pings. A suspected member refutes the suspicion by
/// raising its incarnation. The scheme is SWIM's (Das, Gupta, Motivala, 2002).
///
/// Pure: it takes the time and messages and yields messages. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/ids.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::membership {

/// Timing and sizes.
struct MembershipOptions {
  /// One member is pinged in each period.
  Duration period = std::chrono::seconds(1);
  /// Without an answer for this long, others are asked to ping.
  Duration ping_timeout = std::chrono::milliseconds(300);
  /// Others that are asked.
  size_t indirect_pings = 3;
  /// A suspected member that does not refute counts as dead after this many
  /// periods times log2 of the number of members, since a refutation takes
  /// longer to get about in a larger fleet.
  double suspicion_factor = 2.0;
  /// Updates on one message.
  size_t max_updates = 6;
  /// Members that are told at once of a newer control version.
  size_t announcements = 4;
  /// An update is sent this many times log2 of the number of members.
  double spread_factor = 3.0;
};

/// A message and the member it is for.
struct Outgoing {
  HostId to;
  wire::Gossip message;
};

/// One change of state that was learnt.
struct MemberChange {
  HostId host;
  wire::MemberState::type state;
};

/// One process's view of all others.
class Membership {
 public:
  Membership(HostId self, int64_t incarnation, MembershipOptions options,
             uint64_t seed);

  /// Takes the listed members; those no longer listed are forgotten, and new
  /// ones are taken to be alive.
  void SetListed(std::span<const HostId> hosts);
  /// The newest control version of this process, sent on every message. Some
  /// members are told of a newer one at the next tick, without waiting for a
  /// period's ping.
  void SetControlVersion(ControlVersion version);
  /// Tells all members that this process takes no new work.
  void StartLeaving();

  /// What is due at `now`. Call several times in each `ping_timeout`.
  std::vector<Outgoing> Tick(TimePoint now);
  /// Takes a message and yields the answers to it.
  std::vector<Outgoing> OnMessage(const wire::Gossip& message, TimePoint now);

  /// The state of a listed member; DEAD for one that is not listed.
  wire::MemberState::type StateOf(const HostId& host) const;
  /// Changes since the last call.
  std::vector<MemberChange> TakeChanges();
  /// The newest control version that a message carried, and its sender.
  ControlVersion newest_version() const { return m_newest_version; }
  const HostId& newest_version_holder() const { return m_newest_holder; }
  /// Time that a suspected member has to refute.
  Duration SuspicionTime() const;
  /// Listed members, this process not counted.
  size_t size() const { return m_members.size(); }

 private:
  struct Member {
    wire::MemberState::type state = wire::MemberState::ALIVE;
    int64_t incarnation = 0;
    std::optional<TimePoint> suspected_at;
  };
  struct Probe {
    HostId target;
    int32_t sequence = 0;
    TimePoint sent_at;
    bool indirect_sent = false;
    bool answered = false;
  };
  /// An update to pass on and how often it still will be.
  struct Rumour {
    wire::MemberUpdate update;
    int sends_left = 0;
  };
  /// A ping made for another member, by its sequence here.
  struct Relay {
    HostId asker;
    int32_t asker_sequence = 0;
  };

  void Announce(std::vector<Outgoing>& out);
  std::vector<HostId> PickAlive(size_t count, const HostId& except);
  void StartProbe(TimePoint now, std::vector<Outgoing>& out);
  void AskOthers(std::vector<Outgoing>& out);
  void TellOfDoubt(const HostId& host, wire::MemberState::type claimed,
                   wire::Gossip& message) const;
  void EndProbe(TimePoint now);
  void EndSuspicions(TimePoint now);
  std::optional<HostId> NextTarget();
  wire::Gossip Make(wire::GossipKind::type kind, int32_t sequence);
  void Hear(const wire::MemberUpdate& update, TimePoint now);
  void HearSelf(const wire::MemberUpdate& update);
  void HearSender(const wire::Gossip& message, TimePoint now);
  void SetState(const HostId& host, Member& member,
                wire::MemberState::type state, int64_t incarnation,
                TimePoint now);
  void Spread(wire::MemberUpdate update);
  double Log2Members() const;
  void Refute(int64_t heard_incarnation);

  HostId m_self;
  int64_t m_incarnation;
  MembershipOptions m_options;
  std::mt19937_64 m_random;
  wire::MemberState::type m_own_state = wire::MemberState::ALIVE;
  std::map<HostId, Member> m_members;
  std::vector<HostId> m_order;
  size_t m_next = 0;
  std::optional<Probe> m_probe;
  std::optional<TimePoint> m_next_period;
  std::map<int32_t, Relay> m_relays;
  std::vector<Rumour> m_rumours;
  std::vector<MemberChange> m_changes;
  int32_t m_sequence = 0;
  ControlVersion m_control_version = 0;
  bool m_announce = false;
  ControlVersion m_newest_version = 0;
  HostId m_newest_holder;
};

}  // namespace peridotshelf::membership
