#include "peridotshelf/control/log_tracker.h"

#include "control/test_records.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

/// An in-memory log whose records can expire.
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
    log.Append(MakePresetChange("p" + std::to_string(log.next_offset()),
                                log.next_offset() - 1,
                                i % 2 == 0 ? "peak" : "ordinary"));
  }
}

class LogTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTrackerTest);
  CPPUNIT_TEST(NewProcess_CompleteHistory_IsReadyAtLogEnd);
  CPPUNIT_TEST(NewProcess_PartOfHistory_IsNotReady);
  CPPUNIT_TEST(NewProcess_EmptyLog_HasNoConfiguration);
  CPPUNIT_TEST(NewProcess_TruncatedLogWithoutSnapshot_IsNotReady);
  CPPUNIT_TEST(NewProcess_TruncatedLogWithSnapshot_StartsFromSnapshot);
  CPPUNIT_TEST(NewProcess_SnapshotFollowedByGap_IsNotReady);
  CPPUNIT_TEST(NewProcess_TruncatedLogWithPeer_AdoptsPeerState);
  CPPUNIT_TEST(LaggingProcess_TenVersionsBehind_CatchesUp);
  CPPUNIT_TEST(LaggingProcess_RecordExpiredUnread_KeepsStateUntilSnapshot);
  CPPUNIT_TEST(Peer_WithOlderState_IsIgnored);
  CPPUNIT_TEST(Peer_WithNewerState_IsAdoptedAndLogContinues);
  CPPUNIT_TEST(Read_OlderThanPeerState_ChangesNothing);
  CPPUNIT_TEST(AnyInterleaving_VersionNeverDecreases);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_log = FakeLog();
    m_log.Append(MakeConfigChange("c1", 0));
    AppendPresets(m_log, 4);
  }

  void NewProcess_CompleteHistory_IsReadyAtLogEnd() {
    LogTracker tracker;
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kLogUnread);
    ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kReady);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{5}, tracker.state().control.version);
  }
  void NewProcess_PartOfHistory_IsNotReady() {
    LogTracker tracker;
    platform::LogPage page = m_log.Read(1);
    page.records.resize(2);
    tracker.ApplyPage(1, page);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kCatchingUp);
    ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kReady);
  }
  void NewProcess_EmptyLog_HasNoConfiguration() {
    LogTracker tracker;
    ReadOnce(tracker, FakeLog());
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kNoConfiguration);
  }
  void NewProcess_TruncatedLogWithoutSnapshot_IsNotReady() {
    m_log.Expire(1);
    LogTracker tracker;
    CPPUNIT_ASSERT(ReadOnce(tracker, m_log).found_gap);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kHistoryLost);
    m_log.Expire(4);
    LogTracker other;
    ReadOnce(other, m_log);
    CPPUNIT_ASSERT(other.readiness() == Readiness::kHistoryLost);
  }
  void NewProcess_TruncatedLogWithSnapshot_StartsFromSnapshot() {
    const LogState state = ReadLogState();
    AppendPresets(m_log, 1);
    m_log.Append(MakeTestSnapshot(state));
    AppendPresets(m_log, 2);
    LogTracker reference;
    ReadOnce(reference, m_log);
    m_log.Expire(5);
    LogTracker tracker;
    CPPUNIT_ASSERT(ReadOnce(tracker, m_log).adopted_snapshot);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kReady);
    CPPUNIT_ASSERT_EQUAL(WriteSnapshot(reference.state()),
                         WriteSnapshot(tracker.state()));
  }
  void NewProcess_SnapshotFollowedByGap_IsNotReady() {
    const LogState state = ReadLogState();
    AppendPresets(m_log, 2);
    m_log.Append(MakeTestSnapshot(state));
    m_log.Expire(6);
    LogTracker tracker;
    CPPUNIT_ASSERT(!ReadOnce(tracker, m_log).adopted_snapshot);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kHistoryLost);
  }
  void NewProcess_TruncatedLogWithPeer_AdoptsPeerState() {
    const LogState peer = ReadLogState();
    m_log.Expire(4);
    AppendPresets(m_log, 1);
    LogTracker tracker;
    ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT(tracker.AdoptSnapshot(peer));
    ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT(tracker.readiness() == Readiness::kReady);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{6}, tracker.state().control.version);
  }
  void LaggingProcess_TenVersionsBehind_CatchesUp() {
    LogTracker tracker;
    ReadOnce(tracker, m_log);
    AppendPresets(m_log, 10);
    const TrackerUpdate update = ReadOnce(tracker, m_log);
    CPPUNIT_ASSERT_EQUAL(size_t{10}, update.results.size());
    CPPUNIT_ASSERT_EQUAL(ControlVersion{15}, tracker.state().control.version);
  }
  void LaggingProcess_RecordExpiredUnread_KeepsStateUntilSnapshot() {
    LogTracker lagging;
    ReadOnce(lagging, m_log);
    AppendPresets(m_log, 3);
    const LogState current = ReadLogState();
    m_log.Expire(7);
    CPPUNIT_ASSERT(ReadOnce(lagging, m_log).found_gap);
    CPPUNIT_ASSERT(lagging.has_gap());
    CPPUNIT_ASSERT(lagging.readiness() == Readiness::kReady);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{5}, lagging.state().control.version);
    m_log.Append(MakeTestSnapshot(current));
    CPPUNIT_ASSERT(ReadOnce(lagging, m_log).adopted_snapshot);
    CPPUNIT_ASSERT(!lagging.has_gap());
    CPPUNIT_ASSERT_EQUAL(ControlVersion{8}, lagging.state().control.version);
  }
  void Peer_WithOlderState_IsIgnored() {
    const LogState older = ReadLogState();
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
    CPPUNIT_ASSERT(tracker.AdoptSnapshot(ReadLogState()));
    CPPUNIT_ASSERT_EQUAL(ControlVersion{7}, tracker.state().control.version);
    AppendPresets(m_log, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ReadOnce(tracker, m_log).results.size());
    CPPUNIT_ASSERT_EQUAL(ControlVersion{8}, tracker.state().control.version);
  }
  void Read_OlderThanPeerState_ChangesNothing() {
    LogTracker tracker;
    const platform::LogPage old_page = m_log.Read(1);
    AppendPresets(m_log, 2);
    tracker.AdoptSnapshot(ReadLogState());
    CPPUNIT_ASSERT(tracker.ApplyPage(1, old_page).results.empty());
    CPPUNIT_ASSERT(tracker.ApplyPage(20, old_page).results.empty());
    CPPUNIT_ASSERT_EQUAL(ControlVersion{7}, tracker.state().control.version);
  }
  void AnyInterleaving_VersionNeverDecreases() {
    testing::CheckProperty("interleaving", [] {
      FakeLog log;
      log.Append(MakeConfigChange("c1", 0));
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
        if (step == 5) log.Append(MakeTestSnapshot(peer.state()));
        RC_ASSERT(tracker.state().control.version >= before);
        const ControlVersion newest = log.next_offset() - 1;
        RC_ASSERT(tracker.state().control.version <= newest);
      }
    });
  }

 private:
  /// Returns the state after reading the complete log.
  LogState ReadLogState() const {
    LogTracker tracker;
    ReadOnce(tracker, m_log);
    return tracker.state();
  }
  FakeLog m_log;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LogTrackerTest);

}  // namespace
}  // namespace peridotshelf::control
