#include "peridotshelf/discovery/engine_directory.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

class EngineDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineDirectoryTest);
  CPPUNIT_TEST(FindReadyEngines_LeavingEngine_IsExcluded);
  CPPUNIT_TEST(NoteToldLeaving_RegistrySaysReady_IsExcludedUntilItsRestart);
  CPPUNIT_TEST(Remove_RegistryAvailable_RemovesTheEngineAtOnce);
  CPPUNIT_TEST(Remove_InReadThatEndsAnOutage_KeepsTheEngineUntilTheGraceEnds);
  CPPUNIT_TEST(Remove_InReadThatEndsAnOutage_KeepsEngineThatRegistersAgain);
  CPPUNIT_TEST(Remove_InLaterReadAfterAnOutage_RemovesTheEngineAtOnce);
  CPPUNIT_TEST(Remove_RegistryReadByPeerMeanwhile_RemovesTheEngineAtOnce);
  CPPUNIT_TEST(Remove_PeerReadsFirstAfterAnOutage_KeepsTheEngine);
  CPPUNIT_TEST(NotePeerReads_PeerReadDuringOwnOutage_EndsTheGrace);
  CPPUNIT_TEST(NotePeerReads_PeerHadTheSameOutage_LeavesTheGrace);
  CPPUNIT_TEST(Remove_AfterOutageWithoutLapses_RemovesTheEngineAtOnce);
  CPPUNIT_TEST(Remove_LeavingEngineAfterOutage_RemovesItAtOnce);
  CPPUNIT_TEST(Reject_InReadThatEndsAnOutage_RemovesTheEngineAtOnce);
  CPPUNIT_TEST(Reject_EngineRegistersSoundAgain_IsReadyEverywhere);
  CPPUNIT_TEST(Reject_LeavingEngine_StaysDeparted);
  CPPUNIT_TEST(NotePeerReads_PeerHasSameEngines_LowersTheAge);
  CPPUNIT_TEST(NotePeerReads_PeerHasOtherEngines_LeavesTheAge);
  CPPUNIT_TEST(Update_CopyHasLeavingEngineAsReady_KeepsItLeaving);
  CPPUNIT_TEST(Update_CopyHasEngineThatLeft_WithholdsIt);
  CPPUNIT_TEST(Update_EngineThatLeftRegistersAnew_AddsIt);
  CPPUNIT_TEST(Remove_EngineMissingFromCopy_KeepsItUntilTheGraceEnds);
  CPPUNIT_TEST(AddRunning_EntryOutlastsSilenceLimit_AddsIt);
  CPPUNIT_TEST(AddRunning_EntryRemovedMeanwhile_AddsNothing);
  CPPUNIT_TEST(NotePeerDeparted_AfterTheFirstRead_WithholdsTheEngine);
  CPPUNIT_TEST(NotePeerDeparted_BeforeTheFirstRead_WithholdsTheEngine);
  CPPUNIT_TEST(NotePeerDeparted_EngineRegisteredSince_LeavesIt);
  CPPUNIT_TEST(NotePeerDeparted_LongAfterTheStart_LeavesTheEngine);
  CPPUNIT_TEST(FindDeparted_LeavingAndRemovedEngines_AreNamed);
  CPPUNIT_TEST(ComputeDigest_AfterEachChange_Differs);
  CPPUNIT_TEST(KeepOnly_SomeIds_RemovesTheOthers);
  CPPUNIT_TEST(Update_RestartWithSameId_ReplacesTheEngine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindReadyEngines_LeavingEngine_IsExcluded() {
    m_directory.Update(MakeEngine("a", EngineState::kLeaving));
    m_directory.Update(MakeEngine("b"));
    const auto ready = m_directory.FindReadyEngines("s");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ready.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), ready[0]->id);
  }
  void NoteToldLeaving_RegistrySaysReady_IsExcludedUntilItsRestart() {
    EngineRecord engine = MakeEngine("a");
    m_directory.BeginRead(kNow);
    m_directory.Update(engine);
    CPPUNIT_ASSERT(m_directory.NoteToldLeaving(engine.Key(), kNow));
    CPPUNIT_ASSERT(!m_directory.NoteToldLeaving(engine.Key(), kNow));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    // Neither a heartbeat nor an older copy of the registry ends it.
    engine.slots = 7;
    m_directory.Update(engine);
    m_directory.NoteRestored();
    m_directory.BeginRead(kNow + seconds(1));
    m_directory.Update(engine);
    m_directory.AddRunning(kNow + seconds(30));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    engine.started_unix_ms = 5;
    m_directory.Update(engine);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  void Remove_RegistryAvailable_RemovesTheEngineAtOnce() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    m_directory.BeginRead(kNow + seconds(1));
    const auto missing = m_directory.Remove("a", kNow + seconds(1));
    CPPUNIT_ASSERT(missing && !missing->is_kept);
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Remove_InReadThatEndsAnOutage_KeepsTheEngineUntilTheGraceEnds() {
    SimulateRegistryOutage(kOutage);
    const auto missing = m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT(missing && missing->is_kept);
    CPPUNIT_ASSERT(m_directory.Expire(kRecovered + milliseconds(1999)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
    const auto expired = m_directory.Expire(kRecovered + seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, expired.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a@0"), expired[0].engine);
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Remove_InReadThatEndsAnOutage_KeepsEngineThatRegistersAgain() {
    SimulateRegistryOutage(kOutage);
    m_directory.Remove("a", kRecovered);
    m_directory.BeginRead(kRecovered + seconds(1));
    m_directory.Update(MakeEngine("a"));
    m_directory.Expire(kRecovered + seconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  // Guards against requests to engines that leave soon after an outage.
  void Remove_InLaterReadAfterAnOutage_RemovesTheEngineAtOnce() {
    SimulateRegistryOutage(kOutage);
    m_directory.BeginRead(kRecovered + milliseconds(100));
    m_directory.Remove("a", kRecovered + milliseconds(100));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  // Guards against requests to engines that left while only this entry was cut
  // off from the registry.
  void Remove_RegistryReadByPeerMeanwhile_RemovesTheEngineAtOnce() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    m_directory.NotePeerReads({kNow - seconds(9), kRecovered - seconds(1)},
                              kOtherDigest);
    m_directory.BeginRead(kRecovered);
    m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Remove_PeerReadsFirstAfterAnOutage_KeepsTheEngine() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    const TimePoint peer_read_at = kRecovered - milliseconds(10);
    m_directory.NotePeerReads({peer_read_at, peer_read_at}, kOtherDigest);
    m_directory.BeginRead(kRecovered);
    m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  // Guards against requests to engines that left while this entry was cut off
  // from the registry and from its peers.
  void NotePeerReads_PeerReadDuringOwnOutage_EndsTheGrace() {
    SimulateRegistryOutage(kOutage);
    m_directory.Remove("a", kRecovered);
    m_directory.NotePeerReads({kNow - seconds(9), kRecovered - seconds(1)},
                              kOtherDigest);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.Expire(kRecovered).size());
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    CPPUNIT_ASSERT(m_directory.reads().available_since == kNow - seconds(9));
  }
  void NotePeerReads_PeerHadTheSameOutage_LeavesTheGrace() {
    SimulateRegistryOutage(kOutage);
    m_directory.Remove("a", kRecovered);
    // One peer has not read again yet, the other one has.
    m_directory.NotePeerReads({kNow - seconds(9), kNow}, kOtherDigest);
    m_directory.NotePeerReads({kRecovered - seconds(1), kRecovered},
                              kOtherDigest);
    CPPUNIT_ASSERT(m_directory.Expire(kRecovered + seconds(1)).empty());
  }
  void Remove_AfterOutageWithoutLapses_RemovesTheEngineAtOnce() {
    SimulateRegistryOutage(kShortestLapse - milliseconds(1));
    m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Remove_LeavingEngineAfterOutage_RemovesItAtOnce() {
    SimulateRegistryOutage(kOutage);
    m_directory.Update(MakeEngine("a", EngineState::kLeaving));
    m_directory.Remove("a", kRecovered);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, m_directory.size());
  }
  // Guards against requests, after an outage, to an engine whose registration
  // another writer replaced.
  void Reject_InReadThatEndsAnOutage_RemovesTheEngineAtOnce() {
    SimulateRegistryOutage(kOutage);
    const auto missing = m_directory.Reject("a");
    CPPUNIT_ASSERT(missing && !missing->is_kept);
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    CPPUNIT_ASSERT(!m_directory.Reject("a"));
  }
  void Reject_EngineRegistersSoundAgain_IsReadyEverywhere() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    m_directory.Reject("a");
    CPPUNIT_ASSERT(m_directory.FindDeparted().empty());
    m_directory.NoteRestored();
    m_directory.BeginRead(kNow + seconds(1));
    CPPUNIT_ASSERT(m_directory.Update(MakeEngine("a")));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  void Reject_LeavingEngine_StaysDeparted() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a", EngineState::kLeaving));
    m_directory.Reject("a");
    m_directory.NoteRestored();
    m_directory.BeginRead(kNow + seconds(1));
    CPPUNIT_ASSERT(!m_directory.Update(MakeEngine("a")));
  }
  void NotePeerReads_PeerHasSameEngines_LowersTheAge() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    CPPUNIT_ASSERT(m_directory.NotePeerReads({kNow, kNow + seconds(3)},
                                             m_directory.ComputeDigest()));
    CPPUNIT_ASSERT(m_directory.ComputeAge(kNow + seconds(4)) == seconds(1));
  }
  void NotePeerReads_PeerHasOtherEngines_LeavesTheAge() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    CPPUNIT_ASSERT(
        !m_directory.NotePeerReads({kNow, kNow + seconds(3)}, kOtherDigest));
    CPPUNIT_ASSERT(m_directory.ComputeAge(kNow + seconds(4)) == seconds(4));
  }
  // Guards against requests to engines that left, after the registry was
  // restored from an older copy.
  void Update_CopyHasLeavingEngineAsReady_KeepsItLeaving() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a", EngineState::kLeaving));
    BeginReadOfCopy();
    CPPUNIT_ASSERT(!m_directory.Update(MakeEngine("a")));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    m_directory.AddRunning(kRecovered + std::chrono::hours(1));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  void Update_CopyHasEngineThatLeft_WithholdsIt() {
    LeaveThenReadCopy();
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    CPPUNIT_ASSERT(m_directory
                       .AddRunning(kRecovered + kSilenceLimit + seconds(2) -
                                   milliseconds(1))
                       .empty());
  }
  void Update_EngineThatLeftRegistersAnew_AddsIt() {
    LeaveThenReadCopy();
    m_directory.BeginRead(kRecovered + seconds(1));
    CPPUNIT_ASSERT(m_directory.Update(MakeEngine("a")));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  // Guards against refusals while engines run that the copy lacks.
  void Remove_EngineMissingFromCopy_KeepsItUntilTheGraceEnds() {
    m_directory.BeginRead(kRecovered - milliseconds(100));
    m_directory.Update(MakeEngine("a"));
    BeginReadOfCopy();
    const auto missing = m_directory.KeepOnly({}, kRecovered);
    CPPUNIT_ASSERT(missing.size() == 1 && missing[0].is_kept);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         m_directory.Expire(kRecovered + seconds(2)).size());
  }
  void AddRunning_EntryOutlastsSilenceLimit_AddsIt() {
    LeaveThenReadCopy();
    const auto added =
        m_directory.AddRunning(kRecovered + kSilenceLimit + seconds(2));
    CPPUNIT_ASSERT(added == std::vector<std::string>{"a@0"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  void AddRunning_EntryRemovedMeanwhile_AddsNothing() {
    LeaveThenReadCopy();
    m_directory.BeginRead(kRecovered + kSilenceLimit);
    m_directory.Remove("a", kRecovered + kSilenceLimit);
    CPPUNIT_ASSERT(
        m_directory.AddRunning(kRecovered + std::chrono::hours(1)).empty());
  }
  // These guard against a new entry that trusts a copy of the registry,
  // although its peers know that an engine in it has left.
  void NotePeerDeparted_AfterTheFirstRead_WithholdsTheEngine() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    const auto set_aside = m_directory.NotePeerDeparted(m_departed_keys, kNow);
    CPPUNIT_ASSERT_EQUAL(m_departed_keys[0], set_aside.at(0));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
    m_directory.AddRunning(kNow + m_directory.ReturnAfterRestore());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  void NotePeerDeparted_BeforeTheFirstRead_WithholdsTheEngine() {
    CPPUNIT_ASSERT(m_directory.NotePeerDeparted(m_departed_keys, kNow).empty());
    m_directory.BeginRead(kNow);
    CPPUNIT_ASSERT(!m_directory.Update(MakeEngine("a")));
    m_directory.BeginRead(kNow + seconds(1));
    CPPUNIT_ASSERT(m_directory.Update(MakeEngine("a")));
  }
  void NotePeerDeparted_EngineRegisteredSince_LeavesIt() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    m_directory.BeginRead(kNow + seconds(1));
    m_directory.Update(MakeEngine("a"));
    CPPUNIT_ASSERT(
        m_directory.NotePeerDeparted(m_departed_keys, kNow + seconds(1))
            .empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindReadyEngines("s").size());
  }
  void NotePeerDeparted_LongAfterTheStart_LeavesTheEngine() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    CPPUNIT_ASSERT(
        m_directory.NotePeerDeparted(m_departed_keys, kNow + seconds(30))
            .empty());
  }
  void FindDeparted_LeavingAndRemovedEngines_AreNamed() {
    m_directory.BeginRead(kNow);
    m_directory.Update(MakeEngine("a"));
    m_directory.Update(MakeEngine("b", EngineState::kLeaving));
    m_directory.Update(MakeEngine("c"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.FindDeparted().size());
    m_directory.BeginRead(kNow + seconds(1));
    m_directory.Remove("a", kNow + seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_directory.FindDeparted().size());
  }
  void ComputeDigest_AfterEachChange_Differs() {
    const int64_t none = m_directory.ComputeDigest();
    m_directory.Update(MakeEngine("a"));
    const int64_t ready = m_directory.ComputeDigest();
    m_directory.Update(MakeEngine("a", EngineState::kLeaving));
    const int64_t leaving = m_directory.ComputeDigest();
    m_directory.Remove("a", kNow);
    CPPUNIT_ASSERT(none != ready);
    CPPUNIT_ASSERT(ready != leaving);
    CPPUNIT_ASSERT_EQUAL(none, m_directory.ComputeDigest());
  }
  void KeepOnly_SomeIds_RemovesTheOthers() {
    m_directory.Update(MakeEngine("a"));
    m_directory.Update(MakeEngine("b"));
    m_directory.KeepOnly({"b"}, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_directory.size());
  }
  void Update_RestartWithSameId_ReplacesTheEngine() {
    EngineRecord engine = MakeEngine("a");
    m_directory.Update(engine);
    engine.started_unix_ms = 5;
    m_directory.Update(engine);
    CPPUNIT_ASSERT_EQUAL(std::string("a@5"),
                         m_directory.FindReadyEngines("s")[0]->Key());
  }

 private:
  static EngineRecord MakeEngine(const std::string& id,
                                 EngineState state = EngineState::kReady) {
    EngineRecord engine;
    engine.id = id;
    engine.service = "s";
    engine.address = "127.0.0.1:1";
    engine.state = state;
    return engine;
  }
  /// Registers engine "a" and begins the read that ends an outage at
  /// kRecovered.
  void SimulateRegistryOutage(Duration outage) {
    m_directory.BeginRead(kRecovered - outage);
    m_directory.Update(MakeEngine("a"));
    m_directory.BeginRead(kRecovered);
  }

  /// Begins a read of a restored registry at kRecovered.
  void BeginReadOfCopy() {
    m_directory.NoteRestored();
    m_directory.BeginRead(kRecovered);
  }
  /// Engine "a" leaves; the copy of the registry still has it.
  void LeaveThenReadCopy() {
    m_directory.BeginRead(kRecovered - seconds(2));
    m_directory.Update(MakeEngine("a"));
    m_directory.BeginRead(kRecovered - seconds(1));
    m_directory.Remove("a", kRecovered - seconds(1));
    BeginReadOfCopy();
    CPPUNIT_ASSERT(!m_directory.Update(MakeEngine("a")));
  }

  /// The key of engine "a".
  const std::vector<std::string> m_departed_keys = {MakeEngine("a").Key()};
  static constexpr int64_t kOtherDigest = 1;
  static constexpr Duration kOutage = seconds(8);
  static constexpr Duration kShortestLapse = milliseconds(2400);
  static constexpr Duration kSilenceLimit = milliseconds(3600);
  static constexpr TimePoint kRecovered = kNow + kOutage;

  EngineDirectory m_directory{{kShortestLapse, seconds(2), kSilenceLimit}};
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineDirectoryTest);

}  // namespace
}  // namespace peridotshelf::discovery
