/// Simulates entries and engines in virtual time, with requests that crash
/// engines, crashes of other causes, lost messages and restarts of entries.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "peridotshelf/quarantine/crash_quarantine.h"

namespace peridotshelf::quarantine {

struct ScheduleOptions {
  uint64_t seed = 1;
  size_t entries = 5;
  size_t engines = 20;
  /// What the crashing requests have in common.
  SuspectKind kind = SuspectKind::kPromptPart;
  /// Crashes that make it known.
  size_t known_after = 5;
  double message_loss = 0.2;
  Duration crashing_interval = std::chrono::milliseconds(300);
  /// No request crashes an engine outside this span.
  Duration crashing_from = std::chrono::seconds(5);
  Duration crashing_until = std::chrono::seconds(45);
  Duration sound_interval = std::chrono::milliseconds(40);
  /// Sound requests share one of so many subjects, besides what all share.
  size_t subjects = 8;
  /// Interval between crashes of other causes; none if zero. Each ends this
  /// share of the engines.
  Duration outage_interval{};
  double outage_share = 0.3;
  Duration outage_until = std::chrono::hours(1);
  /// Sound requests that are rejected before are not counted.
  Duration count_from{};
  /// Interval between restarts of a random entry; none if zero.
  Duration restart_interval{};
  Duration length = std::chrono::seconds(60);
};

class CrashSchedule {
 public:
  explicit CrashSchedule(const ScheduleOptions& options)
      : m_options(options), m_random(options.seed) {
    QuarantineOptions limits;

    m_limits = limits;
    m_entries.assign(options.entries, CrashQuarantine(limits));
    m_engines.resize(options.engines);
  }

  void Run() { RunFrom(kStart); }

  /// Goes on for two minutes in which the requests no longer crash engines.
  void RunMended() {
    m_is_mended = true;
    m_options.crashing_from = m_options.length;
    m_options.length += std::chrono::minutes(2);
    m_options.crashing_until = m_options.length;
    RunFrom(m_now);
  }

