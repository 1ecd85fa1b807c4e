/// Follows the configuration and the engines in the platform's store, announces
/// this gateway there and finds the other gateways.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/discovery/evacuations.h"
#include "peridotshelf/discovery/record_follower.h"
#include "peridotshelf/gateway/peer_exchange.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/routing/configuration.h"
#include "platform/settings_file.h"
#include "platform/store_topic.h"

namespace peridotshelf::program {

/// Callbacks, called on the thread of the `IoThreads`.
struct StoreCallbacks {
  /// Called when a newer configuration becomes active.
  std::function<void(std::shared_ptr<const routing::Configuration>)>
      on_configuration;
  /// Called for each registration that was read into the directory, with how
  /// much longer the engine stays cold, if it says so.
  std::function<void(const discovery::EngineRecord&, std::optional<Duration>)>
      on_registration;
  /// Called when engines register, start leaving or are removed.
  std::function<void()> on_engines;
  /// Called when the evacuated failure domains change.
  std::function<void()> on_evacuations;
};

/// Keeps configuration, evacuations and engines up to date from `Start` until
/// destroyed. What it shares with peers is implemented in
/// store_follower_peers.cc. All members except the constructor must be called
/// on the one thread of `threads`.
class StoreFollower {
 public:
  /// All referenced objects must outlive this object.
  StoreFollower(io::IoThreads& threads, http::Client& client,
                const deployment::ProcessSettings& settings,
                gateway::PeerExchange& peers,
                discovery::EngineDirectory& engines, StoreCallbacks callbacks);

  void Start();
  /// Returns whether a configuration and all engines have been read at least
  /// once.
  bool IsComplete() const { return m_has_all_engines && m_configuration; }
  /// Returns the active configuration; null until one has been read.
  const std::shared_ptr<const routing::Configuration>& configuration() const {
    return m_configuration;
  }
  /// Returns the number of failure domains that are evacuated.
  size_t CountEvacuatedDomains() const;
  /// Return the time since the store last answered about the configuration and
  /// about engines.
  Duration ConfigurationAge() const;
  Duration EnginesAge() const;

 private:
  using Follower = discovery::RecordFollower<deployment::StoreTopic>;
  using KeyedRecord = discovery::KeyedRecord;

  discovery::FollowCallbacks ConfigurationCallbacks();
  discovery::FollowCallbacks EngineCallbacks();
  void ApplyConfiguration(const std::vector<KeyedRecord>& records);
  /// Shares the evacuations with peers.
  void ShareEvacuations();
  void ApplyAllEvacuations(const std::vector<KeyedRecord>& records);
  void ApplyEvacuationChanges(const std::vector<KeyedRecord>& records);
  /// Logs `changes` and puts them in force. Returns whether there are any.
  bool NoteEvacuations(const discovery::Evacuations::Changes& changes);
  /// Schedules the end of the next hold.
  void ScheduleHoldEnd();
  void ApplyEngine(const KeyedRecord& record);
  void ApplyAllEngines(const std::vector<KeyedRecord>& records);
  /// Handles an engine entry that cannot be read.
  void RejectEngine(const std::string& id, const Error& error);
  /// Removes the engine `id`, whose registration is gone for `reason`.
  void RemoveEngine(const std::string& id, const char* reason);
  /// Logs an engine that has left although its registration is there, by
  /// `source`; schedules the time at which it may be taken to run again.
  void NoteOutdatedEngine(const std::string& engine, const char* source);
  /// Logs an engine whose registration is gone; if it is kept, schedules the
  /// end of its grace period.
  void NoteMissingEngine(const discovery::MissingEngine& engine,
                         const char* reason);
  void ExpireEngines();
  /// Adds engines that a restored store has and that turned out to run.
  void AddRunningEngines();
  int64_t Version() const;
  gateway::TopicPosition OperatorPosition() const;
  gateway::TopicPosition EnginesPosition() const;
  /// Tells peers which records this gateway has read.
  void ShareProgress();
  /// Polls at once if a peer has read newer records.
  void CatchUp(const gateway::RecordsProgress& peer);
  /// Ends a pause between failed calls if the store serves a peer.
  void RetryIfRead(const discovery::RegistryReads& peer_reads);
  /// Polls the configuration unless the call that waits for it is answered
  /// soon.
  void CatchUpConfiguration(int64_t peer_version);
  /// Polls the registrations if the peer has newer ones.
  void CatchUpEngines(const gateway::RecordsProgress& peer);
  bool HasOlderEngines(const gateway::RecordsProgress& peer) const;
  /// Reads the newer records that a peer has.
  void ReadNewer(Follower& follower);
  /// Returns whether there are so many entries that calls are worth saving.
  bool IsLargeFleet() const;
  /// Returns `delay` in larger fleets and zero in others.
  Duration CatchUpDelay(Duration delay) const;
  void AdjustTiming();
  /// Writes this entry into the store's list of entries, then reads the list.
  void AnnounceSelf();
  /// Reads the list of entries, and announces this one if it is not in it.
  void FindPeers();
  /// Reads it in a store that was restored and has `epoch` now.
  void FindPeersAgain(int64_t epoch);
  /// Spreads the calls of a large fleet.
  Duration DrawAnnounceDelay();
  void ApplyEntries(const std::vector<KeyedRecord>& records);
  /// Writes into the list that all entries know this one, for the process that
  /// follows this one.
  void MarkKnown();
  void RetryLater(const char* call, const Error& error,
                  std::function<void()> retry);

  io::IoThreads& m_threads;
  HostId m_host;
  Duration m_return_grace;
  Duration m_leave_bound;
  /// Time within which the operator's records must be in force.
  Duration m_operator_bound;
  std::string m_local_address;
  gateway::PeerExchange& m_peers;
  discovery::EngineDirectory& m_engines;
  StoreCallbacks m_callbacks;
  deployment::StoreTopic m_entry_topic;
  Follower m_configuration_follower;
  Follower m_engine_follower;
  std::shared_ptr<const routing::Configuration> m_configuration;
  /// Shared with the exchange.
  std::shared_ptr<discovery::Evacuations> m_evacuations;
  /// When the next check for ended holds is due.
  std::optional<TimePoint> m_hold_check_at;
  bool m_has_all_engines = false;
  /// A read because of a peer's newer configuration is scheduled.
  bool m_is_configuration_due = false;
  /// The same because of a peer's newer registrations.
  bool m_are_engines_due = false;
  int64_t m_listed_epoch = 0;
  bool m_has_announced = false;
  /// Whether the list says that all entries know this one.
  bool m_is_marked_known = false;
  std::mt19937_64 m_random{std::random_device()()};
  /// Keys of the engine entries that are invalid, with the reason that was
  /// logged last.
  std::map<std::string, std::string> m_rejected_entries;
};

}  // namespace peridotshelf::program
