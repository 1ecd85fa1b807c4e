#include "peridotshelf/store_follower.h"

#include <algorithm>
#include <utility>

#include "peridotshelf/discovery/shared_polling.h"
#include "peridotshelf/events/log.h"
#include "platform/configuration_json.h"
#include "platform/engine_registration.h"

namespace peridotshelf::program {
namespace {

using deployment::StoreTopic;
using discovery::EngineRecord;
using discovery::EngineState;
using discovery::KeyedRecord;
using discovery::MakeConfigurationTiming;
using discovery::MakeRegistrationTiming;
using events::EventId;

constexpr Duration kRetryDelay = std::chrono::seconds(1);
/// Time in which operators write an evacuation again that a restore lost, if
/// the settings state no bound.
constexpr Duration kDefaultEvacuationHold = std::chrono::seconds(5);
/// The registrations are read once more this long before kept engines are
/// removed.
constexpr Duration kFinalReadLead = std::chrono::milliseconds(200);

std::string_view ToString(discovery::ReadOutcome outcome) {
  switch (outcome) {
    case discovery::ReadOutcome::kCompleted:
      return "completed";
    case discovery::ReadOutcome::kHistoryLost:
      return "history_lost";
    case discovery::ReadOutcome::kFailed:
      return "failed";
    case discovery::ReadOutcome::kReplaced:
      return "replaced";
  }
  return "unknown";
}

void LogRead(const char* topic, const discovery::ReadReport& read) {
  events::Log(EventId::kStoreRead,
              {{"topic", topic},
               {"outcome", std::string(ToString(read.outcome))},
               {"from", read.from.value_or(-1)},
               {"wait_ms", ToMilliseconds(read.wait)},
               {"took_ms", ToMilliseconds(read.duration)},
               {"records", static_cast<int64_t>(read.record_count)},
               {"epoch", read.epoch.value_or(0)}});
}

void LogRestore(const char* topic, int64_t epoch) {
  events::Log(EventId::kStoreRestored, {{"topic", topic}, {"epoch", epoch}});
}

}  // namespace

StoreFollower::StoreFollower(io::IoThreads& threads, http::Client& client,
                             const deployment::ProcessSettings& settings,
                             gateway::PeerExchange& peers,
                             discovery::EngineDirectory& engines,
                             StoreCallbacks callbacks)
    : m_threads(threads),
      m_host(settings.host),
      m_return_grace(settings.registrations.return_grace),
      m_leave_bound(settings.engine_leave_bound),
      m_operator_bound(std::min(
          settings.configuration_bound,
          settings.evacuation_bound.value_or(settings.configuration_bound))),
      m_local_address(settings.peers.ToString()),
      m_peers(peers),
      m_engines(engines),
      m_callbacks(std::move(callbacks)),
      m_entry_topic(settings.store, deployment::kEntryTopic, client),
      m_configuration_follower(
          threads,
          StoreTopic(settings.store, deployment::kOperatorTopic, client),
          MakeConfigurationTiming(m_operator_bound, StoreTopic::kAnswerTimeout),
          ConfigurationCallbacks()),
      m_engine_follower(
          threads, StoreTopic(settings.store, deployment::kEngineTopic, client),
          MakeRegistrationTiming(1, settings.engine_leave_bound),
          EngineCallbacks()),
      m_evacuations(std::make_shared<discovery::Evacuations>(
          settings.evacuation_bound.value_or(kDefaultEvacuationHold))) {}

void StoreFollower::Start() {
  m_peers.OnPeerRecordsProgress(
      [this](const gateway::RecordsProgress& progress) { CatchUp(progress); });
  ShareEvacuations();
  AdjustTiming();
  m_configuration_follower.Start();
  m_engine_follower.Start();
  FindPeers();
}

int64_t StoreFollower::Version() const {
  return m_configuration ? m_configuration->version() : 0;
}

Duration StoreFollower::ConfigurationAge() const {
  return SteadyClock().Now() - m_configuration_follower.last_read_at();
}

Duration StoreFollower::EnginesAge() const {
  return SteadyClock().Now() - m_engine_follower.last_read_at();
}

discovery::FollowCallbacks StoreFollower::ConfigurationCallbacks() {
  discovery::FollowCallbacks callbacks;
  callbacks.on_all = [this](const auto& records) {
    ApplyAllEvacuations(records);
    ApplyConfiguration(records);
    ShareProgress();
  };
  callbacks.on_changes = [this](const auto& records) {
    ApplyEvacuationChanges(records);
    ApplyConfiguration(records);
    ShareProgress();
  };
  callbacks.on_read = [](const discovery::ReadReport& read) {
    LogRead(deployment::kOperatorTopic, read);
  };
  callbacks.on_restored = [this](int64_t epoch) {
    LogRestore(deployment::kOperatorTopic, epoch);
    m_evacuations->NoteRestored(epoch, SteadyClock().Now());
    FindPeersAgain(epoch);
  };
  callbacks.on_lost = [](const Error& error) {
    events::Log(EventId::kRegistryLost, {{"topic", deployment::kOperatorTopic},
                                         {"reason", error.detail}});
  };
  callbacks.on_recovered = [] {
    events::Log(EventId::kRegistryBack,
                {{"topic", deployment::kOperatorTopic}});
  };
  return callbacks;
}

void StoreFollower::ApplyConfiguration(
    const std::vector<KeyedRecord>& records) {
  const KeyedRecord* newest = nullptr;
  for (const KeyedRecord& record : records) {
    if (record.key == deployment::kConfigurationKey && record.value) {
      newest = &record;
    }
  }
  if (newest == nullptr) return;
  auto parsed = deployment::ParseConfiguration(*newest->value);
  if (!parsed) {
    events::Log(EventId::kConfigurationRejected,
                {{"reason", parsed.error().detail}});
    return;
  }
  // A delayed answer must not restore an older version.
  if (parsed->version() <= Version()) return;
  events::Log(EventId::kConfigurationAdopted,
              {{"config_version", parsed->version()},
               {"before", Version()},
               {"routes", static_cast<int64_t>(parsed->route_count())}});
  m_configuration =
      std::make_shared<const routing::Configuration>(std::move(*parsed));
  m_callbacks.on_configuration(m_configuration);
}

discovery::FollowCallbacks StoreFollower::EngineCallbacks() {
  discovery::FollowCallbacks callbacks;
  callbacks.on_all = [this](const auto& records) { ApplyAllEngines(records); };
  callbacks.on_changes = [this](const auto& records) {
    const TimePoint now = SteadyClock().Now();
    m_engines.BeginRead(now);
    for (const KeyedRecord& record : records) ApplyEngine(record);
    ShareProgress();
    if (!records.empty()) m_callbacks.on_engines();
  };
  callbacks.on_read = [](const discovery::ReadReport& read) {
    LogRead(deployment::kEngineTopic, read);
  };
  callbacks.on_restored = [this](int64_t epoch) {
    LogRestore(deployment::kEngineTopic, epoch);
    FindPeersAgain(epoch);
    m_engines.NoteRestored();
  };
  callbacks.on_lost = [](const Error& error) {
    events::Log(EventId::kRegistryLost, {{"topic", deployment::kEngineTopic},
                                         {"reason", error.detail}});
  };
  callbacks.on_recovered = [this] {
    events::Log(EventId::kRegistryBack,
                {{"topic", deployment::kEngineTopic},
                 {"unread_ms", ToMilliseconds(EnginesAge())}});
    // Their read times tell whether the store was available to others.
    m_peers.GreetLostPeers();
  };
  return callbacks;
}

void StoreFollower::ApplyAllEngines(const std::vector<KeyedRecord>& records) {
  const TimePoint now = SteadyClock().Now();
  m_engines.BeginRead(now);
  std::vector<std::string> ids;
  for (const KeyedRecord& record : records) {
    if (!record.value) continue;
    ids.push_back(record.key);
    ApplyEngine(record);
  }
  std::erase_if(m_rejected_entries, [&ids](const auto& rejected) {
    return std::find(ids.begin(), ids.end(), rejected.first) == ids.end();
  });
  for (const auto& engine : m_engines.KeepOnly(ids, now)) {
    NoteMissingEngine(engine, "not_listed");
  }
  m_has_all_engines = true;
  ShareProgress();
  m_callbacks.on_engines();
}

void StoreFollower::RemoveEngine(const std::string& id, const char* reason) {
  const auto missing = m_engines.Remove(id, SteadyClock().Now());
  if (missing) NoteMissingEngine(*missing, reason);
}

void StoreFollower::NoteMissingEngine(const discovery::MissingEngine& engine,
                                      const char* reason) {
  events::Log(engine.is_kept ? EventId::kEngineKept : EventId::kEngineGone,
              {{"engine", engine.engine}, {"reason", std::string(reason)}});
  if (engine.is_kept) {
    m_threads.RunAfter(m_return_grace - kFinalReadLead,
                       [this] { m_engine_follower.PollNow(); });
    m_threads.RunAfter(m_return_grace, [this] { ExpireEngines(); });
  }
}

void StoreFollower::ExpireEngines() {
  for (const auto& engine : m_engines.Expire(SteadyClock().Now())) {
    NoteMissingEngine(engine, "not_back");
  }
}

void StoreFollower::AddRunningEngines() {
  const auto added = m_engines.AddRunning(SteadyClock().Now());
  if (added.empty()) return;
  for (const std::string& engine : added) {
    events::Log(EventId::kEngineRegistered, {{"engine", engine}});
  }
  ShareProgress();
  m_callbacks.on_engines();
}

void StoreFollower::ApplyEngine(const KeyedRecord& record) {
  if (!record.value) {
    m_rejected_entries.erase(record.key);
    RemoveEngine(record.key, "removed");
    return;
  }
  const EngineRecord* current = m_engines.Find(record.key);
  const auto parsed =
      deployment::ParseEngineRegistration(record.key, *record.value);
  if (!parsed) {
    RejectEngine(record.key, parsed.error());
    return;
  }
  m_rejected_entries.erase(record.key);
  const bool is_new = current == nullptr || current->Key() != parsed->Key();
  const bool is_leaving = parsed->state == EngineState::kLeaving &&
                          (is_new || current->state != EngineState::kLeaving);
  if (!m_engines.Update(*parsed)) {
    NoteOutdatedEngine(parsed->Key(), "copy");
    return;
  }
  m_callbacks.on_registration(*parsed, parsed->cold_left);
  if (is_new || is_leaving) {
    events::Log(
        is_leaving ? EventId::kEngineLeaving : EventId::kEngineRegistered,
        {{"engine", parsed->Key()},
         {"address", parsed->address},
         {"service", parsed->service}});
  }
}

void StoreFollower::RejectEngine(const std::string& id, const Error& error) {
  std::string& reason = m_rejected_entries[id];
  if (reason != error.detail) {
    reason = error.detail;
    events::Log(EventId::kEngineEntryRejected,
                {{"id", id}, {"reason", reason}});
  }
  if (const auto engine = m_engines.Reject(id)) {
    NoteMissingEngine(*engine, "not_valid");
  }
}

void StoreFollower::NoteOutdatedEngine(const std::string& engine,
                                       const char* source) {
  events::Log(EventId::kEngineOutdated,
              {{"engine", engine}, {"source", source}});
  m_threads.RunAfter(m_engines.ReturnAfterRestore(),
                     [this] { AddRunningEngines(); });
}

gateway::TopicPosition StoreFollower::EnginesPosition() const {
  return {m_engine_follower.epoch(), m_engine_follower.next_offset()};
}

void StoreFollower::RetryLater(const char* call, const Error& error,
                               std::function<void()> retry) {
  events::Log(EventId::kPlatformCallFailed,
              {{"call", call}, {"reason", error.detail}});
  m_threads.RunAfter(kRetryDelay, std::move(retry));
}

}  // namespace peridotshelf::program