  /// Sends of crashing requests later than 3 s after the crash that makes them
  /// known.
  size_t late_sends() const {
    if (m_crashed_at.size() < m_options.known_after) return 0;
    const TimePoint from =
        m_crashed_at[m_options.known_after - 1] + std::chrono::seconds(3);
    return static_cast<size_t>(
        std::count_if(m_sent_at.begin(), m_sent_at.end(),
                      [from](TimePoint sent) { return sent >= from; }));
  }
  size_t crashes() const { return m_crashed_at.size(); }
  /// Sound requests that were rejected as quarantined.
  size_t rejected_sound() const { return m_rejected_sound; }
  size_t sound() const { return m_sound; }
  /// Entries that keep the crashing requests from the engines at the end.
  size_t CountQuarantining() const {
    return static_cast<size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto& entry) {
          const SuspectRecord* record = entry.Find(kCrashingId);
          return record != nullptr && record->quarantine.has_value();
        }));
  }

 private:
  static constexpr TimePoint kStart{std::chrono::hours(1)};
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr Duration kRestart = std::chrono::milliseconds(2500);
  static constexpr uint64_t kService = 7;
  static constexpr Suspect kShared{1, 0};
  static constexpr SuspectId kCrashingId = 2;
  static constexpr size_t kPeersToRepeat = 4;
  static constexpr size_t kRecordsToRepeat = 32;

  struct Running {
    uint64_t request = 0;
    size_t entry = 0;
    std::vector<Suspect> suspects;
    bool is_crashing = false;
    bool is_repeat = false;
    TimePoint sent_at{};
    TimePoint begins_at{};
    TimePoint ends_at{};
  };
  struct Engine {
    uint64_t incarnation = 0;
    TimePoint down_until{};
    std::vector<Running> running;
  };
  struct Message {
    TimePoint arrives_at{};
    TimePoint sent_at{};
    size_t to = 0;
    std::vector<SuspectRecord> records;
  };

  void RunFrom(TimePoint begin) {
    const TimePoint end = kStart + m_options.length;
    TimePoint next_sound = begin;
    TimePoint next_crashing = kStart + m_options.crashing_from;
    TimePoint next_outage = begin + m_options.outage_interval;
    TimePoint next_restart = begin + m_options.restart_interval;
    TimePoint next_repeat = begin;
    for (m_now = begin; m_now < end; m_now += kStep) {
      Deliver();
      for (size_t i = 0; i < m_entries.size(); ++i) {
        if (!m_entries[i].HasToReview()) continue;
        m_entries[i].Review(m_now);
        SendChanged(i);
      }
      AdvanceEngines();
      if (m_now >= next_sound) {
        next_sound += m_options.sound_interval;
        ++m_sound;
        Arrive(SoundSuspects(), /*is_crashing=*/false);
      }
      if (m_now >= next_crashing && m_now < kStart + m_options.crashing_until) {
        next_crashing += m_options.crashing_interval;
        Arrive({kShared, {kCrashingId, 1, m_options.kind}},
               /*is_crashing=*/true);
      }
      if (m_options.outage_interval > Duration::zero() &&
          m_now >= next_outage && m_now < kStart + m_options.outage_until) {
        next_outage += m_options.outage_interval;
        for (size_t i = 0; i < m_engines.size(); ++i) {
          if (Draw(1) < m_options.outage_share) Crash(i);
        }
      }
      if (m_options.restart_interval > Duration::zero() &&
          m_now >= next_restart) {
        next_restart += m_options.restart_interval;
        Restart(Pick(m_entries.size()));
      }
      if (m_now >= next_repeat) {
        next_repeat += std::chrono::seconds(1);
        for (size_t i = 0; i < m_entries.size(); ++i) Repeat(i);
      }
    }
  }

  double Draw(double below) {
    return std::uniform_real_distribution<double>(0, below)(m_random);
  }
  size_t Pick(size_t count) {
    return std::uniform_int_distribution<size_t>(0, count - 1)(m_random);
  }
  Duration DrawMillis(int from, int to) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(from, to)(m_random));
  }
  std::vector<Suspect> SoundSuspects() {
    return {kShared, {100 + Pick(m_options.subjects), 1, m_options.kind}};
  }

  void Arrive(std::vector<Suspect> suspects, bool is_crashing) {
    Running request;
    request.request = ++m_last_request;
    request.entry = Pick(m_entries.size());
    request.suspects = std::move(suspects);
    request.is_crashing = is_crashing;
    Send(std::move(request));
  }

  void Send(Running request) {
    CrashQuarantine& entry = m_entries[request.entry];
    const EntryTurn turn{request.entry, m_entries.size()};
    if (!entry.Admit(request.request, request.suspects, turn, m_now)
             .is_admitted) {
      if (!request.is_crashing && m_now >= kStart + m_options.count_from) {
        ++m_rejected_sound;
      }
      return;
    }
    std::vector<size_t> up;
    for (size_t i = 0; i < m_engines.size(); ++i) {
      if (m_engines[i].down_until <= m_now) up.push_back(i);
    }
    if (up.empty()) return;
    if (request.is_crashing) m_sent_at.push_back(m_now);
    request.sent_at = m_now;
    request.begins_at = m_now + DrawMillis(60, 400);
    request.ends_at = request.begins_at + DrawMillis(50, 1500);
    m_engines[up[Pick(up.size())]].running.push_back(std::move(request));
  }

  void AdvanceEngines() {
    for (size_t i = 0; i < m_engines.size(); ++i) {
      Engine& engine = m_engines[i];
      const bool crashes = std::any_of(
          engine.running.begin(), engine.running.end(), [this](const auto& r) {
            return !m_is_mended && r.is_crashing && r.begins_at <= m_now;
          });
      if (crashes) {
        m_crashed_at.push_back(m_now);
        Crash(i);
        continue;
      }
      for (const Running& request : engine.running) {
        if (request.ends_at > m_now) continue;
        m_entries[request.entry].NoteCompleted(kService, request.suspects,
                                               m_now);
        SendChanged(request.entry);
      }
      std::erase_if(engine.running,
                    [this](const auto& r) { return r.ends_at <= m_now; });
    }
  }

  void Crash(size_t index) {
    Engine& engine = m_engines[index];
    if (engine.down_until > m_now) return;
    const uint64_t incarnation = index * 1000 + ++engine.incarnation;
    engine.down_until = m_now + kRestart;
    const std::vector<Running> broken = std::exchange(engine.running, {});
    for (size_t entry = 0; entry < m_entries.size(); ++entry) {
      std::vector<CrashedRequest> requests;
      for (const Running& request : broken) {
        if (request.entry != entry) continue;
        const bool has_begun =
            !request.is_crashing && request.begins_at <= m_now;
        if (has_begun) continue;
        requests.push_back(
            {request.request, request.sent_at, request.suspects});
      }
      if (requests.empty()) continue;
      m_entries[entry].NoteCrash({incarnation, kService, m_now, requests},
                                 m_now);
      SendChanged(entry);
    }
    for (Running request : broken) {
      if (std::exchange(request.is_repeat, true)) continue;
      Send(std::move(request));
    }
  }

  void SendChanged(size_t from) {
    const auto records = m_entries[from].TakeChanged();
    if (records.empty()) return;
    for (size_t to = 0; to < m_entries.size(); ++to) {
      if (to == from) continue;
      SendMessage(to, records);
      SendMessage(to, records);
    }
  }
  void Repeat(size_t from) {
    const auto records = m_entries[from].NextToRepeat(kRecordsToRepeat, m_now);
    if (records.empty()) return;
    for (size_t i = 0; i < kPeersToRepeat; ++i) {
      SendMessage(Pick(m_entries.size()), records);
    }
  }
  void SendMessage(size_t to, const std::vector<SuspectRecord>& records) {
    if (Draw(1) < m_options.message_loss) return;
    m_messages.push_back({m_now + DrawMillis(5, 60), m_now, to, records});
  }
  void Deliver() {
    std::vector<Message> due;
    std::erase_if(m_messages, [&](Message& message) {
      if (message.arrives_at > m_now) return false;
      due.push_back(std::move(message));
      return true;
    });
    for (Message& message : due) {
      // Times are sent as ages, so they are late by the transit time.
      const Duration transit = m_now - message.sent_at;
      for (SuspectRecord& record : message.records) {
        for (CrashSighting& sighting : record.sightings) {
          sighting.sent_at += transit;
          sighting.crashed_at += transit;
        }
        if (record.completed_at) *record.completed_at += transit;
        if (record.quarantine) {
          record.quarantine->since += transit;
          record.quarantine->until += transit;
        }
      }
      m_entries[message.to].Apply(message.records, m_now);
    }
  }
  void Restart(size_t entry) {
    m_entries[entry] = CrashQuarantine(m_limits);
    for (Engine& engine : m_engines) {
      std::erase_if(engine.running,
                    [entry](const auto& r) { return r.entry == entry; });
    }
    for (size_t peer = 0; peer < m_entries.size(); ++peer) {
      if (peer != entry) {
        SendMessage(entry, m_entries[peer].Quarantined(kRecordsToRepeat));
      }
    }
  }

  ScheduleOptions m_options;
  std::mt19937_64 m_random;
  QuarantineOptions m_limits;
  TimePoint m_now{};
  std::vector<CrashQuarantine> m_entries;
  std::vector<Engine> m_engines;
  std::vector<Message> m_messages;
  std::vector<TimePoint> m_crashed_at;
  std::vector<TimePoint> m_sent_at;
  uint64_t m_last_request = 0;
  size_t m_rejected_sound = 0;
  size_t m_sound = 0;
  bool m_is_mended = false;
};

}  // namespace peridotshelf::quarantine
