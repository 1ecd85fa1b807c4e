// Evacuations in random schedules of writes, reads, restores, reports and
// restarts, in virtual time.
#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "peridotshelf/discovery/evacuations.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHoldTime = seconds(5);
constexpr size_t kEntries = 5;
constexpr int kDomains = 4;
constexpr int kSteps = 600;
constexpr uint64_t kSeeds = 300;

using DomainSet = std::set<FailureDomain>;

/// The operator's topic with all its epochs.
class Topic {
 public:
  Topic() : m_epochs(1) {}

  void Append(const EvacuationRecord& record) { Log().push_back(record); }
  void Restore(size_t length) {
    std::vector<EvacuationRecord> copy(
        Log().begin(), Log().begin() + static_cast<std::ptrdiff_t>(length));
    m_epochs.push_back(std::move(copy));
  }
  TopicPosition End() const {
    return {static_cast<int64_t>(m_epochs.size()),
            static_cast<int64_t>(m_epochs.back().size())};
  }
  std::span<const EvacuationRecord> Records(int64_t from, int64_t to) const {
    return std::span(m_epochs.back())
        .subspan(static_cast<size_t>(from), static_cast<size_t>(to - from));
  }
  DomainSet RecordedAt(const TopicPosition& position) const {
    const auto& log = m_epochs[static_cast<size_t>(position.epoch - 1)];
    DomainSet recorded;
    for (int64_t i = 0; i < position.offset; ++i) {
      const EvacuationRecord& record = log[static_cast<size_t>(i)];
      if (record.is_removed) {
        recorded.erase(record.domain);
      } else {
        recorded.insert(record.domain);
      }
    }
    return recorded;
  }

 private:
  std::vector<EvacuationRecord>& Log() { return m_epochs.back(); }

  std::vector<std::vector<EvacuationRecord>> m_epochs;
};

/// An entry that follows the topic, and what is checked about it.
struct Entry {
  Evacuations evacuations{kHoldTime};
  /// Of its follower; without it the next read is a full one.
  std::optional<TopicPosition> next;
  int64_t follower_epoch = 0;
  std::optional<TopicPosition> last_position;
  /// When the entry learned of the current epoch.
  TimePoint epoch_seen_at{};
  /// Domains that ended here, with the position that they ended at.
  std::map<FailureDomain, TopicPosition> ended;
};

