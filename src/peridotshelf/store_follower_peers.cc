#include <nlohmann/json.hpp>
#include <utility>

#include "peridotshelf/discovery/shared_polling.h"
#include "peridotshelf/store_follower.h"

namespace peridotshelf::program {
namespace {

using deployment::StoreTopic;
using discovery::KeyedRecord;
using discovery::MakeConfigurationTiming;
using discovery::MakeRegistrationTiming;

/// A peer's read is no older than this if the store serves it.
constexpr Duration kRecentRead = std::chrono::seconds(1);
/// The calls of all entries that wait for a configuration are answered at the
/// same time. Only an entry whose answer is lost needs a peer's word, so in
/// larger fleets it waits for its own answer first.
constexpr Duration kConfigurationDelay = std::chrono::milliseconds(250);
/// Registrations often change in groups, so an entry of a larger fleet that
/// hears of a change waits for this fraction of the time for which leaving
/// engines may receive requests, and reads the group at once.
constexpr int kLeaveBoundsPerDelay = 10;
constexpr Duration kAnnounceSpread = std::chrono::seconds(1);
constexpr Duration kTimingUpdateInterval = std::chrono::seconds(1);

}  // namespace

void StoreFollower::ShareProgress() {
  gateway::RecordsProgress progress;
  progress.configuration_version = Version();
  progress.engines_digest = m_engines.ComputeDigest();
  progress.engines_position = EnginesPosition();
  if (m_has_all_engines) progress.registry_reads = m_engines.reads();
  if (m_configuration) {
    progress.operator_read = gateway::TopicRead{
        OperatorPosition(), m_configuration_follower.last_read_at()};
  }
  progress.departed_engines = m_engines.FindDeparted();
  m_peers.SetRecordsProgress(progress);
}

void StoreFollower::RetryIfRead(const discovery::RegistryReads& peer_reads) {
  if (SteadyClock().Now() - peer_reads.last > kRecentRead) return;
  m_configuration_follower.RetryNow(discovery::kMaxRetryPause);
  m_engine_follower.RetryNow(discovery::kMaxRetryPause);
}

void StoreFollower::CatchUpConfiguration(int64_t peer_version) {
  if (peer_version <= Version() ||
      std::exchange(m_is_configuration_due, true)) {
    return;
  }
  m_threads.RunAfter(CatchUpDelay(kConfigurationDelay), [this, peer_version] {
    m_is_configuration_due = false;
    if (peer_version > Version()) ReadNewer(m_configuration_follower);
  });
}

bool StoreFollower::HasOlderEngines(
    const gateway::RecordsProgress& peer) const {
  return EnginesPosition().IsBehind(peer.engines_position) &&
         peer.engines_digest != m_engines.ComputeDigest();
}

void StoreFollower::CatchUpEngines(const gateway::RecordsProgress& peer) {
  if (!HasOlderEngines(peer) || std::exchange(m_are_engines_due, true)) return;
  const Duration delay = CatchUpDelay(m_leave_bound / kLeaveBoundsPerDelay);
  m_threads.RunAfter(delay, [this, peer] {
    m_are_engines_due = false;
    if (HasOlderEngines(peer)) ReadNewer(m_engine_follower);
  });
}

void StoreFollower::ReadNewer(Follower& follower) {
  // A store that turns this entry away does not answer sooner because peers
  // have newer records.
  if (IsLargeFleet() && follower.is_lost()) {
    follower.RetryNow(discovery::kMaxRetryPause);
  } else {
    follower.PollNow();
  }
}

bool StoreFollower::IsLargeFleet() const {
  return static_cast<int64_t>(m_peers.CountLiveEntries()) >
         discovery::kMinEntriesToSpread;
}

Duration StoreFollower::CatchUpDelay(Duration delay) const {
  return IsLargeFleet() ? delay : Duration::zero();
}

void StoreFollower::CatchUp(const gateway::RecordsProgress& peer) {
  if (peer.registry_reads) RetryIfRead(*peer.registry_reads);
  if (peer.operator_read &&
      peer.operator_read->position == OperatorPosition()) {
    m_configuration_follower.NoteFresh(peer.operator_read->at);
  }
  if (peer.registry_reads &&
      m_engines.NotePeerReads(*peer.registry_reads, peer.engines_digest)) {
    m_engine_follower.NoteFresh(peer.registry_reads->last);
  }
  for (const std::string& engine :
       m_engines.NotePeerDeparted(peer.departed_engines, SteadyClock().Now())) {
    NoteOutdatedEngine(engine, "peer");
  }
  ExpireEngines();
  CatchUpConfiguration(peer.configuration_version);
  CatchUpEngines(peer);
}

void StoreFollower::AdjustTiming() {
  m_threads.RunAfter(kTimingUpdateInterval, [this] { AdjustTiming(); });
  const size_t live = m_peers.CountLiveEntries();
  auto registration_timing = MakeRegistrationTiming(live, m_leave_bound);
  registration_timing.max_retry_pause =
      discovery::ShareRetryPause(live, IsComplete());
  m_engine_follower.SetTiming(registration_timing);
  auto configuration_timing = MakeConfigurationTiming(
      m_operator_bound, StoreTopic::kAnswerTimeout, live);
  configuration_timing.max_retry_pause = registration_timing.max_retry_pause;
  m_configuration_follower.SetTiming(configuration_timing);
  MarkKnown();
}

void StoreFollower::AnnounceSelf() {
  m_is_marked_known = m_peers.IsKnownToAll();
  const nlohmann::json value = {{"address", m_local_address},
                                {"host", m_host.value()},
                                {"known_to_all", m_is_marked_known}};
  // The callback runs on the client's thread, possibly after this object is
  // destroyed.
  m_entry_topic.Put(m_host.value(), value.dump(),
                    [this, threads = &m_threads](const Result<void>& done) {
                      threads->Post([this, done] {
                        if (done) {
                          // Entries whose reads were too early to find this one
                          // have announced themselves by now.
                          FindPeers();
                        } else {
                          RetryLater("announce", done.error(),
                                     [this] { AnnounceSelf(); });
                        }
                      });
                    });
}

void StoreFollower::FindPeersAgain(int64_t epoch) {
  if (std::exchange(m_listed_epoch, epoch) == epoch) return;
  m_threads.RunAfter(DrawAnnounceDelay(), [this] { FindPeers(); });
}

Duration StoreFollower::DrawAnnounceDelay() {
  std::uniform_int_distribution<Duration::rep> delay(
      0, Duration(kAnnounceSpread).count());
  return Duration(delay(m_random));
}

void StoreFollower::FindPeers() {
  m_entry_topic.ReadNewest(
      [this, threads = &m_threads](Result<discovery::RecordPage> page) {
        threads->Post([this, page = std::move(page)] {
          if (page) {
            ApplyEntries(page->records);
          } else {
            RetryLater("find_entries", page.error(), [this] { FindPeers(); });
          }
        });
      });
}

void StoreFollower::ApplyEntries(const std::vector<KeyedRecord>& records) {
  bool is_listed = false;
  for (const KeyedRecord& record : records) {
    if (!record.value) continue;
    const auto entry = nlohmann::json::parse(*record.value, nullptr,
                                             /*allow_exceptions=*/false);
    if (!entry.is_object() || !entry.contains("address") ||
        !entry["address"].is_string()) {
      continue;
    }
    const auto address = entry["address"].get<std::string>();
    m_peers.AddPeer(address);
    if (record.key != m_host.value() || address != m_local_address) continue;
    is_listed = true;
    const auto mark = entry.find("known_to_all");
    m_is_marked_known = mark != entry.end() && *mark == true;
  }
  if (is_listed) {
    m_peers.NoteEntriesListed(m_is_marked_known);
  } else if (std::exchange(m_has_announced, true)) {
    // A restored store may have lost the announcement.
    m_threads.RunAfter(kAnnounceSpread, [this] { AnnounceSelf(); });
  } else {
    AnnounceSelf();
  }
}

void StoreFollower::MarkKnown() {
  if (m_is_marked_known || !m_peers.IsKnownToAll()) return;
  m_is_marked_known = true;
  m_threads.RunAfter(DrawAnnounceDelay(), [this] { AnnounceSelf(); });
}

}  // namespace peridotshelf::program
