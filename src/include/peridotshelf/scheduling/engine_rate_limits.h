/// Keeps the requests of all entries to an engine within the rate that the
/// engine states, without a coordinator.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::scheduling {

/// What an entry tells its peers about the limit of one engine.
struct RateLimitReport {
  /// Requests per second that the engine accepts from all entries together;
  /// nullopt if its last response stated no limit.
  std::optional<double> per_second;
  /// When the engine stated it.
  TimePoint stated_at{};
  /// Requests that the entry has sent since it knows a limit of the engine.
  int64_t sent = 0;
  /// Those of them that still count against the limit.
  int64_t recently_sent = 0;
  /// Requests per second that the entry would like to send.
  double demand_per_second = 0;
};

/// The other entries that share the limits.
struct LimitSharers {
  /// Number of other live entries.
  size_t peers = 0;
  /// Time until all of them know of a request that this entry sends.
  Duration report_delay{};
  /// Number of other entries that may send, live or not; counts only if it is
  /// higher than `peers`.
  size_t fleet_peers = 0;
  /// Those of them that were not heard of lately.
  size_t silent_peers = 0;
  /// This entry does not know yet whether there are others.
  bool is_starting = false;
};

/// Most requests that a cold engine may get in any second: `overshoot` times
/// its limit and `slack`.
struct ColdBound {
  double overshoot = 1.5;
  double slack = 5;

  friend bool operator==(const ColdBound&, const ColdBound&) = default;
};

/// The limit of an engine that is cold.
struct ColdLimit {
  /// Requests per second that the engine tolerates from all entries together.
  double per_second = 0;
  ColdBound bound;
  /// End of the limit.
  TimePoint until{};
};

/// Limits are shared as follows. Each entry counts the requests that it and its
/// peers have sent to an engine within a sliding window, and admits none beyond
/// the limit. Within the report delay, entries do not know of each other's
/// requests; each therefore admits with the probability at which all contenders
/// together are expected to send what is left. This is the global random drop
/// of Raghavan et al., "Cloud Control with Distributed Rate Limiting" (SIGCOMM
/// 2007), on top of a shared count. Until the peers know of an entry's demand,
/// it assumes that theirs, which it may not know either, is as high as its own.
/// An entry that stops frees its share, since neither its demand nor new
/// requests are reported; its last requests count until the window has passed.
///
/// A cold engine has a second limit, which ends by itself and holds in any
/// second. It answers the load of a whole fleet that turns to an engine at the
/// same moment, since the engine is new and looks idle, or all of its service
/// are. Within the report delay each entry counts as one that may send:
/// - An entry tries once in a report delay. It is admitted with the probability
///   at which the entries that may try send half of what is left, so that the
///   count settles without exceeding it.
/// - Any entry may try whose demand is not reported yet; otherwise those that
///   reported demand may.
/// - An entry sends no more in a second than its part of the demand earns.
/// - Entries that were not heard of lately keep their part of the limit, so
///   that the parts of separated groups add up to the limit.
/// Where both limits apply, a request needs the consent of both.
///
/// Engines are identified by the key of their incarnation. Not thread-safe.
class EngineRateLimits {
 public:
  explicit EngineRateLimits(uint64_t seed) : m_random(seed) {}

  /// Limits `engine` as a cold one, or changes that limit.
  void SetColdLimit(const std::string& engine, const ColdLimit& limit);
  void EndColdLimit(std::string_view engine);
  /// Returns whether the cold limit of `engine` applies.
  bool IsCold(std::string_view engine, TimePoint now) const;
  /// Returns whether a request for `engine`, which is cold, has a chance to be
  /// admitted now. Costs no admission and is no demand.
  bool MayTryCold(std::string_view engine, TimePoint now) const;

