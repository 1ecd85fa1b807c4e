#include "peridotshelf/discovery/evacuations.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr Duration kHoldTime = seconds(5);

class EvacuationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationsTest);
  CPPUNIT_TEST(ApplyChanges_RecordAndRemoval_StartAndEndAtOnce);
  CPPUNIT_TEST(ApplyChanges_TwoDomains_AreIndependent);
  CPPUNIT_TEST(ApplyChanges_SameRecordAgain_ChangesNothing);
  CPPUNIT_TEST(ApplyChanges_BeforeAnyFullRead_ChangesNothing);
  CPPUNIT_TEST(ApplyFullRead_KeyMissing_EndsTheEvacuation);
  CPPUNIT_TEST(ApplyFullRead_OlderThanReport_ChangesNothing);
  CPPUNIT_TEST(ApplyChanges_OlderThanReport_ReviveNothing);
  CPPUNIT_TEST(ApplyReport_OlderPosition_ChangesNothing);
  CPPUNIT_TEST(ApplyReport_NewerPosition_IsAdopted);
  CPPUNIT_TEST(ApplyReport_AtStart_IsAdopted);
  CPPUNIT_TEST(MakeReport_BeforeAnyRead_IsNone);
  CPPUNIT_TEST(NoteRestored_BeforeTheCopyIsRead_KeepsAll);
  CPPUNIT_TEST(ApplyFullRead_CopyLacksEvacuation_HoldsItFromTheRestore);
  CPPUNIT_TEST(ApplyFullRead_CopyHasEndedEvacuation_StartsIt);
  CPPUNIT_TEST(ApplyChanges_HeldEvacuationWrittenAgain_IsHeldNoLonger);
  CPPUNIT_TEST(ApplyChanges_HeldEvacuationRemoved_EndsAtOnce);
  CPPUNIT_TEST(ApplyChanges_HeldEvacuationRemovedBeforeReport_EndsAtOnce);
  CPPUNIT_TEST(ApplyReport_FromNewEpoch_HoldsWhatItLacks);
  CPPUNIT_TEST(ApplyReport_PeerSawTheRestoreLater_ExtendsTheHold);
  CPPUNIT_TEST(ApplyReport_HoldAtStart_IsAdopted);
  CPPUNIT_TEST(ApplyReport_HoldThatEndedHere_IsNotRevived);
  CPPUNIT_TEST(ApplyReport_HoldAtOlderPosition_ChangesNothing);
  CPPUNIT_TEST(ApplyReport_HoldOfLaterEpoch_IsAdopted);
  CPPUNIT_TEST(ApplyChanges_OfTheEpochBefore_ChangeNothing);
  CPPUNIT_TEST(ApplyReport_HoldsOfManyEntries_DoNotKeepEachOtherUp);
  CPPUNIT_TEST(ApplyReport_EndlessHold_EndsAfterTwoHoldTimes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ApplyChanges_RecordAndRemoval_StartAndEndAtOnce() {
    Read(m_here, {1, 10}, {});
    const auto started = Write(m_here, {1, 11}, kA);
    CPPUNIT_ASSERT(
        started ==
        Evacuations::Changes(
            {{kA, true, EvacuationSource::kStore, Duration::zero(), {1, 11}}}));
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, kNow));
    const auto ended = Remove(m_here, {1, 12}, kA, kNow + seconds(3));
    CPPUNIT_ASSERT(
        ended ==
        Evacuations::Changes(
            {{kA, false, EvacuationSource::kStore, seconds(3), {1, 12}}}));
    CPPUNIT_ASSERT(!m_here.IsEvacuated(kA, kNow + seconds(3)));
  }
  void ApplyChanges_TwoDomains_AreIndependent() {
    Read(m_here, {1, 10}, {kA, kB});
    Remove(m_here, {1, 11}, kA);
    CPPUNIT_ASSERT(m_here.FindEvacuated(kNow) == Domains({kB}));
  }
  void ApplyChanges_SameRecordAgain_ChangesNothing() {
    Read(m_here, {1, 10}, {kA});
    CPPUNIT_ASSERT(Write(m_here, {1, 11}, kA).empty());
  }
  // Guards against the state of a topic whose beginning is not known.
  void ApplyChanges_BeforeAnyFullRead_ChangesNothing() {
    CPPUNIT_ASSERT(Write(m_here, {1, 11}, kA).empty());
    CPPUNIT_ASSERT(!m_here.position());
  }
  // Guards against evacuations without end after the removal was compacted.
  void ApplyFullRead_KeyMissing_EndsTheEvacuation() {
    Read(m_here, {1, 10}, {kA, kB});
    const auto changes = Read(m_here, {1, 20}, {kB});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, changes.size());
    CPPUNIT_ASSERT(m_here.FindEvacuated(kNow) == Domains({kB}));
  }
  // Guards against a delayed answer that undoes what a peer reported.
  void ApplyFullRead_OlderThanReport_ChangesNothing() {
    m_here.ApplyReport({{1, 20}, {{kA, {}}}}, kNow);
    CPPUNIT_ASSERT(Read(m_here, {1, 19}, {kB}).empty());
    CPPUNIT_ASSERT(m_here.FindEvacuated(kNow) == Domains({kA}));
  }
  void ApplyChanges_OlderThanReport_ReviveNothing() {
    Read(m_here, {1, 10}, {});
    m_here.ApplyReport({{1, 12}, {}}, kNow);
    CPPUNIT_ASSERT(Write(m_here, {1, 11}, kA).empty());
    CPPUNIT_ASSERT(m_here.FindEvacuated(kNow).empty());
  }
  void ApplyReport_OlderPosition_ChangesNothing() {
    Read(m_here, {2, 10}, {kA});
    CPPUNIT_ASSERT(m_here.ApplyReport({{2, 9}, {{kB, {}}}}, kNow).empty());
    CPPUNIT_ASSERT(m_here.ApplyReport({{1, 99}, {}}, kNow).empty());
    CPPUNIT_ASSERT(m_here.FindEvacuated(kNow) == Domains({kA}));
  }
  // Guards against an entry that alone cannot read the store.
  void ApplyReport_NewerPosition_IsAdopted() {
    Read(m_here, {1, 10}, {kA});
    const auto changes = m_here.ApplyReport({{1, 12}, {{kB, {}}}}, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, changes.size());
    CPPUNIT_ASSERT(changes[1].source == EvacuationSource::kPeer);
    CPPUNIT_ASSERT(m_here.FindEvacuated(kNow) == Domains({kB}));
  }
  void ApplyReport_AtStart_IsAdopted() {
    Read(m_there, {3, 10}, {kA});
    Tell(m_there, m_here, kNow);
    CPPUNIT_ASSERT(m_here.FindEvacuated(kNow) == Domains({kA}));
  }
  // Guards against an entry that has just started and ends evacuations.
  void MakeReport_BeforeAnyRead_IsNone() {
    CPPUNIT_ASSERT(!m_here.MakeReport(kNow));
  }
  // Guards against an evacuation that ends because the store is away.
  void NoteRestored_BeforeTheCopyIsRead_KeepsAll() {
    Read(m_here, {1, 10}, {kA});
    m_here.NoteRestored(2, kNow);
    CPPUNIT_ASSERT(m_here.EndHolds(kNow + seconds(60)).empty());
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, kNow + seconds(60)));
  }
  void ApplyFullRead_CopyLacksEvacuation_HoldsItFromTheRestore() {
    Read(m_here, {1, 10}, {kA});
    m_here.NoteRestored(2, kNow);
    const TimePoint read_at = kNow + seconds(1);
    CPPUNIT_ASSERT(m_here.ApplyFullRead({2, 8}, {}, read_at).empty());
    const TimePoint end = kNow + kHoldTime;
    CPPUNIT_ASSERT(m_here.NextHoldEnd() == end);
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, end - milliseconds(1)));
    CPPUNIT_ASSERT(!m_here.IsEvacuated(kA, end));
    CPPUNIT_ASSERT(m_here.EndHolds(end - milliseconds(1)).empty());
    const auto changes = m_here.EndHolds(end);
    CPPUNIT_ASSERT(
        changes ==
        Evacuations::Changes(
            {{kA, false, EvacuationSource::kRestored, kHoldTime, {2, 8}}}));
    CPPUNIT_ASSERT(!m_here.NextHoldEnd());
  }
  void ApplyFullRead_CopyHasEndedEvacuation_StartsIt() {
    Read(m_here, {1, 10}, {kA});
    Remove(m_here, {1, 11}, kA);
    m_here.NoteRestored(2, kNow);
    const auto changes = Read(m_here, {2, 10}, {kA});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, changes.size());
    CPPUNIT_ASSERT(changes[0].source == EvacuationSource::kRestored);
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, kNow + seconds(60)));
  }
  void ApplyChanges_HeldEvacuationWrittenAgain_IsHeldNoLonger() {
    LoseEvacuation(m_here, kNow);
    CPPUNIT_ASSERT(Write(m_here, {2, 9}, kA).empty());
    CPPUNIT_ASSERT(m_here.EndHolds(kNow + seconds(60)).empty());
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, kNow + seconds(60)));
  }
  void ApplyChanges_HeldEvacuationRemoved_EndsAtOnce() {
    LoseEvacuation(m_here, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Remove(m_here, {2, 9}, kA).size());
    CPPUNIT_ASSERT(!m_here.IsEvacuated(kA, kNow));
  }
  // Guards against a removal that is skipped because a peer, which did not know
  // of the evacuation, was the first to report the position after it.
  void ApplyChanges_HeldEvacuationRemovedBeforeReport_EndsAtOnce() {
    LoseEvacuation(m_here, kNow);
    m_here.ApplyReport({{2, 20}, {}}, kNow);
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, kNow));
    Remove(m_here, {2, 9}, kA);
    CPPUNIT_ASSERT(!m_here.IsEvacuated(kA, kNow));
  }
  void ApplyReport_FromNewEpoch_HoldsWhatItLacks() {
    Read(m_here, {1, 10}, {kA});
    m_here.ApplyReport({{2, 8}, {}}, kNow);
    CPPUNIT_ASSERT(m_here.NextHoldEnd() == kNow + kHoldTime);
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, kNow));
  }
  void ApplyReport_PeerSawTheRestoreLater_ExtendsTheHold() {
    LoseEvacuation(m_here, kNow);
    LoseEvacuation(m_there, kNow + seconds(2));
    Tell(m_there, m_here, kNow + seconds(2));
    CPPUNIT_ASSERT(m_here.NextHoldEnd() == kNow + seconds(2) + kHoldTime);
    Tell(m_here, m_there, kNow + seconds(2));
    CPPUNIT_ASSERT(m_there.NextHoldEnd() == kNow + seconds(2) + kHoldTime);
  }
  // Guards against an entry that starts from the copy and sends requests to a
  // domain that all others hold.
  void ApplyReport_HoldAtStart_IsAdopted() {
    LoseEvacuation(m_there, kNow);
    Read(m_here, {2, 8}, {});
    Tell(m_there, m_here, kNow + seconds(1));
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, kNow + seconds(1)));
    CPPUNIT_ASSERT(!m_here.IsEvacuated(kA, kNow + kHoldTime));
  }
  // Guards against an evacuation that ends and starts again until the holds of
  // all entries are over.
  void ApplyReport_HoldThatEndedHere_IsNotRevived() {
    LoseEvacuation(m_here, kNow);
    LoseEvacuation(m_there, kNow + seconds(2));
    m_here.EndHolds(kNow + kHoldTime);
    Tell(m_there, m_here, kNow + kHoldTime);
    CPPUNIT_ASSERT(!m_here.IsEvacuated(kA, kNow + kHoldTime));
  }
  // Guards against a hold whose removal this entry has read before it started.
  void ApplyReport_HoldAtOlderPosition_ChangesNothing() {
    Read(m_here, {2, 10}, {});
    LoseEvacuation(m_there, kNow);
    Tell(m_there, m_here, kNow);
    CPPUNIT_ASSERT(!m_here.IsEvacuated(kA, kNow));
  }
  // Guards against an end that is remembered after another restore.
  void ApplyReport_HoldOfLaterEpoch_IsAdopted() {
    Read(m_here, {1, 10}, {kA});
    Remove(m_here, {1, 11}, kA);
    LoseEvacuation(m_there, kNow);
    Tell(m_there, m_here, kNow);
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, kNow));
  }
  // Guards against a delayed answer from before the restore that a peer has
  // reported.
  void ApplyChanges_OfTheEpochBefore_ChangeNothing() {
    Read(m_here, {1, 10}, {kA});
    m_here.ApplyReport({{2, 8}, {}}, kNow);
    CPPUNIT_ASSERT(Remove(m_here, {1, 11}, kA).empty());
    CPPUNIT_ASSERT(m_here.IsEvacuated(kA, kNow));
  }
  // Guards against holds that each report extends by its transit time.
  void ApplyReport_HoldsOfManyEntries_DoNotKeepEachOtherUp() {
    constexpr size_t kEntries = 390;
    constexpr Duration kTransit = milliseconds(20);
    std::vector<Evacuations> entries(kEntries, Evacuations(kHoldTime));
    for (Evacuations& entry : entries) LoseEvacuation(entry, kNow);
    // One after the other, so that each passes on what the one before told it.
    TimePoint now = kNow;
    for (size_t round = 0; round < 2 * kEntries; ++round) {
      const auto report = entries[round % kEntries].MakeReport(now);
      now += kTransit;
      entries[(round + 1) % kEntries].ApplyReport(*report, now);
    }
    for (const Evacuations& entry : entries) {
      CPPUNIT_ASSERT(!entry.IsEvacuated(kA, kNow + kHoldTime + kTransit));
    }
  }
  void ApplyReport_EndlessHold_EndsAfterTwoHoldTimes() {
    LoseEvacuation(m_here, kNow);
    for (int second = 0; second < 60; ++second) {
      m_here.ApplyReport({{2, 8}, {{kA, seconds(60)}}}, kNow + seconds(second));
    }
    CPPUNIT_ASSERT(!m_here.IsEvacuated(kA, kNow + 2 * kHoldTime));
  }

 private:
  using Domains = std::vector<FailureDomain>;

  static Evacuations::Changes Read(Evacuations& entry, TopicPosition position,
                                   const Domains& domains) {
    return entry.ApplyFullRead(position, domains, kNow);
  }
  static Evacuations::Changes Write(Evacuations& entry, TopicPosition position,
                                    const FailureDomain& domain) {
    const EvacuationRecord record{domain};
    return entry.ApplyChanges(position, {&record, 1}, kNow);
  }
  static Evacuations::Changes Remove(Evacuations& entry, TopicPosition position,
                                     const FailureDomain& domain,
                                     TimePoint now = kNow) {
    const EvacuationRecord record{domain, true};
    return entry.ApplyChanges(position, {&record, 1}, now);
  }
  static void Tell(const Evacuations& from, Evacuations& to, TimePoint now) {
    to.ApplyReport(*from.MakeReport(now), now);
  }
  /// Domain A is evacuated, and a restore at `now` loses the record.
  static void LoseEvacuation(Evacuations& entry, TimePoint now) {
    Read(entry, {1, 10}, {kA});
    entry.NoteRestored(2, now);
    entry.ApplyFullRead({2, 8}, {}, now);
  }

  inline static const FailureDomain kA{"a"};
  inline static const FailureDomain kB{"b"};
  Evacuations m_here{kHoldTime};
  Evacuations m_there{kHoldTime};
};
CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);

}  // namespace
}  // namespace peridotshelf::discovery
