/// What a gateway follows in the platform's store, and how gateways find and
/// tell each other.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/discovery/record_follower.h"
#include "peridotshelf/gateway/peer_exchange.h"
#include "peridotshelf/http/client.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/routing/configuration.h"
#include "platform/settings_file.h"
#include "platform/store_topic.h"

namespace peridotshelf::program {

/// Told on the thread of the `IoThreads`.
struct StoreCallbacks {
  /// A newer configuration is in force.
  std::function<void(std::shared_ptr<const routing::Configuration>)>
      on_configuration;
  /// Engines came, leave or went.
  std::function<void()> on_engines;
};

/// Keeps configuration and engines up to date from `Start` until destroyed. All
/// members but the constructor are called on the one thread of `threads`.
class StoreFollowing {
 public:
  /// All references outlive this object.
  StoreFollowing(io::IoThreads& threads, http::Client& client,
                 const deployment::ProcessSettings& settings,
                 gateway::PeerExchange& peers,
                 discovery::EngineDirectory& engines, StoreCallbacks callbacks);

  void Start();
  /// Whether a configuration and all engines have been read once.
  bool IsComplete() const { return m_engines_known && m_configuration; }
  /// The configuration in force; null before the first.
  const std::shared_ptr<const routing::Configuration>& configuration() const {
    return m_configuration;
  }
  /// Since the store last answered about the configuration and about engines.
  Duration ConfigurationAge() const;
  Duration EnginesAge() const;

 private:
  using Follower = discovery::RecordFollower<deployment::StoreTopic>;
  using KeyedRecord = discovery::KeyedRecord;

  discovery::FollowCallbacks ConfigurationCallbacks();
  discovery::FollowCallbacks EngineCallbacks();
  void TakeConfiguration(const std::vector<KeyedRecord>& records);
  void TakeEngine(const KeyedRecord& record);
  void TakeAllEngines(const std::vector<KeyedRecord>& records);
  int64_t Version() const;
  /// Tells peers how far this gateway has read.
  void ShareView();
  /// Reads on at once where a peer knows of something newer.
  void CatchUp(const gateway::RecordsView& peer);
  void AdjustTiming();
  void AnnounceSelf();
  void FindPeers();
  void AddPeers(const std::vector<KeyedRecord>& records);
  void RetryLater(const char* call, const Error& error,
                  std::function<void()> again);

  io::IoThreads& m_threads;
  HostId m_host;
  std::string m_own_address;
  gateway::PeerExchange& m_peers;
  discovery::EngineDirectory& m_engines;
  StoreCallbacks m_callbacks;
  deployment::StoreTopic m_entry_topic;
  Follower m_configuration_follower;
  Follower m_engine_follower;
  std::shared_ptr<const routing::Configuration> m_configuration;
  bool m_engines_known = false;
  /// Entries that could not be read and were logged.
  std::set<std::string> m_rejected_entries;
};

}  // namespace peridotshelf::program
