/// A fleet of entries in virtual time that retries requests, and how the limit
/// on retries is judged at the engines.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

#include "peridotshelf/scheduling/fleet_retry_budget.h"
#include "peridotshelf/scheduling/fleet_view.h"

namespace peridotshelf::scheduling {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr TimePoint kBegin{std::chrono::hours(1)};
inline constexpr Duration kStep = milliseconds(10);
inline constexpr Duration kReportInterval = seconds(1);

/// What happens to the entries for a while.
enum class Trouble {
  kRestart,      ///< Processes are killed and start again.
  kReplace,      ///< They end for good, and others come at new addresses.
  kCut,          ///< They reach callers and engines, but no other entry.
  kFreeze,       ///< They stand still.
  kShift,        ///< The others get no requests.
  kHoldRetries,  ///< Retries wait until the end of the trouble.
  kNoFailure     ///< Their requests do not fail.
};

struct Event {
  Trouble trouble = Trouble::kRestart;
  int64_t at_ms = 0;
  int64_t for_ms = 0;
  /// Applies to the entries whose number has one of these bits.
  uint32_t entries = ~uint32_t{0};
};

struct Load {
  size_t entries = 5;
  /// Of all entries together.
  double requests_per_second = 70;
  double failed_share = 0.9;
  int64_t end_ms = 45000;
};

/// One process of an entry. Entries are known by the numbers of their
/// addresses.
struct Process {
  Process(const RetryLimits& limits, TimePoint now) : budget(limits, now) {}

  FleetRetryBudget budget;
  std::vector<bool> known;
  std::vector<bool> heard;
  bool is_known_to_all = false;

  static void Add(std::vector<bool>& addresses, size_t address) {
    if (addresses.size() <= address) addresses.resize(address + 1);
    addresses[address] = true;
  }
  void Hear(size_t address) {
    Add(known, address);
    Add(heard, address);
  }
  bool Knows(size_t address) const {
    return address < known.size() && known[address];
  }
  double Part() {
    KnownPeers peers{true, is_known_to_all, Count(known), Count(heard)};
    is_known_to_all = is_known_to_all || peers.HaveAllBeenHeard();
    return ComputeLimitPart(peers);
  }

 private:
  static size_t Count(const std::vector<bool>& addresses) {
    return static_cast<size_t>(
        std::count(addresses.begin(), addresses.end(), true));
  }
};

struct Outcome {
  std::vector<TimePoint> requests;
  std::vector<TimePoint> retries;
};

inline size_t CountIn(const std::vector<TimePoint>& times, TimePoint after,
                      TimePoint until) {
  return static_cast<size_t>(
      std::upper_bound(times.begin(), times.end(), until) -
      std::upper_bound(times.begin(), times.end(), after));
}

/// Retries that the limit allows in the window that ends at `end`: the requests
/// are those of that window, of the one before it or of the one half a window
/// before it, whichever has most.
inline double AllowedAt(const Outcome& outcome, const RetryLimits& limits,
                        TimePoint end) {
  const auto requests_until = [&](TimePoint until) {
    return CountIn(outcome.requests, until - limits.window, until);
  };
  const size_t requests =
      std::max({requests_until(end), requests_until(end - limits.window / 2),
                requests_until(end - limits.window)});
  return limits.ratio * static_cast<double>(requests) + limits.slack;
}

/// Returns which share of the allowed retries the window that ends at `end`
/// uses.
inline double UsedShare(const Outcome& outcome, const RetryLimits& limits,
                        TimePoint end) {
  return static_cast<double>(
             CountIn(outcome.retries, end - limits.window, end)) /
         AllowedAt(outcome, limits, end);
}

/// Returns the largest share of the allowed retries that a window uses.
inline double MaxUsedShare(const Outcome& outcome, const RetryLimits& limits) {
  double share = 0;
  for (const TimePoint end : outcome.retries) {
    share = std::max(share, UsedShare(outcome, limits, end));
  }
  return share;
}

/// Plays a fleet in virtual time.
class RetryingFleet {
 public:
  RetryingFleet(const Load& load, const RetryLimits& limits, uint64_t seed)
      : m_load(load), m_limits(limits), m_random(seed) {
    for (size_t i = 0; i < load.entries; ++i) {
      m_members.emplace_back(limits, kBegin, i);
      m_listed.push_back({i, false});
    }
    for (Member& member : m_members) ReadList(member);
  }

  Outcome Play(const std::vector<Event>& events) {
    const TimePoint end = kBegin + milliseconds(m_load.end_ms);
    for (m_now = kBegin; m_now < end; m_now += kStep) {
      for (const Event& event : events) Begin(event);
      if ((m_now - kBegin) % kReportInterval == Duration::zero()) {
        ExchangeReports(events);
      }
      for (size_t i = 0; i < m_members.size(); ++i) StepEntry(events, i);
    }
    return std::move(m_outcome);
  }

