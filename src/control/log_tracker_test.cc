#include "peridotshelf/control/log_tracker.h"

#include "control/test_records.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

/// A log in memory whose records can expire.
struct FakeLog {
  int64_t first_offset = 1;
  std::vector<platform::LogRecord> records;

  void Append(std::string payload) {
    records.push_back({next_offset(), std::move(payload)});
  }
  int64_t next_offset() const {
    return first_offset + static_cast<int64_t>(records.size());
  }
  void Expire(size_t count) {
    records.erase(records.begin(), records.begin() + count);
    first_offset += static_cast<int64_t>(count);
  }
  platform::LogPage Read(int64_t from) const {
    platform::LogPage page;
    for (const auto& record : records) {
      if (record.offset >= from) page.records.push_back(record);
    }
    page.first_offset = first_offset;
    page.next_offset = next_offset();
    return page;
  }
};

TrackerUpdate ReadOnce(LogTracker& tracker, const FakeLog& log) {
  const int64_t from = tracker.next_offset();
  return tracker.ApplyPage(from, log.Read(from));
}

void AppendPresets(FakeLog& log, int count) {
  for (int i = 0; i < count; ++i) {
    log.Append(PresetChange("p" + std::to_string(log.next_offset()),
                            log.next_offset() - 1,
                            i % 2 == 0 ? "peak" : "ordinary"));
  }
}

class LogTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTrackerTest);
  CPPUNIT_TEST(Newcomer_WholeHistory_IsReadyAtItsEnd);
  CPPUNIT_TEST(Newcomer_HalfTheHistory_IsNotReady);
  CPPUNIT_TEST(Newcomer_EmptyLog_HasNoConfiguration);
  CPPUNIT_TEST(Newcomer_TruncatedLogWithoutSnapshot_IsNotReady);
  CPPUNIT_TEST(Newcomer_TruncatedLogWithSnapshot_FoldsFromIt);
  CPPUNIT_TEST(Newcomer_SnapshotWithHoleBehind_IsNotReady);
  CPPUNIT_TEST(Newcomer_TruncatedLogWithPeer_TakesPeersState);
  CPPUNIT_TEST(Sleeper_TenVersionsBehind_CatchesUp);
  CPPUNIT_TEST(Sleeper_RecordExpiredUnread_KeepsStateUntilSnapshot);
  CPPUNIT_TEST(Peer_WithOlderState_IsIgnored);
  CPPUNIT_TEST(Peer_WithNewerState_IsAdoptedAndLogContinues);
  CPPUNIT_TEST(Read_OvertakenByPeersState_ChangesNothing);
  CPPUNIT_TEST(Interleaving_Any_VersionNeverGoesBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_log = FakeLog();
    m_log.Append(Config("c1", 0));
    AppendPresets(m_log, 4);
  }

  void Newcomer_WholeHistory_IsReadyAtItsEnd() {
    LogTracker tracker;
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kLogUnread);
    ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kReady);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{5}, tracker.state().control.version);
  }
  void Newcomer_HalfTheHistory_IsNotReady() {
    LogTracker tracker;
    platform::LogPage page = m_log.Read(1);
    page.records.resize(2);
    tracker.ApplyPage(1, page);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kCatchingUp);
    ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kReady);
  }
  void Newcomer_EmptyLog_HasNoConfiguration() {
    LogTracker tracker;
    ReadOnce(tracker, FakeLog());
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kNoConfiguration);
  }
  void Newcomer_TruncatedLogWithoutSnapshot_IsNotReady() {
    m_log.Expire(1);
    LogTracker tracker;
    CPPUNIT_ASSERT(ReadOnce(tracker, m_log).found_gap);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kHistoryLost);
    m_log.Expire(4);
    LogTracker other;
    ReadOnce(other, m_log);
    CPPUNIT_ASSERT(other.readiness() == Readiness::kHistoryLost);
  }
  void Newcomer_TruncatedLogWithSnapshot_FoldsFromIt() {
    const LogState state = FoldedState();
    AppendPresets(m_log, 1);
    m_log.Append(SnapshotRecord(state));
    AppendPresets(m_log, 2);
    LogTracker whole;
    ReadOnce(whole, m_log);
    m_log.Expire(5);
    LogTracker tracker;
    CPPUNIT_ASSERT(ReadOnce(tracker, m_log).adopted_snapshot);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kReady);
    CPPUNIT_ASSERT_EQUAL(WriteSnapshot(whole.state()),
                         WriteSnapshot(tracker.state()));
  }
  void Newcomer_SnapshotWithHoleBehind_IsNotReady() {
    const LogState state = FoldedState();
    AppendPresets(m_log, 2);
    m_log.Append(SnapshotRecord(state));
    m_log.Expire(6);
    LogTracker tracker;
    CPPUNIT_ASSERT(!ReadOnce(tracker, m_log).adopted_snapshot);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kHistoryLost);
  }
  void Newcomer_TruncatedLogWithPeer_TakesPeersState() {
    const LogState peer = FoldedState();
    m_log.Expire(4);
    AppendPresets(m_log, 1);
    LogTracker tracker;
    ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT(tracker.AdoptSnapshot(peer));
    ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kReady);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{6}, tracker.state().control.version);
  }
  void Sleeper_TenVersionsBehind_CatchesUp() {
    LogTracker tracker;
    ReadOnce(tracker, m_log);
    AppendPresets(m_log, 10);
    const TrackerUpdate step = ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT_EQUAL(size_t{10}, step.results.size());
    CPPUNIT_ASSERT_EQUAL(ControlVersion{15}, tracker.state().control.version);
  }
  void Sleeper_RecordExpiredUnread_KeepsStateUntilSnapshot() {
    LogTracker sleeper;
    ReadOnce(sleeper, m_log);
    AppendPresets(m_log, 3);
    const LogState awake = FoldedState();
    m_log.Expire(7);
    CPPUNIT_ASSERT(ReadOnce(sleeper, m_log).found_gap);
    CPPUNIT_ASSERT(sleeper.has_gap());
    CPPUNIT_ASSERT(sleeper.readiness() == Readiness::kReady);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{5}, sleeper.state().control.version);
    m_log.Append(SnapshotRecord(awake));
    CPPUNIT_ASSERT(ReadOnce(sleeper, m_log).adopted_snapshot);
    CPPUNIT_ASSERT(!sleeper.has_gap());
    CPPUNIT_ASSERT_EQUAL(ControlVersion{8}, sleeper.state().control.version);
  }
  void Peer_WithOlderState_IsIgnored() {
    const LogState older = FoldedState();
    AppendPresets(m_log, 1);
    LogTracker tracker;
    ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT(!tracker.AdoptSnapshot(older));
    CPPUNIT_ASSERT_EQUAL(ControlVersion{6}, tracker.state().control.version);
  }
  void Peer_WithNewerState_IsAdoptedAndLogContinues() {
    LogTracker tracker;
    ReadOnce(tracker, m_log);
    AppendPresets(m_log, 2);
    CPPUNIT_ASSERT(tracker.AdoptSnapshot(FoldedState()));
    CPPUNIT_ASSERT_EQUAL(ControlVersion{7}, tracker.state().control.version);
    AppendPresets(m_log, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ReadOnce(tracker, m_log).results.size());
    CPPUNIT_ASSERT_EQUAL(ControlVersion{8}, tracker.state().control.version);
  }
  void Read_OvertakenByPeersState_ChangesNothing() {
    LogTracker tracker;
    const platform::LogPage old_page = m_log.Read(1);
    AppendPresets(m_log, 2);
    tracker.AdoptSnapshot(FoldedState());
    CPPUNIT_ASSERT(tracker.ApplyPage(1, old_page).results.empty());
    CPPUNIT_ASSERT(tracker.ApplyPage(20, old_page).results.empty());
    CPPUNIT_ASSERT_EQUAL(ControlVersion{7}, tracker.state().control.version);
  }
  void Interleaving_Any_VersionNeverGoesBack() {
    testing::CheckProperty("interleaving", [] {
      FakeLog log;
      log.Append(Config("c1", 0));
      LogTracker tracker;
      LogTracker peer;
      ReadOnce(peer, log);
      for (int step :
           *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
        const ControlVersion before = tracker.state().control.version;
        if (step == 0) AppendPresets(log, 1);
        if (step == 1) ReadOnce(tracker, log);
        if (step == 2) ReadOnce(peer, log);
        if (step == 3) tracker.AdoptSnapshot(peer.state());
        if (step == 4 && !log.records.empty()) log.Expire(1);
        if (step == 5) log.Append(SnapshotRecord(peer.state()));
        RC_ASSERT(tracker.state().control.version >= before);
        const ControlVersion newest = log.next_offset() - 1;
        RC_ASSERT(tracker.state().control.version <= newest);
      }
    });
  }

 private:
  /// The state of a process that has read all of the log.
  LogState FoldedState() const {
    LogTracker tracker;
    ReadOnce(tracker, m_log);
    return tracker.state();
  }
  FakeLog m_log;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LogTrackerTest);

}  // namespace
}  // namespace peridotshelf::control