class Simulation {
 public:
  explicit Simulation(uint64_t seed) : m_random(seed), m_entries(kEntries) {}

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      Step();
      for (Entry& entry : m_entries) Check(entry);
    }
  }

  /// All entries hear of everything, by reports alone but for one that reads.
  void Converge() {
    Read(m_entries[0]);
    Read(m_entries[0]);
    ReadToEnd(m_entries[0]);
    for (Entry& entry : m_entries) {
      Apply(entry, entry.evacuations.ApplyReport(
                       *m_entries[0].evacuations.MakeReport(m_now), m_now));
    }
    m_now += 2 * kHoldTime;
    for (Entry& entry : m_entries) {
      Apply(entry, entry.evacuations.EndHolds(m_now));
      CPPUNIT_ASSERT(Evacuated(entry) == m_topic.RecordedAt(m_topic.End()));
    }
  }

 private:
  int Draw(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
  }
  Entry& DrawEntry() { return m_entries[static_cast<size_t>(Draw(kEntries))]; }
  DomainSet Evacuated(const Entry& entry) const {
    const auto domains = entry.evacuations.FindEvacuated(m_now);
    return {domains.begin(), domains.end()};
  }

  void Step() {
    const int kind = Draw(100);
    if (kind < 12) {
      m_topic.Append({FailureDomain(std::string(
                          1, static_cast<char>('a' + Draw(kDomains)))),
                      Draw(2) == 0});
    } else if (kind < 14) {
      m_topic.Restore(static_cast<size_t>(
          Draw(static_cast<int>(m_topic.End().offset) + 1)));
    } else if (kind < 40) {
      Read(DrawEntry());
    } else if (kind < 60) {
      const auto report = DrawEntry().evacuations.MakeReport(m_now);
      if (report) m_reports.push_back(*report);
    } else if (kind < 84) {
      Deliver();
    } else if (kind < 86) {
      DrawEntry() = Entry();
    } else {
      m_now += milliseconds(Draw(700));
      for (Entry& entry : m_entries) {
        Apply(entry, entry.evacuations.EndHolds(m_now));
      }
    }
  }

  /// Delivers any report that is under way: late, twice or, if the schedule
  /// ends before, never.
  void Deliver() {
    if (m_reports.empty()) return;
    const size_t chosen =
        static_cast<size_t>(Draw(static_cast<int>(m_reports.size())));
    Entry& entry = DrawEntry();
    Apply(entry, entry.evacuations.ApplyReport(m_reports[chosen], m_now));
    if (Draw(2) == 0) {
      m_reports.erase(m_reports.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
  }

  /// One call of the entry's follower.
  void Read(Entry& entry) {
    const TopicPosition end = m_topic.End();
    const bool is_restored =
        entry.follower_epoch != 0 && entry.follower_epoch != end.epoch;
    entry.follower_epoch = end.epoch;
    if (is_restored) {
      entry.evacuations.NoteRestored(end.epoch, m_now);
      entry.next.reset();
      return;
    }
    // The history may be compacted.
    if (!entry.next || Draw(8) == 0) {
      entry.next = end;
      const DomainSet recorded = m_topic.RecordedAt(end);
      Apply(entry,
            entry.evacuations.ApplyFullRead(
                end, std::vector(recorded.begin(), recorded.end()), m_now));
      return;
    }
    const int64_t count =
        Draw(static_cast<int>(end.offset - entry.next->offset) + 1);
    ReadChanges(entry, entry.next->offset + count);
  }
  void ReadToEnd(Entry& entry) {
    if (entry.next) ReadChanges(entry, m_topic.End().offset);
  }
  void ReadChanges(Entry& entry, int64_t to) {
    const auto records = m_topic.Records(entry.next->offset, to);
    entry.next->offset = to;
    Apply(entry, entry.evacuations.ApplyChanges(*entry.next, records, m_now));
  }

  void Apply(Entry& entry, const Evacuations::Changes& changes) {
    const auto& position = entry.evacuations.position();
    if (position && (!entry.last_position ||
                     entry.last_position->epoch != position->epoch)) {
      entry.epoch_seen_at = m_now;
      entry.ended.clear();
    }
    // One read may hold a removal and a later record.
    const auto ended_before = entry.ended;
    for (const EvacuationChange& change : changes) {
      if (!change.has_started) {
        entry.ended[change.domain] = change.position;
        continue;
      }
      // Nothing that was known when it ended revives it.
      const auto ended = ended_before.find(change.domain);
      CPPUNIT_ASSERT(ended == ended_before.end() ||
                     ended->second.IsBehind(change.position));
    }
  }

  void Check(Entry& entry) {
    const auto report = entry.evacuations.MakeReport(m_now);
    if (!report) return;
    CPPUNIT_ASSERT(!entry.last_position ||
                   !report->position.IsBehind(*entry.last_position));
    entry.last_position = report->position;
    DomainSet recorded;
    for (const ReportedEvacuation& evacuation : report->evacuations) {
      if (evacuation.hold_left == Duration::zero()) {
        recorded.insert(evacuation.domain);
      } else {
        CPPUNIT_ASSERT(m_now < entry.epoch_seen_at + 2 * kHoldTime);
      }
    }
    CPPUNIT_ASSERT(recorded == m_topic.RecordedAt(report->position));
  }

  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  Topic m_topic;
  std::vector<Entry> m_entries;
  std::vector<EvacuationReport> m_reports;
};

class EvacuationSchedulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationSchedulesTest);
  CPPUNIT_TEST(Run_AnyOrder_KeepsTheStateOfItsPositionAndConverges);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against older reads and reports that end or revive evacuations, and
  // against entries that stay different.
  void Run_AnyOrder_KeepsTheStateOfItsPositionAndConverges() {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Simulation simulation(seed);
      simulation.Run();
      simulation.Converge();
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationSchedulesTest);

}  // namespace
}  // namespace peridotshelf::discovery
