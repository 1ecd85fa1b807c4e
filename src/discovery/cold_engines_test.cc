#include "peridotshelf/discovery/cold_engines.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr int64_t kUnixMs = 1780000000000;
constexpr const char* kEngine = "i-1@7";

class ColdEnginesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdEnginesTest);
  CPPUNIT_TEST(NoteRegistration_StatesAColdTime_IsColdUntilThen);
  CPPUNIT_TEST(NoteRegistration_LaterStatement_ReplacesTheBelief);
  CPPUNIT_TEST(NoteRegistration_StatementGone_EndsIt);
  CPPUNIT_TEST(NoteRegistration_ColdAgain_IsColdAnew);
  CPPUNIT_TEST(NoteRegistration_NewEngineSaysNothing_IsAssumedCold);
  CPPUNIT_TEST(NoteRegistration_NewEngineSaysWarm_IsNotCold);
  CPPUNIT_TEST(NoteRegistration_NextHeartbeatSaysNothing_KeepsTheAssumption);
  CPPUNIT_TEST(NoteRegistration_FirstRead_AssumesColdByTheStartOnly);
  CPPUNIT_TEST(NoteRegistration_KnownEngineReturns_IsNotAssumedCold);
  CPPUNIT_TEST(NoteRegistration_ServiceWithoutColdTime_AssumesNothing);
  CPPUNIT_TEST(NoteRegistration_Copy_DoesNotEndTheColdTime);
  CPPUNIT_TEST(NoteRegistration_SameStatementAgain_IsNoNews);
  CPPUNIT_TEST(NoteRegistration_ColdAgain_IsNewsForPeers);
  CPPUNIT_TEST(NoteRegistration_NewEngine_IsNoNewsForPeers);
  CPPUNIT_TEST(NotePeer_NewerSource_ReplacesTheBelief);
  CPPUNIT_TEST(NotePeer_OlderSource_IsIgnored);
  CPPUNIT_TEST(NotePeer_BeforeTheRegistrationIsRead_IsKept);
  CPPUNIT_TEST(FindAllCold_StoreAway_EndsByItself);
  CPPUNIT_TEST(ForgetOld_EngineGoneForLong_IsNewAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_read.cold_time = seconds(3); }

  void NoteRegistration_StatesAColdTime_IsColdUntilThen() {
    CPPUNIT_ASSERT(Note(kNow, milliseconds(1800)));
    CPPUNIT_ASSERT(IsColdAt(kNow + milliseconds(1799)));
    CPPUNIT_ASSERT(!IsColdAt(kNow + milliseconds(1800)));
    CPPUNIT_ASSERT(Find(kNow)->source == ColdSource::kRegistration);
  }
  void NoteRegistration_LaterStatement_ReplacesTheBelief() {
    Note(kNow, seconds(3));
    Note(kNow + seconds(1), milliseconds(500));
    CPPUNIT_ASSERT(IsColdAt(kNow + milliseconds(1499)));
    CPPUNIT_ASSERT(!IsColdAt(kNow + milliseconds(1500)));
  }
  void NoteRegistration_StatementGone_EndsIt() {
    Note(kNow, seconds(3));
    Note(kNow + seconds(1), std::nullopt);
    CPPUNIT_ASSERT(!IsColdAt(kNow + seconds(1)));
  }
  // Guards against an engine that is taken for warm since it was warm once.
  void NoteRegistration_ColdAgain_IsColdAnew() {
    Note(kNow, seconds(3));
    Note(kNow + seconds(10), seconds(0));
    CPPUNIT_ASSERT(Note(kNow + seconds(20), seconds(3)));
    CPPUNIT_ASSERT(IsColdAt(kNow + seconds(22)));
  }
  void NoteRegistration_NewEngineSaysNothing_IsAssumedCold() {
    CPPUNIT_ASSERT(Note(kNow, std::nullopt));
    CPPUNIT_ASSERT(IsColdAt(kNow + milliseconds(2999)));
    CPPUNIT_ASSERT(!IsColdAt(kNow + seconds(3)));
    CPPUNIT_ASSERT(Find(kNow)->source == ColdSource::kStart);
  }
  void NoteRegistration_NewEngineSaysWarm_IsNotCold() {
    CPPUNIT_ASSERT(!Note(kNow, seconds(0)));
    CPPUNIT_ASSERT(!IsColdAt(kNow));
  }
  // Guards against a rush after the first heartbeat of a new engine.
  void NoteRegistration_NextHeartbeatSaysNothing_KeepsTheAssumption() {
    Note(kNow, std::nullopt);
    CPPUNIT_ASSERT(!Note(kNow + seconds(1), std::nullopt));
    CPPUNIT_ASSERT(IsColdAt(kNow + milliseconds(2999)));
    CPPUNIT_ASSERT(!IsColdAt(kNow + seconds(3)));
  }
  // Guards against a whole fleet that is cold for each gateway that starts.
  void NoteRegistration_FirstRead_AssumesColdByTheStartOnly() {
    m_read.is_first_read = true;
    m_read.started_unix_ms = kUnixMs - 1000;
    Note(kNow, std::nullopt);
    CPPUNIT_ASSERT(IsColdAt(kNow + milliseconds(1999)));
    CPPUNIT_ASSERT(!IsColdAt(kNow + seconds(2)));
    for (const int64_t started : {kUnixMs - 3000, int64_t{0}}) {
      ColdEngines engines;
      RegistrationRead read = MakeRead(kNow, std::nullopt);
      read.started_unix_ms = started;
      CPPUNIT_ASSERT(!engines.NoteRegistration(read));
      CPPUNIT_ASSERT(engines.FindCold(kEngine, kNow) == nullptr);
    }
  }
  // Guards against an engine that is cold for each return of its registration.
  void NoteRegistration_KnownEngineReturns_IsNotAssumedCold() {
    Note(kNow, seconds(0));
    Note(kNow + minutes(2), std::nullopt);
    CPPUNIT_ASSERT(!IsColdAt(kNow + minutes(2)));
  }
  void NoteRegistration_ServiceWithoutColdTime_AssumesNothing() {
    m_read.cold_time = Duration::zero();
    CPPUNIT_ASSERT(!Note(kNow, std::nullopt));
    CPPUNIT_ASSERT(!IsColdAt(kNow));
  }
  void NoteRegistration_Copy_DoesNotEndTheColdTime() {
    Note(kNow, seconds(3));
    m_read.is_copy = true;
    Note(kNow + seconds(1), seconds(0));
    Note(kNow + seconds(1), std::nullopt);
    CPPUNIT_ASSERT(IsColdAt(kNow + milliseconds(2999)));
    CPPUNIT_ASSERT(!IsColdAt(kNow + seconds(3)));
  }
  // Guards against datagrams to the whole fleet with each heartbeat.
  void NoteRegistration_SameStatementAgain_IsNoNews() {
    CPPUNIT_ASSERT(Note(kNow, seconds(3)));
    CPPUNIT_ASSERT(!Note(kNow + milliseconds(900), milliseconds(2100)));
    CPPUNIT_ASSERT(Note(kNow + seconds(1), seconds(5)));
  }
  void NoteRegistration_ColdAgain_IsNewsForPeers() {
    Note(kNow, seconds(0));
    Note(kNow + seconds(10), seconds(3));
    CPPUNIT_ASSERT(Find(kNow + seconds(10))->is_news);
    Note(kNow + seconds(11), seconds(2));
    CPPUNIT_ASSERT(!Find(kNow + seconds(11))->is_news);
  }
  // Guards against reports on each new engine by each entry: a new engine
  // changes the digest, so that all entries read its registration.
  void NoteRegistration_NewEngine_IsNoNewsForPeers() {
    Note(kNow, seconds(3));
    CPPUNIT_ASSERT(!Find(kNow)->is_news);
  }
  void NotePeer_NewerSource_ReplacesTheBelief() {
    Note(kNow, seconds(0));
    const TimePoint later = kNow + seconds(1);
    CPPUNIT_ASSERT(m_engines.NotePeer(
        kEngine, {later + seconds(3), later, ColdSource::kRegistration}));
    CPPUNIT_ASSERT(IsColdAt(later + milliseconds(2999)));
    CPPUNIT_ASSERT(Find(later)->source == ColdSource::kPeer);
  }
  void NotePeer_OlderSource_IsIgnored() {
    Note(kNow, seconds(3));
    CPPUNIT_ASSERT(!m_engines.NotePeer(
        kEngine, {kNow, kNow - seconds(1), ColdSource::kRegistration}));
    CPPUNIT_ASSERT(IsColdAt(kNow + seconds(2)));
  }
  // Guards against a cold time that begins anew at each entry that reads the
  // registration of a new engine.
  void NotePeer_BeforeTheRegistrationIsRead_IsKept() {
    m_engines.NotePeer(kEngine, {kNow + seconds(3), kNow, ColdSource::kStart});
    Note(kNow + seconds(2), std::nullopt);
    CPPUNIT_ASSERT(IsColdAt(kNow + milliseconds(2999)));
    CPPUNIT_ASSERT(!IsColdAt(kNow + seconds(3)));
  }
  void FindAllCold_StoreAway_EndsByItself() {
    Note(kNow, seconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_engines.FindAllCold(kNow).size());
    CPPUNIT_ASSERT(m_engines.FindAllCold(kNow + seconds(3)).empty());
  }
  void ForgetOld_EngineGoneForLong_IsNewAgain() {
    Note(kNow, seconds(0));
    m_engines.ForgetOld(kNow + minutes(11));
    CPPUNIT_ASSERT(Note(kNow + minutes(11), std::nullopt));
  }

 private:
  RegistrationRead MakeRead(TimePoint at, std::optional<Duration> cold_left) {
    RegistrationRead read = m_read;
    read.engine = kEngine;
    read.cold_left = cold_left;
    read.at = at;
    read.unix_ms = kUnixMs + ToMilliseconds(at - kNow);
    return read;
  }
  bool Note(TimePoint at, std::optional<Duration> cold_left) {
    return m_engines.NoteRegistration(MakeRead(at, cold_left));
  }
  const ColdBelief* Find(TimePoint now) const {
    return m_engines.FindCold(kEngine, now);
  }
  bool IsColdAt(TimePoint now) const { return Find(now) != nullptr; }

  RegistrationRead m_read;
  ColdEngines m_engines;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ColdEnginesTest);

}  // namespace
}  // namespace peridotshelf::discovery