 private:
  struct Listed {
    size_t address = 0;
    bool is_known_to_all = false;
  };
  struct Member {
    Member(const RetryLimits& limits, TimePoint now, size_t own_address)
        : process(limits, now), address(own_address) {}

    Process process;
    size_t address;
    /// As of the last change of what the process knows.
    double part = 0;
    /// Requests that wait while the process stands still.
    int64_t unread = 0;
    int64_t waiting_retries = 0;
  };

  static bool Concerns(const Event& event, size_t entry) {
    return ((event.entries >> (entry % 32)) & 1U) != 0;
  }
  bool IsIn(const std::vector<Event>& events, Trouble trouble,
            size_t entry) const {
    return std::any_of(events.begin(), events.end(), [&](const Event& event) {
      const TimePoint from = kBegin + milliseconds(event.at_ms);
      return event.trouble == trouble && Concerns(event, entry) &&
             m_now >= from && m_now < from + milliseconds(event.for_ms);
    });
  }
  void Begin(const Event& event) {
    if (m_now != kBegin + event.at_ms / 10 * kStep) return;
    const bool replaces = event.trouble == Trouble::kReplace;
    if (!replaces && event.trouble != Trouble::kRestart) return;
    for (size_t i = 0; i < m_members.size(); ++i) {
      if (!Concerns(event, i)) continue;
      Listed& listed = m_listed[m_members[i].address];
      listed.is_known_to_all = m_members[i].process.is_known_to_all;
      size_t address = m_members[i].address;
      if (replaces) {
        address = m_listed.size();
        m_listed.push_back({address, false});
      }
      m_members[i] = Member(m_limits, m_now, address);
      ReadList(m_members[i]);
    }
  }
  /// The list keeps the addresses of entries that are gone.
  void ReadList(Member& member) {
    for (const Listed& listed : m_listed) {
      if (listed.address != member.address) {
        Process::Add(member.process.known, listed.address);
      }
    }
    member.process.is_known_to_all = m_listed[member.address].is_known_to_all;
    member.part = member.process.Part();
  }
  void ExchangeReports(const std::vector<Event>& events) {
    std::vector<Member*> reached;
    for (size_t i = 0; i < m_members.size(); ++i) {
      if (!IsIn(events, Trouble::kCut, i) &&
          !IsIn(events, Trouble::kFreeze, i)) {
        reached.push_back(&m_members[i]);
      }
    }
    for (Member* sender : reached) {
      for (Member* receiver : reached) {
        if (sender->process.Knows(receiver->address)) {
          receiver->process.Hear(sender->address);
        }
      }
    }
    for (Member* member : reached) member->part = member->process.Part();
  }
  void StepEntry(const std::vector<Event>& events, size_t entry) {
    Member& member = m_members[entry];
    const int64_t arrived = DrawRequests(events, entry);
    m_outcome.requests.insert(m_outcome.requests.end(),
                              static_cast<size_t>(arrived), m_now);
    member.unread += arrived;
    if (IsIn(events, Trouble::kFreeze, entry)) return;
    const bool may_fail = !IsIn(events, Trouble::kNoFailure, entry);
    for (; member.unread > 0; --member.unread) HandleRequest(member, may_fail);
    if (IsIn(events, Trouble::kHoldRetries, entry)) return;
    for (; member.waiting_retries > 0; --member.waiting_retries) {
      if (member.process.budget.TrySend(m_now, member.part)) {
        m_outcome.retries.push_back(m_now);
      }
    }
  }
  int64_t DrawRequests(const std::vector<Event>& events, size_t entry) {
    const bool is_shifted =
        std::any_of(events.begin(), events.end(), [&](const Event& event) {
          const TimePoint from = kBegin + milliseconds(event.at_ms);
          return event.trouble == Trouble::kShift && !Concerns(event, entry) &&
                 m_now >= from && m_now < from + milliseconds(event.for_ms);
        });
    if (is_shifted) return 0;
    const double per_step = m_load.requests_per_second /
                            static_cast<double>(m_members.size()) *
                            std::chrono::duration<double>(kStep).count();
    return std::poisson_distribution<int64_t>(per_step)(m_random);
  }
  void HandleRequest(Member& member, bool may_fail) {
    member.process.budget.NoteRequest(m_now, member.part);
    if (!may_fail) return;
    if (!std::bernoulli_distribution(m_load.failed_share)(m_random)) return;
    if (member.process.budget.TryClaim(m_now, member.part)) {
      ++member.waiting_retries;
    }
  }

  Load m_load;
  RetryLimits m_limits;
  std::mt19937_64 m_random;
  TimePoint m_now = kBegin;
  std::vector<Listed> m_listed;
  std::vector<Member> m_members;
  Outcome m_outcome;
};

}  // namespace peridotshelf::scheduling
