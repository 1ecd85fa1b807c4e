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
/// Engines are identified by the key of their incarnation. Not thread-safe.
class EngineRateLimits {
 public:
  explicit EngineRateLimits(uint64_t seed) : m_random(seed) {}

  /// Records that a request sent at `sent_at` was answered at `now` with this
  /// limit, or with none. Returns whether the limit changed.
  bool NoteAnswer(const std::string& engine, std::optional<double> per_second,
                  TimePoint sent_at, TimePoint now);
  /// Returns whether no engine is known to have, or to have had, a limit.
  bool empty() const { return m_engines.empty(); }
  /// Returns the limit of `engine`, if it has one.
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
  struct Engine {
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

    Duration Window() const;
    int64_t Expire(std::deque<Sends>& sends, TimePoint now) const;
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

  Engine* Find(std::string_view engine);
  const Engine* Find(std::string_view engine) const;

  std::mt19937_64 m_random;
  std::unordered_map<std::string, Engine> m_engines;
};

}  // namespace peridotshelf::scheduling
