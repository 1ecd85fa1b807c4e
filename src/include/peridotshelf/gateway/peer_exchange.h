/// Exchanges the active requests of this entry with other entries.
///
/// Datagrams carry state, not changes: each lists all requests at the engines
/// that it names, so the next datagram makes up for a lost one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "peridotshelf/base/error.h"
#include "peridotshelf/discovery/cold_engines.h"
#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/discovery/evacuations.h"
#include "peridotshelf/discovery/topic_position.h"
#include "peridotshelf/io/io_threads.h"
#include "peridotshelf/quarantine/crash_quarantine.h"
#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/engine_rate_limits.h"
#include "peridotshelf/scheduling/fleet_view.h"

namespace peridotshelf::gateway {

/// Address at which an entry receives datagrams.
struct PeerAddress {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

using discovery::TopicPosition;

/// The newest read of a topic by an entry. An entry with the same position
/// knows by it that it had missed no record at that time.
struct TopicRead {
  TopicPosition position;
  TimePoint at{};
};

/// How far an entry has read the platform's records.
struct RecordsProgress {
  /// Version of the configuration; 0 if there is none.
  int64_t configuration_version = 0;
  /// Digest that changes when an engine is added, starts to leave or is
  /// removed.
  int64_t engines_digest = 0;
  /// How far the registrations are read.
  TopicPosition engines_position;
  /// When the entry read the registrations; none before the first read.
  std::optional<discovery::RegistryReads> registry_reads;
  /// The entry's newest read of the operator's records; none before the first.
  std::optional<TopicRead> operator_read;
  /// Keys of the engines that leave or have left, by the registrations that the
  /// entry has read. A peer gets them only as it starts.
  std::vector<std::string> departed_engines;
};

struct PeerExchangeOptions {
  PeerAddress local_address;
  /// Delay before ends and progress of requests are sent, so that several share
  /// a datagram. Starts are sent at once: until they are known, other entries
  /// place their own requests at the same engines.
  Duration batch_delay = std::chrono::milliseconds(20);
  /// Interval at which all active requests are reported.
  Duration full_report_interval = std::chrono::seconds(1);
  /// Time from sending a report until the peer has applied it.
  Duration transit_time = std::chrono::milliseconds(50);
  /// A peer that sends nothing for this long is considered stopped.
  Duration peer_timeout = std::chrono::milliseconds(3500);
  /// The requests of a peer that sends nothing for this long, two full reports,
  /// are not known any more.
  Duration silence_time = std::chrono::seconds(2);
  /// A peer that was neither heard nor listed for this long, more than the
  /// longest time for which regions lose each other, has no part of limits.
  Duration forget_time = std::chrono::hours(2);
  /// Time after the start in which peers may not have reported yet.
  Duration start_time = std::chrono::seconds(2);
};

/// Updates `active_request_table` with the requests of peers. All members are
/// called on the one thread of `threads`.
class PeerExchange {
 public:
  /// Binds the local address. Nothing is received or reported before `Start`.
  /// This and the setters of callbacks may be called on another thread until
  /// then.
  static Result<std::unique_ptr<PeerExchange>> Create(
      io::IoThreads& threads,
      scheduling::ActiveRequestTable& active_request_table,
      const PeerExchangeOptions& options);
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Begins to receive and to report. Call it once, after all callbacks are
  /// set. Thread-safe.
  void Start();
  /// Adds a peer by its address, "IP:PORT"; ignores this entry's address.
  void AddPeer(const std::string& address);
  /// Reports that all entries of the platform's list were added, and that this
  /// entry is in the list; `is_known_to_all` as in `scheduling::KnownPeers`.
  void NoteEntriesListed(bool is_known_to_all);
  /// Returns whether all entries know this one.
  bool IsKnownToAll() const;
  /// Asks the peers that are considered stopped for a report, for an entry that
  /// may have been cut off from them.
  void GreetLostPeers();
  /// Reports at once that a local request starts at `engine`.
  void NoteStart(const std::string& engine);
  /// Reports within the batch delay that local requests at `engine` changed.
  void NoteChange(const std::string& engine);
  /// Sets the callback for changes of a peer's requests.
  void OnPeerChange(std::function<void()> callback);
  /// Exchanges the limits of engines: `limits` is reported to peers and
  /// receives their reports, `on_change` the engines whose limits a peer
  /// changed.
  void ShareRateLimits(
      std::shared_ptr<scheduling::EngineRateLimits> limits,
      std::function<void(const std::string& engine)> on_change);
  /// Exchanges until when engines are cold. `on_change` receives the engines
  /// about which a peer knew something newer.
  void ShareColdEngines(
      std::shared_ptr<discovery::ColdEngines> cold_engines,
      std::function<void(const std::string& engine)> on_change);
  /// Returns the other entries and how late they learn of a request.
  scheduling::LimitSharers LimitSharers() const;
  /// Exchanges what entries know of requests that crash engines.
  /// `on_quarantine` receives the suspects that a peer's report quarantines.
  void ShareSuspects(std::shared_ptr<quarantine::CrashQuarantine> suspects,
                     std::function<void(std::span<const quarantine::SuspectId>)>
                         on_quarantine);
  /// Reports at once what changed about suspects here.
  void ReportSuspects();
  /// Returns the position of this entry among the live ones.
  quarantine::EntryTurn Turn() const;
  /// Tells peers that an engine said to this entry that it leaves: at once, and
  /// for a minute with each full report.
  void ReportLeaving(const std::string& engine);
  /// Sets the callback that receives the engines that told a peer so.
  void OnPeerLeaving(
      std::function<void(std::span<const std::string>)> callback);
  /// Exchanges the evacuations of failure domains: `evacuations` is reported
  /// with each full report and receives peers' reports, `on_changes` what these
  /// changed.
  void ShareEvacuations(
      std::shared_ptr<discovery::Evacuations> evacuations,
      std::function<void(const discovery::Evacuations::Changes&)> on_changes);
  /// Reports the evacuations at once.
  void ReportEvacuations();
  /// Sets how far this entry has read. If the configuration or the engines
  /// changed, peers are notified without waiting for the next full report, so
  /// that peers that are behind catch up.
  void SetRecordsProgress(const RecordsProgress& progress);
  /// Sets the callback that receives a peer's progress.
  void OnPeerRecordsProgress(
      std::function<void(const RecordsProgress&)> callback);
  /// Returns the number of live entries, including this one.
  size_t CountLiveEntries() const;
  /// Returns which part of a limit that all entries share this one may use,
  /// from 0 to 1. In contrast to `CountLiveEntries`, entries count that are not
  /// heard.
  double LimitPart() const;

 private:
  struct Impl;
  explicit PeerExchange(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

}  // namespace peridotshelf::gateway