  /// Records that a request sent at `sent_at` was answered at `now` with this
  /// limit, or with none. Returns whether the limit changed.
  bool NoteAnswer(const std::string& engine, std::optional<double> per_second,
                  TimePoint sent_at, TimePoint now);
  /// Returns whether no engine is known to have, or to have had, a limit.
  bool empty() const { return m_engines.empty(); }
  /// Returns the limit that `engine` states, if it has one.
  std::optional<double> FindLimit(std::string_view engine) const;
  /// Returns whether a request may be sent to `engine` now; true if it has no
  /// limit. `NoteSent` must follow before the next call if it is sent.
  bool TryAdmit(const std::string& engine, const LimitSharers& sharers,
                TimePoint now);
  /// Records that a request is sent to `engine`.
  void NoteSent(const std::string& engine, TimePoint now);
  /// Returns whether peers should be told that this entry has demand for
  /// `engine`, which it had not for a while.
  bool IsDemandNew(std::string_view engine, TimePoint now) const;
  /// Returns how many requests per second this entry can expect to send to
  /// `engine`; 0 if it has no limit.
  double ExpectedShare(std::string_view engine, TimePoint now) const;

  /// Returns the engines whose limits peers should know; forgets limits that
  /// ended long ago.
  std::vector<std::string> EnginesToReport(TimePoint now);
  /// Returns the report on `engine`; nullopt if there is nothing to report.
  std::optional<RateLimitReport> MakeReport(std::string_view engine,
                                            TimePoint now);
  /// Applies a report of `peer`. Returns whether the limit changed.
  bool ApplyReport(const std::string& peer, const std::string& engine,
                   const RateLimitReport& report, TimePoint now);
  /// Forgets an engine that is gone.
  void Forget(const std::string& engine) { m_engines.erase(engine); }
  /// Forgets the demand of a peer that has stopped or restarted.
  void RemovePeer(const std::string& peer);

 private:
  /// An exponentially weighted rate.
  struct Rate {
    double per_second = 0;
    TimePoint updated_at{};

    double At(TimePoint now) const;
    void Note(TimePoint now);
  };
  struct Peer {
    int64_t sent = 0;
    double demand_per_second = 0;
    TimePoint reported_at{};
  };
  struct Sends {
    TimePoint at{};
    int64_t count = 0;
  };
  struct Cold {
    ColdLimit limit;
    /// Requests are refused until then.
    TimePoint next_try_at{};
    TimePoint last_try_at{};
  };
  struct Engine {
    std::optional<Cold> cold;
    std::optional<double> per_second;
    TimePoint stated_at{};
    int64_t sent = 0;
    /// Requests within the window, in the order in which they became known.
    std::deque<Sends> local_sends;
    std::deque<Sends> peer_sends;
    Rate demand;
    /// First request of the current demand, and the newest one.
    TimePoint demand_since{};
    TimePoint last_demand_at{};
    std::unordered_map<std::string, Peer> peers;
    /// Requests are refused until then.
    TimePoint next_try_at{};

    bool IsCold(TimePoint now) const;
    /// Returns the requests per second that all entries aim at together; none
    /// if there is no limit.
    std::optional<double> TargetRate(TimePoint now) const;
    bool IsWorthReporting(TimePoint now) const;
    Duration Window() const;
    int64_t Expire(std::deque<Sends>& sends, TimePoint now) const;
    size_t CountPeersWithDemand(TimePoint now) const;
    double PeerDemand(TimePoint now) const;
    /// Returns the part of the limit that this entry's demand earns.
    double LocalShare(TimePoint now) const;
    bool IsDemandNew(TimePoint now) const;
    void NoteDemand(TimePoint now);
    /// Returns the probability at which a request is admitted while `remaining`
    /// requests are left in the window.
    double AdmissionProbability(double remaining, const LimitSharers& sharers,
                                TimePoint now) const;
  };

  /// Decides for the limit that the engine states.
  bool AdmitStated(Engine& limited, const LimitSharers& sharers, TimePoint now);
  /// Decides for the cold limit.
  bool AdmitCold(Engine& limited, const LimitSharers& sharers, TimePoint now);
  Engine* Find(std::string_view engine);
  const Engine* Find(std::string_view engine) const;

  std::mt19937_64 m_random;
  std::unordered_map<std::string, Engine> m_engines;
};

}  // namespace peridotshelf::scheduling
